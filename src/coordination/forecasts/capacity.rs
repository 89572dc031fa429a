//! Capacity of a shard's machines for job arrays, now and after the booting machines are up.

use super::super::shard::{Machine, Shard};
use crate::config::Settings;
use crate::model::{JobKind, JobSpec, MachineType, Name, Quantity, Resources};
use crate::time::{Span, Time};
use crowstall_forecast::{AvailableCapacity, BootingCapacity};
use std::collections::{BTreeMap, HashMap};

/// Lower bound of the expected remaining boot time of a machine, as a fraction of its age. It applies to machines that
/// have nearly reached or exceeded their nominal boot time.
const EXPECTED_DELAY_FRACTION: f64 = 0.25;

/// Lower bound of the divisor when a fraction of CPUs is computed, which prevents a division by zero.
const MIN_CPUS: f64 = 1e-6;

/// Placeholder for the machine type if a shard has no machine that a job may use.
const NO_TYPE: &str = "-";

/// The machines of a shard that are up or booting, in groups.
pub(super) struct FreeCapacity {
    /// Groups in the order in which their machines are available: first those that are up.
    groups: Vec<MachineGroup>,
}

/// Machines that are equivalent for the placement of tasks.
struct MachineGroup {
    class: MachineClass,
    /// Resources of one machine.
    capacity: Resources,
    /// Number of machines.
    count: u32,
    /// Time until the machines are up. `None` if they are up already.
    time_until_up: Option<Span>,
    /// Fraction of the CPUs that is not used by services, from 0 to 1.
    free_cpu_fraction: f64,
}

/// The properties of a machine that jobs can restrict.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachineClass {
    kind: Name,
    zone: Name,
    spot: bool,
}

/// Totals of the machines of a class that are up.
#[derive(Default)]
struct UpMachines {
    count: u32,
    service_cpus: f64,
}

/// Machines of a class that will be up at about the same time, rounded up to seconds.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct BootingMachines {
    class: MachineClass,
    seconds_until_up: u64,
}

impl FreeCapacity {
    /// Groups the machines of a shard by class and by the time at which they are up.
    pub fn of(shard: &Shard, types: &HashMap<Name, MachineType>, now: Time) -> FreeCapacity {
        let mut groups = groups_of_machines_up(shard, types);
        groups.extend(groups_of_machines_booting(shard, types, now));
        groups.sort_by_key(|group| group.time_until_up);
        FreeCapacity { groups }
    }

    /// Returns the groups of machines that a job may use.
    fn usable_groups<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a MachineGroup> {
        self.groups.iter().filter(|group| spec.allows(&group.class.kind, &group.class.zone, group.class.spot))
    }

    /// Returns the most common type among the machines that the job may use, or [`NO_TYPE`] if there are none.
    pub fn most_common_type(&self, spec: &JobSpec) -> Name {
        let mut counts: BTreeMap<&Name, u32> = BTreeMap::new();
        for group in self.usable_groups(spec) {
            *counts.entry(&group.class.kind).or_default() += group.count;
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        most.map_or_else(|| Name::new(NO_TYPE), |(kind, _)| kind.clone())
    }

    /// Returns the CPUs that the job's tasks can use, now and after booting machines are up. CPUs that are used by
    /// tasks of job arrays count as available.
    pub fn available_capacity(&self, spec: &JobSpec, settings: &Settings) -> AvailableCapacity {
        let cpus_of_task = spec.needs.cpus.value();
        let mut capacity = AvailableCapacity::default();
        for group in self.usable_groups(spec) {
            let slots = group.count.saturating_mul(group.capacity.slots(&spec.needs));
            let cpus = f64::from(slots) * group.free_cpu_fraction * cpus_of_task;
            match group.time_until_up {
                None => capacity.cpus += cpus,
                Some(time_until_up) => capacity.booting.push(BootingCapacity { ready_in: time_until_up, cpus }),
            }
        }
        let quota = settings.teams.get(&spec.team).and_then(|quota| quota.cpus_max);
        capacity.max_cpus = quota.map_or(f64::MAX, Quantity::value).min(f64::from(spec.tasks) * cpus_of_task);
        capacity
    }
}

/// Groups the machines that are up, without those that are draining, being deleted or about to be reclaimed by the
/// cloud. Machines that are unreconciled after a failover are included, since they will be reconciled soon.
fn groups_of_machines_up(shard: &Shard, types: &HashMap<Name, MachineType>) -> Vec<MachineGroup> {
    let mut classes: BTreeMap<MachineClass, UpMachines> = BTreeMap::new();
    let stays = |machine: &&Machine| !machine.draining && !machine.deleting && machine.reclaim_at.is_none();
    for machine in shard.machines.values().filter(stays) {
        let class = MachineClass { kind: machine.kind.clone(), zone: machine.zone.clone(), spot: machine.spot };
        let up = classes.entry(class).or_default();
        up.count += 1;
        up.service_cpus += service_cpus(shard, machine);
    }
    let group = |(class, up): (MachineClass, UpMachines)| {
        let capacity = types.get(&class.kind)?.capacity;
        let all_cpus = (f64::from(up.count) * capacity.cpus.value()).max(MIN_CPUS);
        let free_cpu_fraction = (1.0 - up.service_cpus / all_cpus).clamp(0.0, 1.0);
        Some(MachineGroup { class, capacity, count: up.count, time_until_up: None, free_cpu_fraction })
    };
    classes.into_iter().filter_map(group).collect()
}

/// Returns the CPUs that services use on a machine.
fn service_cpus(shard: &Shard, machine: &Machine) -> f64 {
    let services = machine.attempts.values().filter(|attempt| {
        let job = shard.jobs.get(&attempt.task.job);
        !attempt.is_over() && job.is_some_and(|job| job.spec.kind == JobKind::Service)
    });
    services.map(|attempt| attempt.needs.cpus.value()).sum()
}

/// Groups the machines that are booting and those that were requested but are not known by id yet.
fn groups_of_machines_booting(shard: &Shard, types: &HashMap<Name, MachineType>, now: Time) -> Vec<MachineGroup> {
    let mut counts: BTreeMap<BootingMachines, u32> = BTreeMap::new();
    for machine in shard.fleet.booting.values().filter(|machine| !machine.deleting) {
        let Some(machine_type) = types.get(&machine.kind) else { continue };
        let age = now.since(machine.rented_at);
        let time_until_up = (machine_type.boot - age).max(age.times(EXPECTED_DELAY_FRACTION));
        let class = MachineClass { kind: machine.kind.clone(), zone: machine.zone.clone(), spot: machine.spot };
        *counts.entry(BootingMachines { class, seconds_until_up: whole_seconds(time_until_up) }).or_default() += 1;
    }
    for rental in shard.fleet.rentals.values() {
        let seconds_until_up = types.get(&rental.kind).map_or(0, |machine_type| whole_seconds(machine_type.boot));
        let class = MachineClass { kind: rental.kind.clone(), zone: rental.zone.clone(), spot: rental.spot };
        *counts.entry(BootingMachines { class, seconds_until_up }).or_default() += rental.count;
    }
    let group = |(BootingMachines { class, seconds_until_up }, count): (BootingMachines, u32)| {
        let capacity = types.get(&class.kind)?.capacity;
        Some(MachineGroup {
            class,
            capacity,
            count,
            time_until_up: Some(Span::millis(seconds_until_up * 1000)),
            free_cpu_fraction: 1.0,
        })
    };
    counts.into_iter().filter_map(group).collect()
}

/// Returns the length of a span in seconds, rounded up.
fn whole_seconds(span: Span) -> u64 {
    span.as_secs().ceil() as u64
}
