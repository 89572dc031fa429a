//! Following the records of the shards that this node would take over first, so that little is left to be read
//! after a claim. What is followed is decided by nobody's word but the state service's: the copy counts once
//! it is level with the claim, and the claim was seen to stand after that.

use super::*;
use crate::bookkeeping::records::{self, LiveRecord, MachineRecord};
use crate::protocol::state::LogEntry;
use crowstall_standby::members::SILENT;
use crowstall_standby::{Ask, Followed, Follower};
use serde::de::DeserializeOwned;

/// How long a claim waits for the copy to be level with it. After that the records are read as by anybody.
const LEVEL_WAIT: Span = Span::millis(400);
/// How long the copy is kept once somebody else comes first.
const KEPT: Span = Span::millis(10_000);
/// How often the cost is told.
const TOLD: Span = Span::millis(60_000);

/// Which records a question is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Copied {
    Jobs,
    Machines,
}

/// The copies. Off unless the operators ask for a standby.
pub(super) struct Following {
    enabled: bool,
    jobs: Follower<LiveRecord>,
    machines: Follower<MachineRecord>,
    wanted: Option<Time>,
    told: Time,
}

impl Following {
    pub fn new(cfg: &Settings) -> Following {
        let own = &cfg.own.standby;
        Following {
            enabled: own.enabled && own.follow > Span::ZERO,
            jobs: Follower::new(own.follow, own.follow_most),
            machines: Follower::new(own.follow, own.follow_most),
            wanted: None,
            told: Time::ZERO,
        }
    }

    /// Up to which revision both copies have every change.
    fn level(&self) -> Option<Revision> {
        Some(self.jobs.level()?.min(self.machines.level()?))
    }

    pub fn is_level(&self) -> bool {
        self.level().is_some()
    }

    fn start(&mut self, now: Time) {
        if self.wanted.is_none() {
            log::info!("follows the records from here on");
        }
        self.wanted = Some(now);
        self.jobs.start(now);
        self.machines.start(now);
    }

    fn stop(&mut self) {
        if self.wanted.take().is_some() {
            log::info!("follows the records no longer");
        }
        self.jobs.stop();
        self.machines.stop();
    }

    fn asks(&mut self, now: Time, at_once: bool) -> Vec<(Copied, Ask)> {
        let jobs = self.jobs.ask(now, at_once).map(|ask| (Copied::Jobs, ask));
        let machines = self.machines.ask(now, at_once).map(|ask| (Copied::Machines, ask));
        jobs.into_iter().chain(machines).collect()
    }

    fn answered(&mut self, what: Copied, answer: Result<StateAnswer, CallError>, now: Time) {
        match what {
            Copied::Jobs => take_in(&mut self.jobs, answer, now),
            Copied::Machines => take_in(&mut self.machines, answer, now),
        }
    }

    fn tell(&mut self, now: Time) {
        if self.wanted.is_some() && now.since(self.told) >= TOLD {
            self.told = now;
            let (jobs, machines) = (self.jobs.cost(), self.machines.cost());
            log::info!(
                "follows {} jobs and {} machines at revision {}; {} requests, {} records read, {} times started over",
                self.jobs.len(),
                self.machines.len(),
                self.level().map_or("none".to_string(), |level| level.to_string()),
                jobs.requests + machines.requests,
                jobs.records + machines.records,
                jobs.restarts + machines.restarts
            );
        }
    }
}

fn read<R: DeserializeOwned>(key: &str, value: serde_json::Value) -> Option<R> {
    serde_json::from_value(value).map_err(|error| log::error!("record {key} can't be read: {error}")).ok()
}

fn take_in<R: DeserializeOwned>(copy: &mut Follower<R>, answer: Result<StateAnswer, CallError>, now: Time) {
    match answer {
        Ok(StateAnswer::Page { entries, more, tally }) => {
            let read = |entry: crate::protocol::state::Entry| {
                let record = read(&entry.key, entry.value)?;
                Some((entry.key, entry.version, record))
            };
            copy.listed(entries.into_iter().filter_map(read).collect(), more, tally, now);
        }
        Ok(StateAnswer::Changes { log, tally }) => {
            let read = |change| match change {
                LogEntry::Set { key, value, version } => {
                    let record = read(&key, value)?;
                    Some(Followed::Set(key, version, record))
                }
                LogEntry::Delete { key, version } => Some(Followed::Delete(key, version)),
            };
            copy.changed(log.into_iter().filter_map(read).collect(), tally, now);
        }
        Ok(StateAnswer::Gap) => copy.gap(now),
        _ => copy.failed(now),
    }
}

impl Controller {
    /// Follows while this node would be the first to replace the holder of a shard with jobs.
    pub(super) fn follow_tick(&mut self) {
        let now = self.now;
        // Before the others were heard every node would think that it comes first.
        if !self.following.enabled || now.since(self.started) < SILENT {
            return;
        }
        let teams = self.cfg.team_shards();
        let first = (0..teams).map(ShardId).any(|shard| {
            let holder = self.members.holder_of(shard).filter(|holder| **holder != self.cfg.label);
            holder.is_some_and(|holder| self.members.rank(holder, now) == 0)
        });
        let loading = self.shards.values().any(|shard| shard.copy_until.is_some());
        if first && self.entitled() {
            self.following.start(now);
        } else if !loading && self.following.wanted.is_none_or(|at| now.since(at) >= KEPT) {
            self.following.stop();
        }
        self.following.tell(now);
        self.follow(loading);
        self.load_from_copy();
    }

    fn follow(&mut self, at_once: bool) {
        if !at_once && !self.requests.has_spare(self.now, 0.25) {
            return;
        }
        for (what, ask) in self.following.asks(self.now, at_once) {
            let prefix = match what {
                Copied::Jobs => records::LIVE,
                Copied::Machines => records::MACHINES,
            };
            let request = match ask {
                Ask::List { after } => StateCall::List { prefix, after },
                Ask::Watch { after } => StateCall::Watch { prefix, after },
            };
            self.call_state(request, StateWork::Follow { what });
        }
    }

    pub(super) fn followed(&mut self, what: Copied, answer: Result<StateAnswer, CallError>) {
        self.following.answered(what, answer, self.now);
        if self.shards.values().any(|shard| shard.copy_until.is_some()) {
            self.follow(true);
            self.load_from_copy();
        }
    }

    /// Begins to load a shard that was just claimed: from the copy, if there is one.
    pub(super) fn load_records(&mut self, id: ShardId, claim: Revision) {
        if !self.following.is_level() {
            return self.load_jobs(id, claim, None);
        }
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.copy_until = Some(self.now + LEVEL_WAIT);
        }
        // The question on its way, if there is one, may be answered with what was before the claim.
        self.follow(true);
    }

    /// Loads the shards whose claims the copy has come level with, and reads the records of those that have waited
    /// for long enough.
    fn load_from_copy(&mut self) {
        let now = self.now;
        let level = self.following.level();
        let waiting: Vec<(ShardId, Revision, Time)> =
            self.shards.values().filter_map(|shard| Some((shard.id, shard.claim, shard.copy_until?))).collect();
        for (id, claim, until) in waiting {
            let is_level = level.is_some_and(|level| level >= claim);
            if !is_level && level.is_some() && now < until {
                continue;
            }
            let Some(shard) = self.shards.get_mut(&id) else { continue };
            shard.copy_until = None;
            if !is_level {
                log::info!("shard {id}: the copy is not level with claim {claim}, the records are read");
                self.load_jobs(id, claim, None);
                continue;
            }
            for (_, version, record) in self.following.jobs.records() {
                if record.decided_in() == id {
                    shard.load_job(record.clone(), version);
                }
            }
            let machines: Vec<(MachineId, Revision, MachineRecord)> = self
                .following
                .machines
                .records()
                .map(|(key, version, record)| (records::machine_of(key), version, record.clone()))
                .collect();
            for (machine, version, record) in machines {
                self.take_machine(id, claim, machine, version, record);
            }
            self.records_read(id);
        }
    }
}
