//! Submitting, following and cancelling jobs.

use crate::client::Client;
use crate::output::{share, show, span};
use crate::{Failure, Format};
use crowstall::protocol::users::{ForecastView, Interval, JobState, JobView, parse_job_id};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::Read;
use std::path::Path;
use std::time::Duration;

/// How often a job that is watched is asked for.
const WATCH_PAUSE: Duration = Duration::from_secs(2);
/// A request's body may be no longer.
const MOST_BODY: usize = 64 * 1024;

pub fn submit(client: &Client, file: &Path, needs: &[String], format: Format) -> Result<(), Failure> {
    let bad = |error: String| Failure::BadInput(format!("{}: {error}", file.display()));
    let mut text = String::new();
    let read = match file.to_str() {
        Some("-") => std::io::stdin().read_to_string(&mut text),
        _ => std::fs::File::open(file).and_then(|mut file| file.read_to_string(&mut text)),
    };
    read.map_err(|error| bad(error.to_string()))?;
    if text.len() > MOST_BODY {
        return Err(bad(format!("{} bytes, more than {MOST_BODY}", text.len())));
    }
    let mut job: serde_json::Value = serde_json::from_str(&text).map_err(|error| bad(error.to_string()))?;
    checked(job["id"].as_str().ok_or_else(|| bad("id: missing, or not a text".into()))?)?;
    if !needs.is_empty() {
        let all = job.as_object_mut().map(|job| job.entry("awaits").or_insert_with(|| serde_json::json!([])));
        let all = all.ok_or_else(|| bad("not an object".into()))?;
        if all.is_null() {
            *all = serde_json::json!([]);
        }
        let all = all.as_array_mut().ok_or_else(|| bad("awaits: not a list".into()))?;
        for need in needs {
            checked(need)?;
            all.push(need.as_str().into());
        }
        text = job.to_string();
    }
    let view: JobView = client.post("/v1/jobs", &text)?.read()?;
    tell(&view, format)
}

fn checked(id: &str) -> Result<(), Failure> {
    parse_job_id(id).map(|_| ()).ok_or_else(|| Failure::BadInput(format!("{id}: not a job's id (wk-000412)")))
}

fn ask(client: &Client, id: &str) -> Result<JobView, Failure> {
    checked(id)?;
    client.get(&format!("/v1/jobs/{id}"))?.read()
}

pub fn status(client: &Client, id: &str, format: Format) -> Result<(), Failure> {
    tell(&ask(client, id)?, format)
}

pub fn cancel(client: &Client, id: &str, format: Format) -> Result<(), Failure> {
    checked(id)?;
    let view: JobView = client.post(&format!("/v1/jobs/{id}/cancel"), "{}")?.read()?;
    tell(&view, format)
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "pending",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Cancelled => "cancelled",
    }
}

fn tell(view: &JobView, format: Format) -> Result<(), Failure> {
    let mut rows = vec![
        ("job", view.id.to_string()),
        ("state", state_name(view.state).to_string()),
        ("tasks done", view.done.to_string()),
        ("tasks running", view.running.to_string()),
    ];
    if !view.waits_for.is_empty() {
        let named: Vec<&str> = view.waits_for.iter().map(|need| need.as_str()).collect();
        let more = view.waits_for_count.unwrap_or(0).saturating_sub(named.len());
        let more = if more > 0 { format!(" and {more} more") } else { String::new() };
        rows.push(("waits for", named.join(", ") + &more));
    }
    if let Some(cause) = &view.withdrawn_with {
        rows.push(("cancelled with", cause.to_string()));
    }
    show(format, view, &rows)
}

/// Follows a job to its end. The bar is on standard error, so that the result can be piped.
pub fn watch(client: &Client, id: &str, format: Format) -> Result<(), Failure> {
    let mut view = ask(client, id)?;
    // How many tasks there are is told with the forecast only; without it the bar has no end.
    let forecast = |client: &Client| client.get(&format!("/v1/jobs/{id}/forecast"))?.read::<ForecastView>();
    let bar = match forecast(client) {
        Ok(forecast) => {
            let bar = ProgressBar::new(u64::from(forecast.tasks));
            let style = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} {msg}");
            bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
            bar
        }
        Err(_) => ProgressBar::new_spinner(),
    };
    while !matches!(view.state, JobState::Done | JobState::Cancelled) {
        bar.set_position(u64::from(view.done));
        let promise = match bar.length() {
            Some(_) => forecast(client).ok().and_then(|forecast| forecast.promise),
            None => None,
        };
        let by = promise.map_or_else(String::new, |promise| format!(", done within {}", span(promise.by_s)));
        bar.set_message(format!("{}, {} running{by}", state_name(view.state), view.running));
        bar.tick();
        std::thread::sleep(WATCH_PAUSE);
        view = ask(client, id)?;
    }
    bar.finish_and_clear();
    tell(&view, format)?;
    match view.state {
        JobState::Cancelled => Err(Failure::Refused(format!("{id} was cancelled"))),
        _ => Ok(()),
    }
}

pub fn forecast(client: &Client, id: &str, format: Format) -> Result<(), Failure> {
    checked(id)?;
    let answer = client.get(&format!("/v1/jobs/{id}/forecast"))?;
    let view: ForecastView = match answer.read() {
        Ok(view) => view,
        // A job that is over has its state and nothing to be forecast.
        Err(failure) => return answer.read::<JobView>().map_err(|_| failure).and_then(|view| tell(&view, format)),
    };
    let interval = |of: &Interval| format!("{} ({} to {})", span(of.middle_s), span(of.low_s), span(of.high_s));
    let none = || "none in sight".to_string();
    let task = view.task.as_ref();
    let rows = [
        ("job", view.id.to_string()),
        ("state", state_name(view.state).to_string()),
        ("tasks", format!("{} of {} done, {} running", view.done, view.tasks, view.running)),
        ("done in", view.finish.as_ref().map_or_else(none, interval)),
        (
            "promised within",
            view.promise.as_ref().map_or_else(none, |promise| {
                format!("{} (made {} before, revision {})", span(promise.by_s), span(promise.made_s), promise.revisions)
            }),
        ),
        ("a task takes", task.map_or_else(|| "until it is cancelled".into(), |task| interval(&task.run))),
        (
            "which rests on",
            task.map_or_else(|| "-".into(), |task| format!("{} completed, by {:?}", task.observations, task.level)),
        ),
        (
            "forecasts so far",
            format!(
                "{} inside their interval of 80 %, {} of promises kept",
                share(view.record.inside_interval),
                share(view.record.promises_kept)
            ),
        ),
    ];
    show(format, &view, &rows)
}
