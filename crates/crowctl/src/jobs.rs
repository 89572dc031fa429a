//! `crowctl status` and `crowctl cancel`: shows or watches the state of a job, or cancels it.

use crate::arguments::Format;
use crate::client::Client;
use crate::error::Error;
use crate::forecast::fetch_forecast;
use crate::output::{format_duration, progress_style, show};
use crowstall::protocol::users::{ForecastView, JobState, JobView, parse_job_id};
use indicatif::ProgressBar;
use std::time::Duration;

/// Pause between two requests for the state of a watched job.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
const PROGRESS_TEMPLATE: &str = "{elapsed} {wide_bar} {pos}/{len} {msg}";

/// Returns an error unless `id` has the form of a job id. Only then may it become part of a request's path.
pub(crate) fn check_job_id(id: &str) -> Result<(), Error> {
    parse_job_id(id).map(|_| ()).ok_or_else(|| Error::InvalidJobId { id: id.to_string() })
}

/// Shows the state of a job.
pub(crate) fn status(client: &Client, id: &str, format: Format) -> Result<(), Error> {
    show_job(&fetch_job(client, id)?, format)
}

/// Cancels a job and shows the state that the controller answers with.
pub(crate) fn cancel(client: &Client, id: &str, format: Format) -> Result<(), Error> {
    check_job_id(id)?;
    let view: JobView = client.post(&format!("/v1/jobs/{id}/cancel"), "{}")?.parse()?;
    show_job(&view, format)
}

/// Shows the progress of a job until it is done or cancelled, then its final state. Returns an error if it was
/// cancelled.
///
/// The progress bar is written to standard error, so that standard output contains only the result.
pub(crate) fn watch(client: &Client, id: &str, format: Format) -> Result<(), Error> {
    let mut view = fetch_job(client, id)?;
    let bar = progress_bar(client, id);
    while !matches!(view.state, JobState::Done | JobState::Cancelled) {
        let forecast = match bar.length() {
            Some(_) => fetch_forecast(client, id).ok(),
            None => None,
        };
        update_progress(&bar, &view, forecast.as_ref());
        std::thread::sleep(WATCH_INTERVAL);
        view = fetch_job(client, id)?;
    }
    bar.finish_and_clear();
    show_job(&view, format)?;
    match view.state {
        JobState::Cancelled => Err(Error::JobCancelled { id: id.to_string() }),
        _ => Ok(()),
    }
}

/// Returns a progress bar over the tasks of a job, or a spinner if there is no forecast: the state does not contain the
/// number of tasks, only the forecast does.
fn progress_bar(client: &Client, id: &str) -> ProgressBar {
    match fetch_forecast(client, id) {
        Ok(forecast) => ProgressBar::new(u64::from(forecast.tasks)).with_style(progress_style(PROGRESS_TEMPLATE)),
        Err(_) => ProgressBar::new_spinner(),
    }
}

fn update_progress(bar: &ProgressBar, view: &JobView, forecast: Option<&ForecastView>) {
    let promise = forecast.and_then(|forecast| forecast.promise.as_ref());
    let promised =
        promise.map_or_else(String::new, |promise| format!(", done within {}", format_duration(promise.by_s)));
    bar.set_position(u64::from(view.done));
    bar.set_message(format!("{}, {} running{promised}", state_name(view.state), view.running));
    bar.tick();
}

fn fetch_job(client: &Client, id: &str) -> Result<JobView, Error> {
    check_job_id(id)?;
    client.get(&format!("/v1/jobs/{id}"))?.parse()
}

/// Returns the name of a state in tables.
pub(crate) fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    }
}

/// Writes the state of a job to standard output.
pub(crate) fn show_job(view: &JobView, format: Format) -> Result<(), Error> {
    let mut rows = vec![
        ("job", view.id.to_string()),
        ("state", state_name(view.state).to_string()),
        ("tasks done", view.done.to_string()),
        ("tasks running", view.running.to_string()),
    ];
    if !view.waits_for.is_empty() {
        rows.push(("waits for", unfinished_prerequisites(view)));
    }
    if let Some(cause) = &view.withdrawn_with {
        rows.push(("cancelled with", cause.to_string()));
    }
    show(format, view, &rows)
}

/// Returns the ids of the prerequisites that are not done. The controller names only some of them if there are many;
/// the others are given as a number.
fn unfinished_prerequisites(view: &JobView) -> String {
    let named: Vec<&str> = view.waits_for.iter().map(|prerequisite| prerequisite.as_str()).collect();
    let unnamed = view.waits_for_count.unwrap_or(0).saturating_sub(named.len());
    let names = named.join(", ");
    if unnamed > 0 { format!("{names} and {unnamed} more") } else { names }
}
