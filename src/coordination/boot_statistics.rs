//! Boot statistics: outcomes of the recent boots of rented machines by machine type and zone, and detection of overdue
//! machines.
//!
//! Machines usually boot within the boot time in the cloud's catalog. At times, though, they boot late, all at the same
//! moment, or never.

use super::controller::Controller;
use super::shard::BootingMachine;
use crate::model::{MachineType, Name, ShardId};
use crate::time::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// Time for which the outcome of a boot counts.
const OBSERVATION_PERIOD: Span = Span::millis(120_000);
/// Minimum number of recent boots on which a conclusion is based.
const MIN_BOOTS: usize = 3;
/// Fraction of boots in time below which machines of the type are avoided in the zone.
const MIN_RELIABLE_FRACTION: f64 = 0.5;
/// Fraction of boots in time below which machines of the type count as booting late or never in the zone.
const MIN_FRACTION_IN_TIME: f64 = 0.15;

/// Multiple of the catalog's boot time after which, with [`OVERDUE_MARGIN`] added, a machine is overdue.
const OVERDUE_BOOT_TIMES: f64 = 1.8;
/// Time added to [`OVERDUE_BOOT_TIMES`] boot times.
const OVERDUE_MARGIN: Span = Span::millis(5000);
/// Multiple of the boot time after which, with [`DELETION_MARGIN`] added, an overdue machine is deleted.
const DELETION_BOOT_TIMES: f64 = 2.5;
/// Time added to [`DELETION_BOOT_TIMES`] boot times.
const DELETION_MARGIN: Span = Span::millis(10_000);
/// Multiple of the boot time after which, with [`DELETION_MARGIN_IF_ALL_LATE`] added, an overdue machine is deleted
/// while all machines of the type boot late. It is longer, since a machine rented instead would be late as well.
const DELETION_BOOT_TIMES_IF_ALL_LATE: f64 = 6.0;
/// Time added to [`DELETION_BOOT_TIMES_IF_ALL_LATE`] boot times.
const DELETION_MARGIN_IF_ALL_LATE: Span = Span::millis(30_000);
/// Multiple of the boot time for which, with [`AWAITED_MARGIN`] added, an overdue machine counts as capacity while all
/// machines of the type boot late.
const AWAITED_BOOT_TIMES: f64 = 5.0;
/// Time added to [`AWAITED_BOOT_TIMES`] boot times.
const AWAITED_MARGIN: Span = Span::millis(10_000);

/// Outcomes of the recent boots.
#[derive(Default)]
pub(super) struct BootStatistics {
    /// Outcomes by machine type and zone, the oldest first.
    boots: HashMap<BootClass, VecDeque<BootOutcome>>,
}

/// Machine type and zone, by which boots are counted.
#[derive(PartialEq, Eq, Hash)]
struct BootClass {
    /// Machine type.
    kind: Name,
    /// Zone.
    zone: Name,
}

/// Outcome of one boot.
struct BootOutcome {
    /// Time at which the outcome became known.
    at: Time,
    /// `true` if the machine came up before it was overdue.
    in_time: bool,
}

impl BootStatistics {
    /// Records the outcome of a boot.
    pub fn record(&mut self, kind: &Name, zone: &Name, in_time: bool, now: Time) {
        let boots = self.boots.entry(BootClass { kind: kind.clone(), zone: zone.clone() }).or_default();
        boots.push_back(BootOutcome { at: now, in_time });
        while boots.front().is_some_and(|boot| now.since(boot.at) > OBSERVATION_PERIOD) {
            boots.pop_front();
        }
    }

    /// Returns the fraction of the recent boots that were in time, or `None` if there were fewer than [`MIN_BOOTS`].
    fn fraction_in_time(&self, kind: &Name, zone: &Name, now: Time) -> Option<f64> {
        let boots = self.boots.get(&BootClass { kind: kind.clone(), zone: zone.clone() })?;
        let recent = || boots.iter().filter(|boot| now.since(boot.at) <= OBSERVATION_PERIOD);
        let count = recent().count();
        let in_time = recent().filter(|boot| boot.in_time).count();
        (count >= MIN_BOOTS).then(|| in_time as f64 / count as f64)
    }

    /// Returns `true` if most machines of the type did not boot in time in the zone recently, so that other machines
    /// are preferred.
    pub fn is_unreliable(&self, kind: &Name, zone: &Name, now: Time) -> bool {
        self.fraction_in_time(kind, zone, now).is_some_and(|fraction| fraction < MIN_RELIABLE_FRACTION)
    }

    /// Returns `true` if hardly any machine of the type boots in time in any zone. Machines rented in place of late
    /// ones would then be late as well.
    fn all_late(&self, machine_type: &MachineType, now: Time) -> bool {
        let is_late = |zone| {
            self.fraction_in_time(&machine_type.name, zone, now).is_some_and(|fraction| fraction < MIN_FRACTION_IN_TIME)
        };
        machine_type.zones.iter().all(is_late)
    }
}

/// Returns the time since its rental after which a machine that is not up is overdue.
fn overdue_after(machine_type: &MachineType) -> Span {
    machine_type.boot.times(OVERDUE_BOOT_TIMES) + OVERDUE_MARGIN
}

/// Returns the time since its rental after which an overdue machine is deleted.
fn deleted_after(machine_type: &MachineType, all_late: bool) -> Span {
    if all_late {
        machine_type.boot.times(DELETION_BOOT_TIMES_IF_ALL_LATE) + DELETION_MARGIN_IF_ALL_LATE
    } else {
        machine_type.boot.times(DELETION_BOOT_TIMES) + DELETION_MARGIN
    }
}

impl Controller {
    /// Marks booting machines that are overdue, and marks those that have been overdue for too long for deletion.
    pub(super) fn check_boots(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let (types, statistics) = self.cloud.types_and_boot_statistics_mut();
        for (machine_id, machine) in &mut shard.fleet.booting {
            let Some(machine_type) = types.get(&machine.kind) else { continue };
            let age = now.since(machine.rented_at);
            if age > overdue_after(machine_type) && !machine.overdue {
                log::debug!(
                    "machine {machine_id} ({}, {}): not up {:.1} s after it was rented; counting the boot as overdue",
                    machine.kind,
                    machine.zone,
                    age.as_secs()
                );
                machine.overdue = true;
                statistics.record(&machine.kind, &machine.zone, false, now);
            }
            // No machine is deleted before it is overdue, so the statistics need not be read for the others.
            machine.deleting |=
                machine.overdue && age > deleted_after(machine_type, statistics.all_late(machine_type, now));
        }
    }

    /// Returns `true` if a booting machine counts as capacity. An overdue machine may never come up, so it does not
    /// count and a replacement is rented. If all machines of the type boot late, it counts for some time; otherwise
    /// ever more machines would be rented.
    pub(super) fn is_awaited(&self, machine: &BootingMachine) -> bool {
        let Some(machine_type) = self.cloud.machine_type(&machine.kind) else { return false };
        let awaited_until = machine.rented_at + (machine_type.boot.times(AWAITED_BOOT_TIMES) + AWAITED_MARGIN);
        let may_only_be_late =
            || self.now < awaited_until && self.cloud.boot_statistics().all_late(machine_type, self.now);
        !machine.deleting && (!machine.overdue || may_only_be_late())
    }
}
