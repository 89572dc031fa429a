//! The fleet: pending plus running work over a per-machine target, rented where it is cheapest
//! and to be had, and given back when there is no work for it.

use super::shard::{Booting, Shard};
use super::*;
use crate::bookkeeping::records::{self, MachineRecord};
use crate::protocol::cloud::{Listed, MOST_DELETED, MOST_RENTED, MachineState};
use crate::protocol::peers::Offer;
use crate::protocol::state::Change;

const CATALOG_AGE: Span = Span::millis(60_000);
const LIST_PAUSE: Span = Span::millis(5_000);
const PLAN_PAUSE: Span = Span::millis(1_000);
/// The part of the time left that is planned with: estimates are often wrong.
const USABLE: f64 = 0.85;
/// How long a refused kind of machine is not asked for again; doubled with each refusal.
const REFUSED: Span = Span::millis(6_000);
/// How long after a takeover a machine may take to answer before it is given back.
const PROOF_WAIT: Span = Span::millis(3_000);
/// How long after its lease a silent machine that the cloud no longer lists is forgotten.
const GONE: Span = Span::millis(10_000);

/// A rental request that has no final answer yet.
pub(super) struct Rental {
    pub kind: Name,
    pub zone: Name,
    pub spot: bool,
    pub count: u32,
    pub asked: Time,
    pub in_flight: bool,
}

impl Rental {
    fn is_of(&self, kind: &Name, zone: &Name, spot: bool) -> bool {
        self.kind == *kind && self.zone == *zone && self.spot == spot
    }
}

pub(super) struct Cloud {
    pub catalog: Option<Vec<MachineType>>,
    pub types: HashMap<Name, MachineType>,
    catalog_at: Time,
    catalog_call: bool,
    pub listed: HashMap<MachineId, Listed>,
    listed_at: Time,
    list_call: bool,
    budget: Budget,
    refused: HashMap<(Name, Name, bool), (Time, u32)>,
    planned_at: Time,
    purging: bool,
}

impl Cloud {
    pub fn new(cfg: &Settings) -> Cloud {
        Cloud {
            catalog: None,
            types: HashMap::new(),
            catalog_at: Time::ZERO,
            catalog_call: false,
            listed: HashMap::new(),
            listed_at: Time::ZERO,
            list_call: false,
            budget: Budget::new(cfg.cloud_rps, 2.0 * cfg.cloud_rps),
            refused: HashMap::new(),
            planned_at: Time::ZERO,
            purging: false,
        }
    }

    /// How many calls a second this node may make. The cloud allows bursts of two seconds' worth.
    pub fn set_share(&mut self, rate: f64) {
        self.budget.set_rate(rate, 2.0 * rate);
    }

    fn is_refused(&self, kind: &Name, zone: &Name, spot: bool, now: Time) -> bool {
        self.refused.get(&(kind.clone(), zone.clone(), spot)).is_some_and(|(until, _)| now < *until)
    }

    fn refuse(&mut self, rental: &Rental, now: Time) {
        let key = (rental.kind.clone(), rental.zone.clone(), rental.spot);
        let times = self.refused.get(&key).map_or(0, |(_, times)| *times);
        let pause = REFUSED.times(f64::from(1u32 << times.min(3)));
        self.refused.insert(key, (now + pause, times + 1));
    }
}

/// A machine as the count sees it: there, booting or still to come.
struct Bin {
    id: Option<MachineId>,
    kind: Name,
    zone: Name,
    spot: bool,
    room: Resources,
    used: bool,
}

/// What one job needs room for.
struct Demand {
    spec: JobSpec,
    /// How many tasks need room, now or one after another.
    count: u32,
    /// How many of them a slot can take before the job should be done: one that is there, and
    /// one that has to boot first.
    per_slot: u32,
    per_new_slot: u32,
    /// Machines that its tasks are kept away from: they do not count as room for it.
    avoids: Vec<MachineId>,
}

impl Controller {
    pub(super) fn fleet_tick(&mut self) {
        let now = self.now;
        let age = if self.cloud.catalog.is_some() { CATALOG_AGE } else { Span::millis(400) };
        if !self.cloud.catalog_call
            && (self.cloud.catalog_at == Time::ZERO || now.since(self.cloud.catalog_at) >= age)
            && self.cloud.budget.take(now, 1.0)
        {
            self.cloud.catalog_call = true;
            self.cloud.catalog_at = now;
            self.call_cloud(CloudCall::Catalog, CloudWork::Catalog);
        }
        if !self.entitled() || self.shards.is_empty() {
            return;
        }
        if !self.cloud.list_call && now.since(self.cloud.listed_at) >= LIST_PAUSE && self.cloud.budget.take(now, 1.0) {
            self.cloud.list_call = true;
            self.cloud.listed_at = now;
            let work = CloudWork::List { so_far: Vec::new() };
            self.call_cloud(CloudCall::List { after: None }, work);
        }
        let ids: Vec<ShardId> = self.shards.values().filter(|s| s.active).map(|s| s.id).collect();
        for id in &ids {
            self.return_silent(*id);
            self.delete_machines(*id);
            self.retry_moves(*id);
            self.ask_rentals(*id);
        }
        if self.cloud.catalog.is_some() && now.since(self.cloud.planned_at) >= PLAN_PAUSE {
            self.cloud.planned_at = now;
            for id in ids {
                self.retry_forgets(id);
                self.plan(id);
                self.give_back(id);
            }
        }
    }

    /// Sends rentals that have not been sent, or whose answer got lost: the same request name
    /// rents nothing twice.
    fn ask_rentals(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let claim = shard.claim;
        let mut calls = Vec::new();
        for (request, rental) in &mut shard.renting {
            let due = rental.asked == Time::ZERO || now.since(rental.asked) > Span::millis(1000);
            if !rental.in_flight && due && self.cloud.budget.take(now, 1.0) {
                rental.in_flight = true;
                rental.asked = now;
                calls.push((
                    CloudCall::Rent {
                        request: request.clone(),
                        kind: rental.kind.clone(),
                        zone: rental.zone.clone(),
                        spot: rental.spot,
                        count: rental.count,
                    },
                    CloudWork::Rent { shard: id, claim, request: request.clone() },
                ));
            }
        }
        for (call, work) in calls {
            self.call_cloud(call, work);
        }
    }

    pub(super) fn cloud_answered(&mut self, work: CloudWork, answer: Result<CloudAnswer, CallError>) {
        let now = self.now;
        if let Err(CallError::Refused { over_limit: true }) = answer {
            self.cloud.budget.exhausted(now);
        }
        match work {
            CloudWork::Catalog => {
                self.cloud.catalog_call = false;
                if let Ok(CloudAnswer::Catalog(types)) = answer
                    && !types.is_empty()
                {
                    self.cloud.types = types.iter().map(|kind| (kind.name.clone(), kind.clone())).collect();
                    self.cloud.catalog = Some(types);
                }
            }
            CloudWork::List { mut so_far } => match answer {
                Ok(CloudAnswer::Machines { listed, more }) => {
                    let after = listed.last().map(|machine| machine.id.clone());
                    so_far.extend(listed);
                    match after {
                        Some(_) if more => self.call_cloud(CloudCall::List { after }, CloudWork::List { so_far }),
                        _ => {
                            self.cloud.list_call = false;
                            self.machines_listed(so_far);
                        }
                    }
                }
                _ => self.cloud.list_call = false,
            },
            CloudWork::Rent { shard, claim, request } => self.rented(shard, claim, request, answer),
            CloudWork::Delete { shard, claim, machines } => self.deleted(shard, claim, machines, answer),
            CloudWork::Purge => self.cloud.purging = false,
        }
    }

    fn rented(&mut self, shard: ShardId, claim: Revision, request: String, answer: Result<CloudAnswer, CallError>) {
        let now = self.now;
        let Some(mine) = self.shards.get_mut(&shard).filter(|mine| mine.claim == claim) else { return };
        let Some(rental) = mine.renting.get_mut(&request) else { return };
        rental.in_flight = false;
        match answer {
            Ok(CloudAnswer::Rented(machines)) => {
                let Some(rental) = mine.renting.remove(&request) else { return };
                log::info!(
                    "rented {} of {} {} in {}{}",
                    machines.len(),
                    rental.count,
                    rental.kind,
                    rental.zone,
                    if rental.spot { ", spot" } else { "" }
                );
                for machine in &machines {
                    self.machine_homes.insert(machine.clone(), shard);
                    if mine.machines.contains_key(machine) {
                        continue;
                    }
                    let (kind, zone) = (rental.kind.clone(), rental.zone.clone());
                    let booting = Booting { kind, zone, spot: rental.spot, since: now, deleting: false };
                    mine.booting.insert(machine.clone(), booting);
                }
                if (machines.len() as u32) < rental.count {
                    mine.drop_unsent(&rental);
                    self.cloud.refuse(&rental, now);
                } else {
                    self.cloud.refused.remove(&(rental.kind, rental.zone, rental.spot));
                }
                self.cloud.planned_at = Time::ZERO;
            }
            Ok(CloudAnswer::NoCapacity) => {
                let Some(rental) = mine.renting.remove(&request) else { return };
                log::info!(
                    "no {} to be had in {}{}",
                    rental.kind,
                    rental.zone,
                    if rental.spot { ", spot" } else { "" }
                );
                mine.drop_unsent(&rental);
                self.cloud.refuse(&rental, now);
                self.cloud.planned_at = Time::ZERO;
            }
            Err(CallError::Odd(status)) => {
                log::error!("rental {request} was answered with {status}");
                mine.renting.remove(&request);
            }
            _ => {}
        }
    }

    /// Gives back machines that do not answer while tasks wait for what may be on them. A silent
    /// machine loses its tasks anyway when its lease runs out, but that may lie far ahead, most of
    /// all after a takeover; once the cloud has deleted it, its tasks may start elsewhere at once.
    /// Where most machines are silent, or come by way of other nodes, the fault is rather on this side
    /// and nothing is given back.
    fn return_silent(&mut self, id: ShardId) {
        let now = self.now;
        let patience = (self.cfg.lease.times(0.5)).max(self.cfg.report.times(3.0));
        let lease = self.cfg.lease;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        // One that reaches this node has reported within that time. What was heard longer ago says
        // nothing about the moment: when a cut begins, all machines fall silent one after another.
        // After a takeover workers take longer to find this node.
        let settled = now.since(shard.claimed_at) >= lease;
        let recent = if settled { self.cfg.report.times(1.25) + Span::millis(1000) } else { patience };
        let (mut heard, mut silent) = (0, Vec::new());
        for (name, machine) in &shard.machines {
            let quiet = now.since(machine.seen);
            let detoured = machine.detoured.is_some_and(|at| now.since(at) < patience);
            if machine.proven && quiet < recent && !detoured {
                heard += 1;
            } else if machine.proven && quiet < recent && !detoured {
                continue;
            } else if !machine.deleting
                && match machine.proven {
                    true => machine.unanswered > 0 && !machine.is_empty(),
                    false => quiet >= PROOF_WAIT,
                }
            {
                silent.push(name.clone());
            }
        }
        if silent.len() > heard {
            return;
        }
        for name in silent {
            log::warn!("machine {name} does not answer and is given back");
            if let Some(machine) = shard.machines.get_mut(&name) {
                machine.deleting = true;
            }
        }
    }

    fn delete_machines(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        if shard.deleting_until > now {
            return;
        }
        let due = shard.machines.iter().filter(|(_, machine)| machine.deleting).map(|(id, _)| id.clone());
        let stuck = shard.booting.iter().filter(|(_, machine)| machine.deleting).map(|(id, _)| id.clone());
        let names: Vec<MachineId> = due.chain(stuck).take(MOST_DELETED).collect();
        if names.is_empty() || !self.cloud.budget.take(now, 1.0) {
            return;
        }
        shard.deleting_until = now + Span::millis(5000);
        let claim = shard.claim;
        let work = CloudWork::Delete { shard: id, claim, machines: names.clone() };
        self.call_cloud(CloudCall::Delete(names), work);
    }

    fn deleted(
        &mut self,
        id: ShardId,
        claim: Revision,
        machines: Vec<MachineId>,
        answer: Result<CloudAnswer, CallError>,
    ) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id).filter(|shard| shard.claim == claim) else { return };
        shard.deleting_until = match answer {
            Ok(CloudAnswer::Deleted) => Time::ZERO,
            _ => now + Span::millis(1000),
        };
        if !matches!(answer, Ok(CloudAnswer::Deleted)) {
            return;
        }
        for machine in machines {
            let Some(shard) = self.shards.get_mut(&id) else { return };
            log::info!("machine {machine} given back");
            shard.booting.remove(&machine);
            if shard.machines.contains_key(&machine) {
                // The cloud has confirmed it: the machine and all that ran there are gone.
                shard.lose(&machine, |_, _| true, now);
                if let Some(machine) = shard.machines.get_mut(&machine) {
                    machine.proven = true;
                }
                self.forget_machine(id, &machine);
            }
        }
    }

    /// Takes a machine that is gone out of the records and out of memory.
    pub(super) fn forget_machine(&mut self, id: ShardId, machine: &MachineId) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let claim = shard.claim;
        let Some(gone) = shard.machines.remove(machine) else { return };
        shard.settle_unlocated();
        self.machine_homes.remove(machine);
        self.write_forget(id, claim, machine.clone(), gone.version);
    }

    fn write_forget(&mut self, id: ShardId, claim: Revision, machine: MachineId, version: Revision) {
        let key = records::machine_key(&machine);
        let request = StateCall::Commit {
            conditions: vec![(records::shard_key(id), claim), (key.clone(), version)],
            changes: vec![Change::Delete(key)],
        };
        self.call_state(request, StateWork::Forget { shard: id, claim, machine, version });
    }

    /// Removals of records that were refused or unanswered are tried again. One that was executed
    /// after all fails on the version, and that is the end of it.
    fn retry_forgets(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let claim = shard.claim;
        for (machine, version) in std::mem::take(&mut shard.leftovers) {
            self.write_forget(id, claim, machine, version);
        }
    }

    pub(super) fn machine_forgotten(
        &mut self,
        id: ShardId,
        claim: Revision,
        machine: MachineId,
        version: Revision,
        answer: Result<StateAnswer, CallError>,
    ) {
        if answer.is_err()
            && let Some(shard) = self.shard_under(id, claim)
        {
            shard.leftovers.push((machine, version));
        }
    }

    fn machines_listed(&mut self, listed: Vec<Listed>) {
        let (now, lease, lag) = (self.now, self.cfg.lease, self.cfg.list_lag);
        self.cloud.listed = listed.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
        let ids: Vec<ShardId> = self.shards.values().filter(|s| s.active).map(|s| s.id).collect();
        for id in &ids {
            let Some(shard) = self.shards.get_mut(id) else { continue };
            let mut vanished = Vec::new();
            for (name, machine) in &mut shard.machines {
                let entry = self.cloud.listed.get(name);
                machine.listed |= entry.is_some();
                if entry.is_some_and(|entry| entry.state == MachineState::Failed) {
                    machine.deleting = true;
                }
                let silent = now.since(machine.seen) > lease + lag + lag + GONE;
                if entry.is_none() && silent && machine.surely_dead(now, lease) {
                    vanished.push(name.clone());
                }
            }
            for (name, machine) in &mut shard.booting {
                let Some(kind) = self.cloud.types.get(&machine.kind) else { continue };
                let entry = self.cloud.listed.get(name);
                let failed = entry.is_some_and(|entry| entry.state == MachineState::Failed);
                let patience = kind.boot.times(2.5) + Span::millis(10_000);
                machine.deleting |= failed || now.since(machine.since) > patience;
            }
            for name in vanished {
                log::info!("machine {name} is gone");
                self.forget_machine(*id, &name);
            }
        }
        self.purge_strays(&ids);
    }

    /// Machines that nobody knows: rented by a request that was executed late, or by a node that
    /// did not live to hear of it. Those that report are adopted; those that never boot, and the
    /// remains of failed ones, are returned by the holder of the shard their number falls in.
    fn purge_strays(&mut self, held: &[ShardId]) {
        if self.cloud.purging {
            return;
        }
        let mut strays = Vec::new();
        for (name, entry) in &self.cloud.listed {
            let known = self.shards.values().any(|s| s.machines.contains_key(name) || s.booting.contains_key(name));
            let elsewhere = self.machine_homes.get(name).is_some_and(|home| !held.contains(home));
            if known || elsewhere || !held.contains(&self.default_shard(name)) {
                continue;
            }
            let boot = self.cloud.types.get(&entry.kind).map_or(Span::ZERO, |kind| kind.boot);
            let stuck = entry.state == MachineState::Booting
                && entry.age > boot.times(4.0) + Span::millis(30_000) + self.cfg.list_lag;
            if stuck || (entry.state == MachineState::Failed && entry.age > Span::millis(30_000)) {
                strays.push(name.clone());
            }
        }
        strays.truncate(MOST_DELETED);
        if !strays.is_empty() && self.cloud.budget.take(self.now, 1.0) {
            log::info!("returning {} machines that nobody knows", strays.len());
            self.cloud.purging = true;
            self.call_cloud(CloudCall::Delete(strays), CloudWork::Purge);
        }
    }

    /// Compares what the shard's work needs with the machines it has, and rents what is missing.
    fn plan(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        shard.taking.retain(|_, (_, since)| now.since(*since) < Span::millis(3000));
        let Some(shard) = self.shards.get(&id) else { return };
        let demands = self.demands(shard);
        let mut bins = self.bins(shard);
        let mut missing: Vec<Demand> = Vec::new();
        for demand in demands {
            let left = fill(&mut bins, &demand, &self.cloud.types);
            if left > 0 {
                missing.push(Demand { count: left, ..demand });
            }
        }
        let ahead = slots_ahead(&missing);
        let mut rentals: Vec<Rental> = Vec::new();
        for (demand, ahead) in missing.into_iter().zip(ahead) {
            // What was opened for an earlier job may have room for this one, and what lies idle
            // elsewhere is there sooner than what has to boot.
            let left = fill(&mut bins, &demand, &self.cloud.types);
            let demand = Demand { count: left, ..demand };
            let left = self.take_offers(id, &demand, &mut bins);
            if left == 0 {
                continue;
            }
            let Some((kind, zone, spot)) = self.cheapest(&demand.spec, ahead, &bins) else { continue };
            let Some(of_kind) = self.cloud.types.get(&kind) else { continue };
            let per_machine = of_kind.room.slots(&demand.spec.needs).max(1) * demand.per_new_slot;
            let count = left.div_ceil(per_machine);
            for _ in 0..count {
                let (kind, zone, room) = (kind.clone(), zone.clone(), of_kind.room);
                bins.push(Bin { id: None, kind, zone, spot, room, used: false });
            }
            fill(&mut bins, &Demand { count: left, ..demand }, &self.cloud.types);
            match rentals.iter_mut().find(|rental| rental.is_of(&kind, &zone, spot)) {
                Some(rental) => rental.count += count,
                None => rentals.push(Rental { kind, zone, spot, count, asked: Time::ZERO, in_flight: false }),
            }
        }
        let spare = bins.iter().filter(|bin| !bin.used).filter_map(|bin| bin.id.clone()).collect();
        let Some(shard) = self.shards.get_mut(&id) else { return };
        shard.spare = spare;
        for mut rental in rentals {
            // One request for all jobs: every call counts, and the cloud either has the machines
            // or it has not. What has not been sent yet can still grow.
            let unsent = |other: &&mut Rental| other.asked == Time::ZERO && !other.in_flight;
            let mut waiting = shard.renting.values_mut().filter(unsent);
            if let Some(other) = waiting.find(|other| other.is_of(&rental.kind, &rental.zone, rental.spot)) {
                other.count = (other.count + rental.count).min(MOST_RENTED);
                continue;
            }
            rental.count = rental.count.min(MOST_RENTED);
            self.counter += 1;
            // Unique for ever: no other claim has this revision.
            let request = format!("r-{}-{}", shard.claim, self.counter);
            shard.renting.insert(request, rental);
        }
        self.ask_rentals(id);
    }

    /// How many tasks each job should have room for at once, from the queue's front.
    fn demands(&self, shard: &Shard) -> Vec<Demand> {
        let mut jobs: Vec<_> = shard.jobs.values().filter(|job| job.ending.is_none()).collect();
        jobs.sort_by_key(|job| (job.spec.priority, job.left_ms(&self.cfg, self.day_ms), &job.order));
        let mut demands = Vec::new();
        let mut used: HashMap<&Name, Resources> = HashMap::new();
        let mut services = 0;
        let mut newest: Option<&super::shard::Job> = None;
        for job in &jobs {
            let waiting = job.pending.len() + job.unlocated.len();
            let (wanted, per_slot, per_new_slot) = match job.spec.kind {
                JobKind::Service => {
                    services += job.spec.tasks;
                    newest = newest.filter(|other| other.order >= job.order).or(Some(job));
                    (job.spec.tasks, 1, 1)
                }
                JobKind::Array => {
                    let (here, new) = self.per_slot_targets(job);
                    (waiting + job.running.len() as u32, here, new)
                }
            };
            // No more than the team may use at once.
            let team = used.entry(&job.spec.team).or_default();
            let limits = self.cfg.teams.get(&job.spec.team);
            let most = limits.map_or(0, |limits| {
                let left = |most: Option<Amount>, used: Amount| {
                    most.map_or(Amount(u64::MAX), |most| Amount(most.0.saturating_sub(used.0)))
                };
                let room = Resources {
                    cpus: left(limits.cpus_max, team.cpus),
                    gpus: left(limits.gpus_max, team.gpus),
                    memory: Amount(u64::MAX),
                };
                room.slots(&job.spec.needs)
            });
            let slots = wanted.div_ceil(per_slot).min(most);
            for _ in 0..slots {
                *team = team.plus(&job.spec.needs);
            }
            let placed = if job.spec.kind == JobKind::Service { job.running.len() as u32 } else { 0 };
            let count = wanted.min(most.saturating_mul(per_new_slot)).saturating_sub(placed);
            if count > 0 {
                let avoids = job.failed_on.iter().map(|(id, _)| id.clone()).filter(|id| job.avoids(id, self.now));
                let avoids = avoids.collect();
                demands.push(Demand { spec: job.spec.clone(), count, per_slot, per_new_slot, avoids });
            }
        }
        if let Some(job) = newest {
            let spare = ((self.cfg.own.headroom - 1.0) * f64::from(services)).ceil() as u32;
            let at = demands.iter().take_while(|d| d.spec.kind == JobKind::Service).count();
            if spare > 0 {
                let spec = job.spec.clone();
                demands.insert(at, Demand { spec, count: spare, per_slot: 1, per_new_slot: 1, avoids: Vec::new() });
            }
        }
        demands
    }

    /// How many of a job's tasks one slot can take after one another before the job should be
    /// done, on a machine that is there and on one that has to boot first: the per-machine target
    /// of the source, per slot.
    fn per_slot_targets(&self, job: &super::shard::Job) -> (u32, u32) {
        let Some(left) = job.time_left(&self.cfg, self.day_ms) else { return (2, 2) };
        let types = || self.cloud.catalog.iter().flatten();
        let boot = types().map(|kind| kind.boot.as_secs()).fold(f64::MAX, f64::min);
        let fetch = types().map(|kind| job.spec.image_gb / kind.fetch_gb_per_s).fold(f64::MAX, f64::min);
        let target = |usable: f64| (usable / job.run_time()).floor().clamp(1.0, 1000.0) as u32;
        (target(left * USABLE - fetch), target(left * USABLE - fetch - boot))
    }

    fn bins(&self, shard: &Shard) -> Vec<Bin> {
        let (now, lease) = (self.now, self.cfg.lease);
        let mut bins = Vec::new();
        for (id, machine) in &shard.machines {
            let quiet = now.since(machine.seen) > lease;
            let distrusted = now < machine.distrusted_until;
            if machine.draining || machine.deleting || machine.notice.is_some() || quiet || distrusted {
                continue;
            }
            let Some(kind) = self.cloud.types.get(&machine.kind) else { continue };
            let mut room = kind.room;
            let mut used = false;
            for attempt in machine.attempts.values().filter(|attempt| !attempt.is_over()) {
                let service = shard.jobs.get(&attempt.task.job).is_some_and(|j| j.spec.kind == JobKind::Service);
                if service {
                    room = room.minus(&attempt.needs);
                    used = true;
                }
            }
            let (kind, zone) = (machine.kind.clone(), machine.zone.clone());
            bins.push(Bin { id: Some(id.clone()), kind, zone, spot: machine.spot, room, used });
        }
        let booting = shard.booting.values().filter(|machine| !machine.deleting);
        let booting = booting.filter(|machine| {
            // One that is overdue may never come.
            self.cloud
                .types
                .get(&machine.kind)
                .is_some_and(|k| now.since(machine.since) < k.boot.times(1.8) + Span::millis(5000))
        });
        let coming = booting.map(|m| (&m.kind, &m.zone, m.spot, 1));
        let coming = coming.chain(shard.taking.values().map(|(offer, _)| (&offer.kind, &offer.zone, offer.spot, 1)));
        let asked = shard.renting.values().map(|r| (&r.kind, &r.zone, r.spot, r.count));
        for (kind, zone, spot, count) in coming.chain(asked) {
            let Some(of_kind) = self.cloud.types.get(kind) else { continue };
            for _ in 0..count {
                let (kind, zone, room) = (kind.clone(), zone.clone(), of_kind.room);
                bins.push(Bin { id: None, kind, zone, spot, room, used: false });
            }
        }
        // Fullest first, so that the emptiest become free to be given back.
        bins.sort_by_key(|bin| (!bin.used, bin.id.is_none(), bin.room.cpus));
        bins
    }

    /// The kind of machine that costs least per slot, if that many slots are wanted in all.
    fn cheapest(&self, spec: &JobSpec, wanted: u32, bins: &[Bin]) -> Option<(Name, Name, bool)> {
        let mut best: Option<(f64, usize, Name, Name, bool)> = None;
        for kind in self.cloud.catalog.iter().flatten() {
            if !spec.allows_type(&kind.name) || !spec.needs.fits_in(&kind.room) {
                continue;
            }
            let slots = kind.room.slots(&spec.needs).max(1);
            let machines = wanted.div_ceil(slots);
            // A machine can go back only when its last replica has left, and with more of them
            // that takes longer: of n that leave by chance the last stays the n-th harmonic
            // number times as long as one does.
            let stranded = match spec.kind {
                JobKind::Service => (1..=slots.min(wanted)).map(|n| 1.0 / f64::from(n)).sum(),
                JobKind::Array => 1.0,
            };
            for spot in [false, true] {
                if spot && !spec.spot {
                    continue;
                }
                let price = if spot { kind.spot_price } else { kind.price };
                let cost = price * f64::from(machines) * stranded;
                for zone in &kind.zones {
                    if !spec.allows_zone(zone) || self.cloud.is_refused(&kind.name, zone, spot, self.now) {
                        continue;
                    }
                    let there = bins.iter().filter(|bin| bin.zone == *zone).count();
                    let better = best.as_ref().is_none_or(|(c, n, ..)| cost < *c - 1e-9 || (cost <= *c && there < *n));
                    if better {
                        best = Some((cost, there, kind.name.clone(), zone.clone(), spot));
                    }
                }
            }
        }
        best.map(|(_, _, kind, zone, spot)| (kind, zone, spot))
    }

    /// Returns machines that have been idle for a while and that the count found no use for.
    fn give_back(&mut self, id: ShardId) {
        let (now, wait) = (self.now, self.cfg.own.give_back);
        let lease = self.cfg.lease;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let spare = std::mem::take(&mut shard.spare);
        for (name, machine) in &mut shard.machines {
            if !machine.listed || machine.deleting || machine.moving_to.is_some() {
                continue;
            }
            let idle = machine.is_empty() && machine.proven;
            if idle && spare.contains(name) && now.since(machine.idle_since) >= wait {
                machine.deleting = true;
            }
            machine.deleting |= idle && now < machine.distrusted_until;
            // Paid for, and its tasks are long started anew elsewhere.
            if machine.surely_dead(now, lease) && now.since(machine.seen) > lease.times(1.5) {
                machine.deleting = true;
            }
        }
        shard.spare = spare;
    }
}

impl Shard {
    /// Drops requests that were not sent yet for what has just been refused. They would count as
    /// machines on their way until each had its own refusal, and nothing else would be rented.
    fn drop_unsent(&mut self, refused: &Rental) {
        self.renting
            .retain(|_, other| other.asked != Time::ZERO || !other.is_of(&refused.kind, &refused.zone, refused.spot));
    }
}

/// For each demand, how many slots it and those of its kind after it are short of. A machine that
/// is too large for one job alone may be the cheapest for all of them.
fn slots_ahead(missing: &[Demand]) -> Vec<u32> {
    let mut sums: HashMap<(JobKind, bool), u32> = HashMap::new();
    let mut ahead: Vec<u32> = missing
        .iter()
        .rev()
        .map(|demand| {
            let sum = sums.entry((demand.spec.kind, demand.spec.spot)).or_default();
            *sum += demand.count.div_ceil(demand.per_new_slot);
            *sum
        })
        .collect();
    ahead.reverse();
    ahead
}

/// Puts as much of the demand as possible into the bins; gives back how many tasks are left.
fn fill(bins: &mut [Bin], demand: &Demand, types: &HashMap<Name, MachineType>) -> u32 {
    let spec = &demand.spec;
    let mut left = demand.count;
    for spot in [true, false] {
        for bin in bins.iter_mut().filter(|bin| bin.spot == spot) {
            if left == 0 {
                return 0;
            }
            let allowed = spec.allows(&bin.kind, &bin.zone, spot);
            let avoided = bin.id.as_ref().is_some_and(|id| demand.avoids.contains(id));
            if !allowed || avoided || !types.contains_key(&bin.kind) {
                continue;
            }
            let per_slot = if bin.id.is_some() { demand.per_slot } else { demand.per_new_slot };
            let taken = bin.room.slots(&spec.needs).min(left.div_ceil(per_slot));
            for _ in 0..taken {
                bin.room = bin.room.minus(&spec.needs);
            }
            bin.used |= taken > 0;
            left = left.saturating_sub(taken.saturating_mul(per_slot));
        }
    }
    left
}

// Moving idle machines between shards.
impl Controller {
    /// Asks other shards for idle machines that the job could use; gives back how many tasks
    /// they leave without room.
    fn take_offers(&mut self, id: ShardId, demand: &Demand, bins: &mut Vec<Bin>) -> u32 {
        let now = self.now;
        let mut left = demand.count;
        let theirs = self.peers.values().filter(|peer| now.since(peer.seen) < Span::millis(1500));
        let mut offers: Vec<Offer> = theirs.flat_map(|peer| peer.spare.iter().cloned()).collect();
        let others = self.shards.values().filter(|shard| shard.id != id && shard.active);
        offers.extend(others.flat_map(|shard| shard.offers(now)));
        offers.sort_by_key(|offer| !offer.spot);
        for offer in offers {
            let spec = &demand.spec;
            let allowed = spec.allows(&offer.kind, &offer.zone, offer.spot);
            let Some(kind) = self.cloud.types.get(&offer.kind) else { continue };
            let room = kind.room;
            let slots = room.slots(&spec.needs);
            let taken = self.shards.values().any(|s| s.taking.contains_key(&offer.machine));
            if left == 0 || !allowed || slots == 0 || taken {
                continue;
            }
            let Some(from) = self.machine_homes.get(&offer.machine).copied().filter(|from| *from != id) else {
                continue;
            };
            let message = PeerMessage::Take { machine: offer.machine.clone(), shard: id };
            if self.shards.contains_key(&from) {
                self.machine_wanted(offer.machine.clone(), id);
            } else if let Some(to) = self.holder_of(from).cloned() {
                self.out.push(Action::Send { to, message });
            } else {
                continue;
            }
            let (kind, zone, spot) = (offer.kind.clone(), offer.zone.clone(), offer.spot);
            bins.push(Bin { id: None, kind, zone, spot, room, used: false });
            let one = Demand { spec: spec.clone(), count: left, avoids: demand.avoids.clone(), ..*demand };
            left = fill(bins, &one, &self.cloud.types);
            if let Some(shard) = self.shards.get_mut(&id) {
                shard.taking.insert(offer.machine.clone(), (offer, now));
            }
        }
        left
    }

    /// Another shard asks for a machine that was offered.
    pub(super) fn machine_wanted(&mut self, machine: MachineId, to: ShardId) {
        if !self.entitled() {
            return;
        }
        let now = self.now;
        let owner = self.shards.values_mut().find(|shard| shard.machines.contains_key(&machine));
        let Some(shard) = owner.filter(|shard| shard.active && shard.id != to) else { return };
        let offered = shard.offers(now).iter().any(|offer| offer.machine == machine);
        let id = shard.id;
        let Some(moving) = shard.machines.get_mut(&machine).filter(|_| offered) else { return };
        moving.draining = true;
        moving.moving_to = Some(to);
        self.write_move(id, &machine);
    }

    fn write_move(&mut self, id: ShardId, machine: &MachineId) {
        let Some(shard) = self.shards.get(&id) else { return };
        let Some((moving, to)) = shard.machines.get(machine).and_then(|m| Some((m, m.moving_to?))) else { return };
        let record = MachineRecord {
            shard: to,
            kind: moving.kind.clone(),
            zone: moving.zone.clone(),
            spot: moving.spot,
            addr: moving.addr.to_string(),
        };
        let key = records::machine_key(machine);
        let request = StateCall::Commit {
            conditions: vec![(records::shard_key(id), shard.claim), (key.clone(), moving.version)],
            changes: vec![Change::Put { key, value: super::members::to_value(&record), hold: None }],
        };
        let work = StateWork::Move { shard: id, claim: shard.claim, machine: machine.clone(), to };
        self.call_state(request, work);
    }

    pub(super) fn moved(
        &mut self,
        id: ShardId,
        claim: Revision,
        machine: MachineId,
        to: ShardId,
        answer: Result<StateAnswer, CallError>,
    ) {
        let Some(shard) = self.shard_under(id, claim) else { return };
        match answer {
            Ok(StateAnswer::Conflict(failed)) if failed.contains(&records::shard_key(id)) => {
                self.drop_shard(id, "the claim is another's")
            }
            // A conflict on the machine alone: an earlier try was executed after all.
            Ok(StateAnswer::Committed(_) | StateAnswer::Conflict(_)) => {
                log::info!("machine {machine} moves from shard {id} to shard {to}");
                shard.machines.remove(&machine);
                shard.settle_unlocated();
                self.machine_homes.insert(machine.clone(), to);
                match self.holder_of(to).cloned() {
                    Some(node) if node == self.cfg.label => self.machine_moved_in(machine, to),
                    Some(node) => {
                        let message = PeerMessage::Moved { machine, shard: to };
                        self.out.push(Action::Send { to: node, message });
                    }
                    None => {}
                }
            }
            // An unanswered move may be executed at any time, so the machine gets nothing more
            // to do here; the same move is tried again until it is certain.
            _ => shard.retry_moves.push(machine),
        }
    }

    fn retry_moves(&mut self, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        for machine in std::mem::take(&mut shard.retry_moves) {
            self.write_move(id, &machine);
        }
    }

    pub(super) fn machine_moved_in(&mut self, machine: MachineId, shard: ShardId) {
        self.machine_homes.insert(machine.clone(), shard);
        let Some(mine) = self.shards.get_mut(&shard).filter(|mine| mine.active) else { return };
        mine.taking.remove(&machine);
        let claim = mine.claim;
        let request = StateCall::Get(records::machine_key(&machine));
        self.call_state(request, StateWork::FetchMachine { shard, claim });
    }
}
