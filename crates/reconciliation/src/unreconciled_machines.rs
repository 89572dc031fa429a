//! The unreconciled machines, on which tasks that a former leader started may still be running, and upper bounds of the
//! resources that each team may be using on them.

use crowstall_model::model::{JobSpec, MachineId, Name, Quantity, Resources};
use std::collections::{BTreeMap, HashMap};

/// Properties of a machine by which a job can restrict the machines that it runs on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineClass {
    /// Name of the machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
}

/// Quota of a team. `None` means that the resource is not limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// Maximum CPUs that the team may use.
    pub cpus: Option<Quantity>,
    /// Maximum GPUs that the team may use.
    pub gpus: Option<Quantity>,
}

/// Unreconciled machines of one shard, and the resources of the attempts that were found on reconciled ones.
#[derive(Default)]
pub(crate) struct UnreconciledMachines {
    machines: BTreeMap<MachineId, MachineClass>,
    /// Number of unreconciled machines of each class. Has few entries, whatever the size of the fleet.
    count_by_class: BTreeMap<MachineClass, u64>,
    /// Resources, by team, of the attempts that were found running when their machines were reconciled. Not reduced
    /// when these attempts end; see `max_usage`.
    found_by_team: HashMap<Name, Resources>,
}

impl UnreconciledMachines {
    pub(crate) fn add(&mut self, id: MachineId, class: MachineClass) {
        if self.machines.insert(id, class.clone()).is_none() {
            *self.count_by_class.entry(class).or_default() += 1;
        }
    }

    /// Removes a machine. Returns `true` if it was the last unreconciled machine of its class: only then may tasks be
    /// started that could not be started before.
    pub(crate) fn remove(&mut self, id: &MachineId) -> bool {
        let Some(class) = self.machines.remove(id) else { return false };
        let Some(count) = self.count_by_class.get_mut(&class) else { return false };
        *count -= 1;
        let is_last = *count == 0;
        if is_last {
            self.count_by_class.remove(&class);
        }
        is_last
    }

    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    pub(crate) fn record_found_attempt(&mut self, team: &Name, resources: &Resources) {
        let found = self.found_by_team.entry(team.clone()).or_default();
        *found = found.plus(resources);
    }

    /// Returns `true` if a task of the job may be running on an unreconciled machine of the considered classes. Leaders
    /// start a task only on machines of classes that its job allows, so it cannot be running on any other.
    pub(crate) fn may_be_running(&self, job: &JobSpec, is_considered: impl Fn(&MachineClass) -> bool) -> bool {
        let is_possible =
            |class: &MachineClass| is_considered(class) && job.allows(&class.kind, &class.zone, class.spot);
        self.count_by_class.keys().any(is_possible)
    }

    /// Returns an upper bound of the resources that a team may be using on the unreconciled machines and on further
    /// machines whose total capacity is `others`: their whole capacity, but no more than the team's quota less the
    /// resources of the attempts that were found running.
    ///
    /// The quota is a valid bound for the following reason. Consider the moment at which the last former leader started
    /// its last task. Every attempt of a former leader that runs now was running or on its way at that moment, and its
    /// resources were counted against the quota. So the attempts that were found since and those that are not found yet
    /// were within the quota together, and since then attempts have only ended. Hence those that are not found yet use
    /// at most the quota less the resources of those that were found, even after some of the latter have ended. The end
    /// of an attempt that was found therefore makes room for a new one.
    pub(crate) fn max_usage(
        &self,
        team: &Name,
        quota: Option<TeamQuota>,
        capacity: impl Fn(&Name) -> Resources,
        others: Resources,
    ) -> Resources {
        let total_capacity = self
            .count_by_class
            .iter()
            .fold(others, |sum, (class, count)| sum.plus(&scaled(capacity(&class.kind), *count)));
        let Some(quota) = quota else { return total_capacity };
        let found = self.found_by_team.get(team).copied().unwrap_or_default();
        Resources {
            cpus: total_capacity.cpus.min(remaining(quota.cpus, found.cpus)),
            gpus: total_capacity.gpus.min(remaining(quota.gpus, found.gpus)),
            memory: total_capacity.memory,
        }
    }
}

fn scaled(resources: Resources, count: u64) -> Resources {
    let multiply = |quantity: Quantity| Quantity(quantity.0.saturating_mul(count));
    Resources { cpus: multiply(resources.cpus), gpus: multiply(resources.gpus), memory: multiply(resources.memory) }
}

/// Returns the unused part of a limit. Without a limit it is unbounded.
fn remaining(limit: Option<Quantity>, used: Quantity) -> Quantity {
    limit.map_or(Quantity(u64::MAX), |limit| Quantity(limit.0.saturating_sub(used.0)))
}
