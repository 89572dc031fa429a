//! Plots of forecast accuracy over time.

use crowstall_forecast::Tally;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::io;
use std::path::Path;

const SIZE_PIXELS: (u32, u32) = (900, 420);
/// Minimum length of the time axis.
const MIN_HOURS: f64 = 0.01;

/// Error of drawing a plot.
pub(crate) type PlotError = DrawingAreaErrorKind<io::Error>;

type Canvas<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Accuracy of the forecasts in one section of a history.
pub(crate) struct PlotPoint {
    /// End of the section, in hours since the history began.
    pub(crate) hours: f64,
    /// Counts of the judged forecasts of the section.
    pub(crate) tally: Tally,
}

/// Draws the accuracy over time into an SVG file.
pub(crate) fn draw(path: &Path, points: &[PlotPoint]) -> Result<(), PlotError> {
    let canvas = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    canvas.fill(&WHITE)?;
    let mut chart = draw_axes(&canvas, points)?;
    draw_line(&mut chart, points, "within a quarter", BLUE, Tally::within_quarter_fraction)?;
    draw_line(&mut chart, points, "inside the 80 % interval", RED, Tally::coverage)?;
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    canvas.present()
}

fn draw_axes<'a, 'b>(canvas: &'a Canvas<'b>, points: &[PlotPoint]) -> Result<Chart<'a, 'b>, PlotError> {
    let end = points.last().map_or(1.0, |point| point.hours.max(MIN_HOURS));
    let mut chart = ChartBuilder::on(canvas)
        .caption("Forecasts over time", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..end, 0.0..1.0)?;
    chart.configure_mesh().x_desc("hours").y_desc("share").draw()?;
    Ok(chart)
}

fn draw_line(
    chart: &mut Chart,
    points: &[PlotPoint],
    label: &str,
    color: RGBColor,
    fraction: fn(&Tally) -> Option<f64>,
) -> Result<(), PlotError> {
    let series = points.iter().filter_map(|point| fraction(&point.tally).map(|fraction| (point.hours, fraction)));
    chart
        .draw_series(LineSeries::new(series, &color))?
        .label(label)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    Ok(())
}
