//! `crowctl forecast replay`: replays a recorded history and reports the accuracy that the forecasts would have had.

use crate::arguments::Format;
use crate::error::{Error, HistoryLineError};
use crate::output::{format_fraction, progress_style, show};
use crate::plot::{self, PlotPoint};
use crowstall_forecast::replay::{self, HistoryLine, Replay, Summary};
use crowstall_forecast::{Limits, Tally};
use indicatif::ProgressBar;
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Number of judged forecasts per point of the plot.
const FORECASTS_PER_POINT: u64 = 250;
const SECONDS_PER_HOUR: f64 = 3600.0;
const PROGRESS_TEMPLATE: &str = "{elapsed} {wide_bar} {bytes}/{total_bytes}, {eta} left";

/// Accuracy of a group of forecasts, as fractions from 0 to 1; `None` if no forecast of the group was judged.
#[derive(Serialize)]
struct Accuracy {
    #[serde(rename = "n")]
    judged: u64,
    within_quarter: Option<f64>,
    coverage80: Option<f64>,
}

/// Fractions of run times that simpler predictors forecast to within a quarter, for comparison; `None` if unknown.
#[derive(Serialize)]
struct Baselines {
    owner_estimate: Option<f64>,
    job_mean: Option<f64>,
    best_possible: Option<f64>,
}

/// Result of a replay. The names of the fields are those of the JSON output.
#[derive(Serialize)]
struct Report {
    lines: u64,
    completed: u64,
    #[serde(rename = "cut")]
    censored: u64,
    #[serde(flatten)]
    all: Accuracy,
    fewer_than_20: Accuracy,
    from_20: Accuracy,
    baselines: Baselines,
}

/// Replays the history in the file `history`, shows the accuracy of the forecasts, and draws it into the file `plot` if
/// that is given.
pub(crate) fn replay(history: &Path, plot: Option<&Path>, format: Format) -> Result<(), Error> {
    let file = File::open(history).map_err(|source| Error::File { path: history.display().to_string(), source })?;
    let bar = ProgressBar::new(file.metadata().map_or(0, |metadata| metadata.len()));
    bar.set_style(progress_style(PROGRESS_TEMPLATE));
    let replayed = replay_lines(history, BufReader::new(bar.wrap_read(file)));
    bar.finish_and_clear();
    let Replayed { summary, points } = replayed?;
    if let Some(path) = plot {
        plot::draw(path, &points).map_err(|source| Error::Plot { path: path.display().to_string(), source })?;
    }
    let report = Report::new(&summary);
    show(format, &report, &report.rows())
}

/// Result of a replay and the points of its plot.
struct Replayed {
    summary: Summary,
    points: Vec<PlotPoint>,
}

fn replay_lines(history: &Path, reader: impl BufRead) -> Result<Replayed, Error> {
    let mut replay = Replay::new(Limits::default());
    let (mut points, mut before) = (Vec::new(), Tally::default());
    for (index, text) in reader.lines().enumerate() {
        let line_error = |source| Error::HistoryLine { path: history.display().to_string(), line: index + 1, source };
        let Some(line) = parse_line(text).map_err(line_error)? else { continue };
        replay.process(&line);
        let all = replay.summary.all();
        if all.judged - before.judged >= FORECASTS_PER_POINT {
            points.push(PlotPoint { hours: line.at_s / SECONDS_PER_HOUR, tally: counts_since(all, before) });
            before = all;
        }
    }
    Ok(Replayed { summary: replay.summary, points })
}

/// Parses a line of a history; returns `None` for an empty one.
fn parse_line(text: io::Result<String>) -> Result<Option<HistoryLine>, HistoryLineError> {
    let text = text?;
    if text.trim().is_empty() {
        return Ok(None);
    }
    Ok(Some(replay::parse(&text)?))
}

/// Returns the counts of `all` that are not in the earlier counts `before`.
fn counts_since(all: Tally, before: Tally) -> Tally {
    Tally {
        judged: all.judged - before.judged,
        below: all.below - before.below,
        above: all.above - before.above,
        within_quarter: all.within_quarter - before.within_quarter,
    }
}

impl Accuracy {
    fn new(tally: Tally) -> Accuracy {
        Accuracy { judged: tally.judged, within_quarter: tally.within_quarter_fraction(), coverage80: tally.coverage() }
    }

    fn text(&self) -> String {
        format!(
            "{} within a quarter, {} inside ({})",
            format_fraction(self.within_quarter),
            format_fraction(self.coverage80),
            self.judged
        )
    }
}

impl Report {
    fn new(summary: &Summary) -> Report {
        let ratio = |count: u64, total: u64| (total > 0).then(|| count as f64 / total as f64);
        Report {
            lines: summary.lines,
            completed: summary.completed,
            censored: summary.censored,
            all: Accuracy::new(summary.all()),
            fewer_than_20: Accuracy::new(summary.few_observations),
            from_20: Accuracy::new(summary.many_observations),
            baselines: Baselines {
                owner_estimate: ratio(summary.estimate_within_quarter, summary.completed),
                job_mean: ratio(summary.job_mean_within_quarter, summary.completed),
                // Only comparable with the other fractions if every completed attempt has a true median.
                best_possible: ratio(summary.true_median_within_quarter, summary.with_true_median)
                    .filter(|_| summary.with_true_median == summary.completed),
            },
        }
    }

    fn rows(&self) -> [(&'static str, String); 7] {
        let within_quarter = |value| format!("{} within a quarter", format_fraction(value));
        [
            ("lines", format!("{}, of them {} completed and {} cut", self.lines, self.completed, self.censored)),
            ("all", self.all.text()),
            ("on fewer than 20 observations", self.fewer_than_20.text()),
            ("on 20 or more", self.from_20.text()),
            ("best possible", within_quarter(self.baselines.best_possible)),
            ("owners' estimates", within_quarter(self.baselines.owner_estimate)),
            ("mean of the job so far", within_quarter(self.baselines.job_mean)),
        ]
    }
}
