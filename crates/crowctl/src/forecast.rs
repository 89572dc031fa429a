//! `crowctl forecast ID`: the forecast of a job's finish time.

use crate::arguments::Format;
use crate::client::{Answer, Client};
use crate::error::Error;
use crate::jobs::{check_job_id, show_job, state_name};
use crate::output::{format_duration, format_fraction, show};
use crowstall::protocol::users::{ForecastAccuracy, ForecastView, Interval, JobView, PromiseView, TaskForecast};

/// Requests the forecast of a job. The id must have been checked with [`check_job_id`].
pub(crate) fn fetch_forecast(client: &Client, id: &str) -> Result<ForecastView, Error> {
    request_forecast(client, id)?.parse()
}

fn request_forecast(client: &Client, id: &str) -> Result<Answer, Error> {
    client.get(&format!("/v1/jobs/{id}/forecast"))
}

/// Shows the forecast of a job.
pub(crate) fn show_forecast(client: &Client, id: &str, format: Format) -> Result<(), Error> {
    check_job_id(id)?;
    let answer = request_forecast(client, id)?;
    match answer.parse::<ForecastView>() {
        Ok(view) => show(format, &view, &forecast_rows(&view)),
        // For a job that is done or cancelled, the controller's answer contains only the state.
        Err(error) => match answer.parse::<JobView>() {
            Ok(view) => show_job(&view, format),
            Err(_) => Err(error),
        },
    }
}

fn forecast_rows(view: &ForecastView) -> [(&'static str, String); 8] {
    let none = || "none in sight".to_string();
    let task = view.task.as_ref();
    [
        ("job", view.id.to_string()),
        ("state", state_name(view.state).to_string()),
        ("tasks", format!("{} of {} done, {} running", view.done, view.tasks, view.running)),
        ("done in", view.finish.as_ref().map_or_else(none, interval_text)),
        ("promised within", view.promise.as_ref().map_or_else(none, promise_text)),
        ("a task takes", task.map_or_else(|| "until it is cancelled".into(), |task| interval_text(&task.run))),
        ("which rests on", task.map_or_else(|| "-".into(), basis_text)),
        ("forecasts so far", accuracy_text(&view.record)),
    ]
}

fn interval_text(interval: &Interval) -> String {
    format!(
        "{} ({} to {})",
        format_duration(interval.middle_s),
        format_duration(interval.low_s),
        format_duration(interval.high_s)
    )
}

fn promise_text(promise: &PromiseView) -> String {
    format!(
        "{} (made {} before, revision {})",
        format_duration(promise.by_s),
        format_duration(promise.made_s),
        promise.revisions
    )
}

fn basis_text(task: &TaskForecast) -> String {
    format!("{} completed, by {:?}", task.observations, task.level)
}

fn accuracy_text(accuracy: &ForecastAccuracy) -> String {
    format!(
        "{} inside their interval of 80 %, {} of promises kept",
        format_fraction(accuracy.inside_interval),
        format_fraction(accuracy.promises_kept)
    )
}
