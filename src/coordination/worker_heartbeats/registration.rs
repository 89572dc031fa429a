//! Registration of machines: finds the shard of a machine, and writes the machine's record before its first heartbeat
//! is answered with 200.

use super::super::controller::Controller;
use super::super::events::Requester;
use super::super::shard::EarlyHeartbeat;
use super::MachineOperation;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::coordination::state_admission::TrafficClass;
use crate::model::{FencingToken, MachineId, Revision, ShardId};
use crate::protocol::state::StateResult;
use crate::protocol::state::{Change, Condition, StateAnswer, StateCall};
use crate::protocol::workers::WorkerHeartbeat;
use crate::protocol::{BusyReason, Reply};
use crate::storage::keys;
use crate::storage::records::{self, MachineRecord};
use crate::time::{Span, Time};
use std::collections::VecDeque;

/// Longest time that a heartbeat waits until the record of its machine may be written. Workers wait 4 s for an
/// answer.
const REGISTRATION_TIMEOUT: Span = Span::millis(3000);

/// Interval at which silent machines are probed.
const PROBE_INTERVAL: Span = Span::millis(1000);

/// Machines that wait until their records may be written, and the time of the last tick.
#[derive(Default)]
pub(in crate::coordination) struct Registrations {
    /// One heartbeat of each waiting machine, the oldest first.
    pending: VecDeque<PendingRegistration>,
    /// Time of the last tick, by which the probe interval is kept.
    last_tick_at: Time,
}

impl Registrations {
    /// Records the time of a tick. Returns `true` if a new probe interval has begun since the last tick.
    pub(super) fn begin_tick(&mut self, now: Time) -> bool {
        let previous = std::mem::replace(&mut self.last_tick_at, now);
        now.0 / PROBE_INTERVAL.0 != previous.0 / PROBE_INTERVAL.0
    }

    /// Queues a machine for registration. Replaces an earlier heartbeat of the machine, which then gets no reply.
    fn enqueue(&mut self, registration: PendingRegistration) {
        self.pending.retain(|other| other.heartbeat.machine != registration.heartbeat.machine);
        self.pending.push_back(registration);
    }
}

/// Heartbeat that waits until the record of its machine may be written.
struct PendingRegistration {
    /// Origin of the heartbeat.
    requester: Requester,
    /// Shard for which the machine will be recorded.
    shard: ShardId,
    /// Newest heartbeat of the machine.
    heartbeat: Box<WorkerHeartbeat>,
    /// Time at which the heartbeat was queued.
    since: Time,
}

impl Controller {
    /// Registers waiting machines as far as the rate limit on writes allows, and refuses heartbeats that have timed
    /// out.
    pub(super) fn register_waiting_machines(&mut self) {
        let now = self.now;
        while let Some(first) = self.registrations.pending.front() {
            let timed_out = now.since(first.since) > REGISTRATION_TIMEOUT;
            if !timed_out && !self.admits(TrafficClass::MachineRecord) {
                return;
            }
            let Some(registration) = self.registrations.pending.pop_front() else { return };
            if timed_out {
                self.reply(registration.requester, Reply::busy(BusyReason::RegistrationDelayed));
            } else {
                self.resume_registration(registration);
            }
        }
    }

    /// Continues with a heartbeat that was queued. Another controller may lead its shard by now, or the machine may
    /// have been registered.
    fn resume_registration(&mut self, registration: PendingRegistration) {
        let PendingRegistration { requester, shard: shard_id, heartbeat, .. } = registration;
        let is_unregistered = self
            .shards
            .get(&shard_id)
            .is_some_and(|shard| shard.is_active() && !shard.machines.contains_key(&heartbeat.machine));
        if is_unregistered {
            self.register_machine(requester, shard_id, heartbeat);
        } else {
            self.handle_heartbeat(requester, heartbeat);
        }
    }

    /// Handles a heartbeat of a machine that is not among the loaded machines of any shard of this node.
    pub(super) fn handle_unregistered_heartbeat(&mut self, requester: Requester, heartbeat: Box<WorkerHeartbeat>) {
        let Some(shard_id) = self.presumed_shard(&heartbeat.machine) else {
            return self.find_machine_shard(requester, heartbeat);
        };
        match self.shards.get_mut(&shard_id) {
            Some(shard) if !shard.is_active() => {
                shard.loading.early_heartbeats.push(EarlyHeartbeat { requester, heartbeat });
            }
            Some(_) => self.register_machine(requester, shard_id, heartbeat),
            None => self.redirect_or_relay(requester, shard_id, heartbeat),
        }
    }

    /// Returns the shard of an unregistered machine if it is known without reading the machine's record.
    fn presumed_shard(&self, machine: &MachineId) -> Option<ShardId> {
        let rented_for = self.shards.values().find(|shard| shard.fleet.booting.contains_key(machine));
        rented_for.map(|shard| shard.id).or_else(|| self.directory.machine_shard(machine)).or_else(|| self.only_shard())
    }

    /// Reads the record of a machine to find its shard: another controller may have registered it.
    fn find_machine_shard(&mut self, requester: Requester, heartbeat: Box<WorkerHeartbeat>) {
        if !self.admits(TrafficClass::RecordRead) {
            return self.reply(requester, Reply::busy(BusyReason::TooManyMachineReads));
        }
        let request = StateCall::Get(keys::machine_key(&heartbeat.machine));
        self.call_state(request, MachineOperation::FindShard { requester, heartbeat });
    }

    /// Continues with the heartbeat of a machine whose record was read to find its shard.
    pub(super) fn machine_shard_found(
        &mut self,
        requester: Requester,
        heartbeat: Box<WorkerHeartbeat>,
        answer: StateResult,
    ) {
        let shard_id = match answer {
            Ok(StateAnswer::Found(entry)) => match serde_json::from_value::<MachineRecord>(entry.value) {
                Ok(record) => record.shard,
                Err(_) => return self.reply(requester, Reply::busy(BusyReason::RecordUnreadable)),
            },
            // Rented by a controller that no longer runs, or one of the operators' own machines. All controllers
            // derive the same shard from the number in its id.
            Ok(StateAnswer::Missing) => self.default_shard(&heartbeat.machine),
            _ => return self.reply(requester, Reply::busy(BusyReason::StateUnreachable)),
        };
        self.directory.set_machine_shard_if_unknown(heartbeat.machine.clone(), shard_id);
        match self.shards.get(&shard_id) {
            // Either the machine has no record yet, or its record names this shard but was not loaded with the shard,
            // because the machine was transferred later. In the latter case the write of a first record conflicts, and
            // the existing record is read.
            Some(shard) if shard.is_active() && !shard.machines.contains_key(&heartbeat.machine) => {
                self.register_machine(requester, shard_id, heartbeat);
            }
            Some(_) => self.handle_heartbeat(requester, heartbeat),
            None => self.redirect_or_relay(requester, shard_id, heartbeat),
        }
    }

    /// Returns the shard of a machine without a record, derived from the number in its id. The operators' own machines
    /// are thereby distributed evenly, as the design requires, but only among the shards that take jobs: in other
    /// shards they would be idle.
    pub(in crate::coordination) fn default_shard(&self, machine: &MachineId) -> ShardId {
        let digits = machine.as_str().bytes().filter(u8::is_ascii_digit);
        let number = digits.fold(0u64, |number, digit| number.wrapping_mul(10).wrapping_add(u64::from(digit - b'0')));
        ShardId((number % u64::from(self.settings.team_shards())) as u32)
    }

    /// Returns `true` if a machine without a record was deleted. Its last heartbeats may arrive late and must not
    /// register it again. A machine whose fencing token shows that it was answered before had a record. If that record
    /// is gone, the machine was deleted: it counts as removed once the cloud's list no longer contains it.
    fn is_removed(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let machine = &heartbeat.machine;
        let record_is_being_removed =
            self.shards.values().any(|shard| shard.fleet.stale_machine_records.contains_key(machine));
        let was_answered = heartbeat.token > FencingToken(0);
        record_is_being_removed
            || self.deleted_machines.contains(machine)
            || was_answered && !self.cloud.machine_list().contains(machine)
    }

    /// Writes the record of a machine for the given shard, or queues the heartbeat if no write is admitted now.
    /// Heartbeats of the machine are answered with 200 only once the record is durable.
    fn register_machine(&mut self, requester: Requester, shard_id: ShardId, heartbeat: Box<WorkerHeartbeat>) {
        let is_being_registered = self.is_being_registered(&heartbeat.machine);
        let leadership = match self.shards.get(&shard_id) {
            // A heartbeat that was delayed or delivered twice, of a machine that was deleted.
            Some(_) if self.is_removed(&heartbeat) => {
                return self.reply(requester, Reply::busy(BusyReason::MachineGone));
            }
            Some(shard) if !is_being_registered => shard.leadership_term(),
            _ => return self.reply(requester, Reply::busy(BusyReason::BeingRecorded)),
        };
        if !self.may_decide(shard_id) {
            return self.reply(requester, Reply::busy(BusyReason::LeaseInvalid));
        }
        // When a whole fleet boots at once, the state service would refuse most of the writes, and each of these
        // machines would have to retry.
        if !self.admits(TrafficClass::MachineRecord) {
            let since = self.now;
            let registration = PendingRegistration { requester, shard: shard_id, heartbeat, since };
            return self.registrations.enqueue(registration);
        }
        let record = machine_record(&heartbeat, shard_id);
        let key = keys::machine_key(&heartbeat.machine);
        let request = StateCall::Commit {
            conditions: vec![leadership.condition(), Condition::absent(key.clone())],
            changes: vec![Change::Put { key, value: records::to_value(&record), lease: None }],
        };
        self.call_state(request, MachineOperation::Register { leadership, requester, heartbeat });
    }

    /// Returns `true` if the write of the machine's first record is in flight.
    fn is_being_registered(&self, machine: &MachineId) -> bool {
        self.calls.state_operations().any(|operation| operation.registers(machine))
    }

    /// Continues with a heartbeat after the write of its machine's record was answered.
    pub(super) fn machine_registered(
        &mut self,
        leadership: LeadershipTerm,
        requester: Requester,
        heartbeat: Box<WorkerHeartbeat>,
        answer: StateResult,
    ) {
        let shard_id = leadership.shard;
        if self.shard_in_term(leadership).is_none() || self.step_down_on_conflict(shard_id, &answer) {
            return self.reply(requester, Reply::busy(BusyReason::LeadershipLost));
        }
        match answer {
            Ok(StateAnswer::Committed(version)) => {
                self.add_registered_machine(shard_id, &heartbeat, version);
                self.handle_heartbeat(requester, heartbeat);
            }
            Ok(StateAnswer::Conflict(_)) => {
                // The record exists: another shard has written it, the answer to an earlier write of this node was
                // lost, or the machine was transferred. The record is read to find its shard.
                self.directory.forget_machine_shard(&heartbeat.machine);
                let request = StateCall::Get(keys::machine_key(&heartbeat.machine));
                self.call_state(request, MachineOperation::ReadRecord { leadership });
                self.reply(requester, Reply::busy(BusyReason::RecordedBefore));
            }
            _ => self.reply(requester, Reply::busy(BusyReason::StateUnreachable)),
        }
    }

    /// Adds a machine to its shard. `version` is the version of the record that was just written.
    fn add_registered_machine(&mut self, shard_id: ShardId, heartbeat: &WorkerHeartbeat, version: Revision) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&shard_id) else { return };
        let record = machine_record(heartbeat, shard_id);
        log::info!(
            "machine {} (type {}, zone {}): registered in shard {shard_id}",
            heartbeat.machine,
            record.kind,
            record.zone
        );
        let booted_in_time = shard.fleet.booting.get(&heartbeat.machine).is_some_and(|booting| !booting.overdue);
        shard.add_machine(heartbeat.machine.clone(), &record, heartbeat.addr, version, now);
        if booted_in_time {
            self.cloud.boot_statistics_mut().record(&record.kind, &record.zone, true, now);
        }
        self.directory.set_machine_shard(heartbeat.machine.clone(), shard_id);
    }

    /// Adds a machine whose record was read if the record names the shard of the given term, and queries the machine.
    pub(super) fn machine_record_read(&mut self, leadership: LeadershipTerm, answer: StateResult) {
        let Ok(StateAnswer::Found(entry)) = answer else { return };
        self.load_machine_entry(leadership, &entry);
        self.query_machines(leadership.shard);
    }
}

/// Returns the record of a machine of the given shard with the properties that its heartbeat reports.
fn machine_record(heartbeat: &WorkerHeartbeat, shard: ShardId) -> MachineRecord {
    MachineRecord {
        shard,
        kind: heartbeat.kind.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        addr: heartbeat.addr.to_string(),
    }
}
