//! Scale in: deletion of machines that are silent, idle, failed or stuck while booting, or that belong to no shard.

mod deletion;
mod listed_machines;
mod stale_records;

pub(super) use deletion::DeletedMachines;

use super::controller::Controller;
use super::shard::{Machine, Shard};
use crate::model::{MachineId, ShardId};
use crate::protocol::workers::{ANSWER_TIMEOUT, NEXT_CONTROLLER_DELAY};
use crate::time::{Span, Time};
use crowstall_leadership::LeaderLease;
use std::collections::HashSet;

/// Time for which a machine that is not reconciled, as after a failover, may be silent before it is deleted.
const RECONCILIATION_TIMEOUT: Span = Span::millis(3_000);

/// Number of worker leases for which a machine may lose the answers to its heartbeats before it is deleted.
const MAX_ANSWER_LOSS_LEASES: f64 = 3.0;
/// Number of worker leases for which a machine whose worker lease has expired may be silent before it is deleted.
const MAX_DEAD_LEASES: f64 = 1.5;

/// Fraction of the worker lease for which a machine may be silent without being suspected.
const GRACE_LEASE_FRACTION: f64 = 0.5;
/// Number of heartbeat intervals for which a machine may be silent without being suspected.
const GRACE_INTERVALS: f64 = 3.0;
/// Margin on the time after which a worker that got no answer has tried the next controller.
const GRACE_MARGIN: Span = Span::millis(500);
/// Number of heartbeat intervals within which, with [`REACHABLE_MARGIN`] added, a machine that reaches this node has
/// sent a heartbeat.
const REACHABLE_INTERVALS: f64 = 1.25;
/// Margin for a heartbeat that is in transit.
const REACHABLE_MARGIN: Span = Span::millis(1000);

/// Limits on the silence of a machine.
struct SilenceLimits {
    /// Time since the last heartbeat within which a machine counts as reaching this node.
    reachable_within: Span,
    /// Time since the last heartbeat within which a machine is not suspected: the longest of the grace periods.
    grace_period: Span,
}

/// Reachability of this node for the heartbeats of a machine.
enum Reachability {
    /// Heartbeats arrive directly and recently.
    Reachable,
    /// No heartbeats arrive, the machine does not answer, and tasks wait for it.
    Silent,
    /// Heartbeats come late or relayed by other controllers, the silence delays no task, or the machine is already
    /// being deleted.
    Undecided,
}

impl SilenceLimits {
    /// Returns the reachability of this node for the heartbeats of the machine.
    fn reachability(&self, machine: &Machine, now: Time) -> Reachability {
        let silence = now.since(machine.last_contact_at);
        let is_relayed = machine.relayed_at.is_some_and(|at| now.since(at) < self.grace_period);
        if machine.reconciled && silence < self.reachable_within && !is_relayed {
            return Reachability::Reachable;
        }
        if machine.deleting || machine.reconciled && silence < self.grace_period {
            return Reachability::Undecided;
        }
        let delays_tasks = if machine.reconciled {
            machine.unanswered_calls > 0 && !machine.is_empty()
        } else {
            silence >= RECONCILIATION_TIMEOUT
        };
        if delays_tasks { Reachability::Silent } else { Reachability::Undecided }
    }
}

impl Controller {
    /// Marks for deletion the machines that do not answer while tasks wait to learn what may be running on them.
    ///
    /// A silent machine loses its tasks anyway when its worker lease expires, but that may take long, especially after
    /// a failover. Once the cloud has deleted the machine, its tasks may be started elsewhere at once. No machine is
    /// marked if more machines are silent than reach this node directly, without a relay: the fault is then probably on
    /// the side of this node.
    pub(super) fn mark_silent_machines_for_deletion(&mut self, id: ShardId) {
        let now = self.now;
        let Some(limits) = self.silence_limits(id) else { return };
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let mut reachable_count = 0;
        let mut silent: Vec<&MachineId> = Vec::new();
        for (machine_id, machine) in &shard.machines {
            match limits.reachability(machine, now) {
                Reachability::Reachable => reachable_count += 1,
                Reachability::Silent => silent.push(machine_id),
                Reachability::Undecided => {}
            }
        }
        if silent.len() > reachable_count {
            return;
        }
        let silent: Vec<MachineId> = silent.into_iter().cloned().collect();
        for machine_id in silent {
            if let Some(machine) = shard.machines.get_mut(&machine_id) {
                let silence_s = now.since(machine.last_contact_at).as_secs();
                log::warn!(
                    "machine {machine_id}: silent for {silence_s:.1} s while tasks may be running on it; deleting it"
                );
                machine.deleting = true;
            }
        }
    }

    /// Returns the limits on the silence of the shard's machines, or `None` if this node does not have the shard.
    fn silence_limits(&self, id: ShardId) -> Option<SilenceLimits> {
        let (worker_lease, interval) = (self.settings.worker_lease, self.settings.heartbeat_interval);
        // A worker whose answers are lost waits for each answer until its timeout and only then tries the next
        // controller, although its machine is up.
        let grace_period = worker_lease
            .times(GRACE_LEASE_FRACTION)
            .max(interval.times(GRACE_INTERVALS))
            .max(ANSWER_TIMEOUT + NEXT_CONTROLLER_DELAY + GRACE_MARGIN);
        // An older heartbeat does not show that the machine reaches this node now: when a network partition begins, all
        // machines fall silent one after another. After a failover, workers take longer to find this node.
        let shard = self.shards.get(&id)?;
        let workers_have_found_node = self.now.since(shard.recovery.acquired_at()) >= worker_lease;
        let reachable_within =
            if workers_have_found_node { interval.times(REACHABLE_INTERVALS) + REACHABLE_MARGIN } else { grace_period };
        Some(SilenceLimits { reachable_within, grace_period })
    }

    /// Marks for deletion the machines of the shard that are no longer needed or no longer of use. Runs after the fleet
    /// was planned.
    pub(super) fn scale_in(&mut self, id: ShardId) {
        let limits = DeletionLimits {
            now: self.now,
            worker_lease: self.settings.worker_lease,
            idle_timeout: self.settings.properties.idle_machine_timeout,
        };
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let Shard { machines, fleet, leadership, .. } = shard;
        for (machine_id, machine) in machines {
            if machine.listed && !machine.deleting && machine.moving_to.is_none() {
                machine.deleting =
                    limits.should_delete(machine_id, machine, &fleet.spare_machines, &leadership.leader_lease);
            }
        }
    }
}

/// Conditions under which machines are deleted.
struct DeletionLimits {
    /// Current time.
    now: Time,
    /// Length of a worker lease.
    worker_lease: Span,
    /// Time for which a machine without work is kept.
    idle_timeout: Span,
}

impl DeletionLimits {
    /// Returns `true` if a machine is to be deleted. `spare_machines` holds the machines to which the last plan
    /// assigned no work.
    fn should_delete(
        &self,
        id: &MachineId,
        machine: &Machine,
        spare_machines: &HashSet<MachineId>,
        leader_lease: &LeaderLease,
    ) -> bool {
        let is_idle = machine.is_empty() && machine.reconciled;
        let is_idle_too_long = spare_machines.contains(id) && self.now.since(machine.idle_since) >= self.idle_timeout;
        let is_quarantined = self.now < machine.quarantined_until;
        is_idle && (is_idle_too_long || is_quarantined)
            || self.loses_answers_too_long(machine)
            || self.is_dead(machine, leader_lease)
    }

    /// Returns `true` if a machine has lost the answers to its heartbeats for so long that it costs more than it is of
    /// use.
    fn loses_answers_too_long(&self, machine: &Machine) -> bool {
        let loses_answers_since = machine.answer_loss.loss_since().filter(|_| machine.loses_answers);
        let max_loss = self.worker_lease.times(MAX_ANSWER_LOSS_LEASES);
        loses_answers_since.is_some_and(|since| self.now.since(since) > max_loss)
    }

    /// Returns `true` if a machine has been silent for long and its worker lease has expired, so that its tasks have
    /// been started elsewhere while the machine still costs money.
    fn is_dead(&self, machine: &Machine, leader_lease: &LeaderLease) -> bool {
        machine.all_attempts_surely_ended(self.now, self.worker_lease, leader_lease)
            && self.now.since(machine.last_contact_at) > self.worker_lease.times(MAX_DEAD_LEASES)
    }
}
