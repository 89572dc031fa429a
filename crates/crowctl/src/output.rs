//! Output of results as tables or JSON, and formatting of values.

use crate::arguments::Format;
use crate::error::Error;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use indicatif::ProgressStyle;
use serde::Serialize;

/// Minimum number of seconds of a duration that is shown in minutes.
const MINUTES_FROM_S: u64 = 120;
/// Minimum number of seconds of a duration that is shown in hours.
const HOURS_FROM_S: u64 = 7200;
/// Seconds below which a duration is shown as a time ago; values closer to zero are rounded to zero.
const AGO_THRESHOLD_S: f64 = -0.05;

/// Writes a result to standard output: `value` as JSON, or `rows` of names and values as a table.
pub(crate) fn show(format: Format, value: &impl Serialize, rows: &[(&str, String)]) -> Result<(), Error> {
    match format {
        Format::Json => {
            let text = serde_json::to_string(value).map_err(Error::Serialize)?;
            println!("{text}");
        }
        Format::Table => {
            let mut table = Table::new();
            table.load_preset(NOTHING);
            for (name, value) in rows {
                table.add_row([name.to_string(), value.clone()]);
            }
            println!("{table}");
        }
    }
    Ok(())
}

/// Formats a duration in seconds, minutes or hours, depending on its length; a negative one as a time ago.
pub(crate) fn format_duration(seconds: f64) -> String {
    let whole = seconds.abs().round() as u64;
    let text = match whole {
        0..MINUTES_FROM_S => format!("{:.1} s", seconds.abs()),
        MINUTES_FROM_S..HOURS_FROM_S => format!("{} min {:02} s", whole / 60, whole % 60),
        _ => format!("{} h {:02} min", whole / 3600, whole % 3600 / 60),
    };
    if seconds < AGO_THRESHOLD_S { format!("{text} ago") } else { text }
}

/// Formats a fraction from 0 to 1 in percent; `None` as a dash.
pub(crate) fn format_fraction(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_string(), |value| format!("{:.1} %", 100.0 * value))
}

/// Returns the style of a progress bar with this template, or the default style if the template is malformed.
pub(crate) fn progress_style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}
