//! Forecasts: learns run times from attempts, and forecasts and promises finish times to users.
//!
//! The learned run times belong to a shard. They pass from one leader to the next as a snapshot in the state service.
//! Nothing else depends on them, so snapshots are read and written under the traffic class of background writes, which
//! leaves most of the rate limits to other calls.

mod capacity;
mod snapshots;
mod store;

pub(super) use snapshots::ForecastOperation;

use super::controller::Controller;
use super::events::Requester;
use super::leadership_term::LeadershipTerm;
use super::shard::RuntimeSamples;
use super::shard::Shard;
use super::user_requests::live_state;
use crate::config::{ForecastProperties, Settings};
use crate::model::{FinalState, JobId, JobKind, ShardId};
use crate::protocol::users::{ForecastView, Interval, JobState, PromiseView, TaskForecast};
use crate::protocol::{BusyReason, Reply};
use crate::time::{Span, Time};
use crowstall_forecast::{JudgedPromise, Limits, Promise};
use std::collections::BTreeMap;
use store::{ForecastContext, ForecastStore, JobForecast};

/// Interval at which the accuracy of the forecasts is logged.
const ACCURACY_LOG_INTERVAL: Span = Span::millis(300_000);

/// The learned run times and the promises of the shards that this node leads.
pub(super) struct Forecasts {
    properties: ForecastProperties,
    stores: BTreeMap<ShardId, ForecastStore>,
}

impl Forecasts {
    /// Creates an empty set of forecasts, or returns `None` if forecasts are not enabled.
    pub fn new(settings: &Settings) -> Option<Forecasts> {
        let properties = settings.properties.forecast.clone();
        properties.enabled.then(|| Forecasts { properties, stores: BTreeMap::new() })
    }

    /// Returns the store of a shard, if it belongs to the given leadership term.
    fn store_in_term(&mut self, leadership: LeadershipTerm) -> Option<&mut ForecastStore> {
        self.stores.get_mut(&leadership.shard).filter(|store| store.term == leadership.term)
    }

    /// Creates the store of a shard for its current leadership term, unless it exists. A store of an earlier term is
    /// replaced; its observations are read back from the snapshot, as far as they were saved.
    fn ensure_store(&mut self, shard: &Shard, now: Time) {
        if self.stores.get(&shard.id).is_some_and(|store| store.term == shard.term) {
            return;
        }
        let limits =
            Limits { max_memory_bytes: self.properties.max_memory_bytes, half_life: self.properties.half_life };
        self.stores.insert(shard.id, ForecastStore::new(shard.term, limits, now));
    }
}

impl Controller {
    /// Learns from attempts that have ended, makes the forecasts that are due, and reads or writes snapshots.
    pub(super) fn forecast_tick(&mut self) {
        let Some(forecasts) = &mut self.forecasts else { return };
        let now = self.now;
        forecasts.stores.retain(|id, store| self.shards.get(id).is_some_and(|shard| shard.term == store.term));
        // Only the first `team_shards` shards have jobs.
        let team_shards = self.settings.team_shards();
        let with_jobs = self.shards.values().filter(|shard| shard.is_active() && shard.id.0 < team_shards);
        let active: Vec<ShardId> = with_jobs.map(|shard| shard.id).collect();
        for id in active {
            self.forecast_shard(id, now);
            self.snapshot_tick(id, now);
        }
    }

    /// Learns run times in one shard, and makes the forecasts that are due.
    fn forecast_shard(&mut self, id: ShardId, now: Time) {
        let (Some(forecasts), Some(shard)) = (&mut self.forecasts, self.shards.get_mut(&id)) else { return };
        shard.runtime_samples.get_or_insert_with(|| RuntimeSamples::new(self.settings.heartbeat_interval));
        forecasts.ensure_store(shard, now);
        let Some(store) = forecasts.stores.get_mut(&id) else { return };
        store.learn(shard, now);
        if store.is_forecasting_due(now) {
            let (cloud, settings) = (&self.cloud, &self.settings);
            store.forecast_next_batch(
                shard,
                &ForecastContext { cloud, settings, wall_clock_ms: self.wall_clock_ms, now },
            );
        }
        if now.since(store.accuracy_logged_at) >= ACCURACY_LOG_INTERVAL {
            store.accuracy_logged_at = now;
            let accuracy = serde_json::to_string(&store.accuracy()).unwrap_or_default();
            log::info!(
                "forecasts of shard {id}: run times of {} groups of similar tasks learned, accuracy {accuracy}",
                store.learner.cell_count()
            );
        }
    }

    /// Learns from the attempts of a shard that have ended. Has to be called before their job is removed from memory,
    /// as their samples are lost otherwise.
    pub(super) fn learn_run_times(&mut self, id: ShardId) {
        let now = self.now;
        let Some(store) = self.forecasts.as_mut().and_then(|forecasts| forecasts.stores.get_mut(&id)) else { return };
        if let Some(shard) = self.shards.get_mut(&id) {
            store.learn(shard, now);
        }
    }

    /// Handles the end of a job: compares its first promise with the finish time if the job is done, and discards its
    /// promises if it is cancelled.
    pub(super) fn judge_promise(&mut self, shard: ShardId, job: &JobId, state: FinalState) {
        let now = self.now;
        let forecasts = self.forecasts.as_mut();
        let Some(store) = forecasts.and_then(|forecasts| forecasts.stores.get_mut(&shard)) else { return };
        store.forecasts.remove(job);
        if state == FinalState::Cancelled {
            return store.promises.remove_job(job);
        }
        if let Some(JudgedPromise { promise, lateness }) = store.promises.judge_finished_job(job, now) {
            let promised = promise.promised_finish.since(promise.made_at).as_secs();
            let took = now.since(promise.made_at).as_secs();
            log::debug!("job {job}: first promised to finish within {promised:.1} s, finished after {took:.1} s");
            if lateness > Span::ZERO {
                log::debug!("job {job} finished {:.1} s later than promised", lateness.as_secs());
            }
        }
    }

    /// Replies with the forecast of a job of a shard that this node leads.
    pub(super) fn reply_with_forecast(&mut self, requester: Requester, shard_id: ShardId, id: &JobId) {
        let reply = self.forecast_reply(shard_id, id);
        self.reply(requester, reply.unwrap_or_else(|| Reply::busy(BusyReason::ForecastPending)));
    }

    /// Returns the reply with the forecast of a job, or `None` if there is no forecast yet or the job's state may not
    /// be reported now. If the forecast of a job array is missing, a round starts at once, unless a round is in
    /// progress or the last one has only just begun.
    fn forecast_reply(&mut self, shard_id: ShardId, id: &JobId) -> Option<Reply> {
        let (now, wall_clock_ms) = (self.now, self.wall_clock_ms);
        let store = self.forecasts.as_mut()?.stores.get_mut(&shard_id)?;
        let shard = self.shards.get_mut(&shard_id)?;
        let is_array = shard.jobs.get(id).is_some_and(|job| job.spec.kind == JobKind::Array);
        if is_array && !store.forecasts.contains_key(id) && store.may_forecast_on_request(now) {
            let (cloud, settings) = (&self.cloud, &self.settings);
            store.forecast_next_batch(shard, &ForecastContext { cloud, settings, wall_clock_ms, now });
        }
        forecast_view(store, shard, id, wall_clock_ms, now)
    }
}

/// Returns the reply with the forecast of a job, or `None` if there is no forecast yet or the job's state may not be
/// reported now.
fn forecast_view(store: &ForecastStore, shard: &Shard, id: &JobId, wall_clock_ms: u64, now: Time) -> Option<Reply> {
    let job = shard.jobs.get(id)?;
    let state: JobState = live_state(job)?;
    let (mut task, mut finish) = (None, None);
    if job.spec.kind == JobKind::Array {
        let forecast = store.forecasts.get(id)?;
        task = Some(task_view(forecast));
        finish = finish_view(forecast, now);
    }
    let view = ForecastView {
        id: id.clone(),
        state,
        done: job.progress.done.len(),
        running: job.progress.running.len() as u32,
        tasks: job.spec.tasks,
        task,
        finish,
        promise: store.promises.get(id).map(|promise| promise_view(&promise, wall_clock_ms, now)),
        record: store.accuracy(),
    };
    Some(Reply::json(200, &view))
}

fn interval(low: Span, middle: Span, high: Span) -> Interval {
    Interval { low_s: low.as_secs(), middle_s: middle.as_secs(), high_s: high.as_secs() }
}

fn task_view(forecast: &JobForecast) -> TaskForecast {
    let run = &forecast.run;
    TaskForecast { run: interval(run.low, run.median, run.high), observations: run.observations, level: run.level }
}

/// Returns the time until the job finishes, counted from now rather than from the time of the forecast.
fn finish_view(forecast: &JobForecast, now: Time) -> Option<Interval> {
    let age = now.since(forecast.made);
    forecast.finish.map(|finish| interval(finish.low - age, finish.median - age, finish.high - age))
}

fn promise_view(promise: &Promise, wall_clock_ms: u64, now: Time) -> PromiseView {
    // Negative after the promised time has passed.
    let by_s = promise.promised_finish.since(now).as_secs() - now.since(promise.promised_finish).as_secs();
    let by_ms = wall_clock_ms.saturating_add_signed((by_s * 1000.0) as i64);
    PromiseView { by_s, by_ms, made_s: now.since(promise.made_at).as_secs(), revisions: promise.revisions }
}
