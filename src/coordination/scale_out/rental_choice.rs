//! Choice of the machine class to rent: the cheapest per slot that boots reliably.

use super::super::controller::Controller;
use super::{Demand, PackingBin};
use crate::model::{JobKind, JobSpec, MachineType, Name};
use crowstall_reconciliation::MachineClass;
use std::collections::HashMap;

/// Tolerance within which costs count as equal, since sums of floating-point numbers are not exact.
const COST_TOLERANCE: f64 = 1e-9;

/// Number of reciprocals that are summed one by one; the rest of a longer sum is approximated.
const MAX_SUMMED_RECIPROCALS: u32 = 1000;

/// Class of machines that could be rented for a demand.
struct RentalOption {
    /// Class of the machines.
    class: MachineClass,
    /// `true` if most machines of the type did not boot in time in the zone recently.
    boots_late: bool,
    /// Cost of the machines for as long as they can't be deleted, in the unit of the catalog's prices.
    cost: f64,
    /// Number of machines in the plan that are in the zone.
    machines_in_zone: usize,
}

impl RentalOption {
    /// Returns `true` if this option is preferred to the other. Machines that boot late come last, however cheap they
    /// are. Among options of equal cost, the zone with fewer machines wins, which limits the loss when a zone fails.
    fn is_better_than(&self, other: &RentalOption) -> bool {
        if self.boots_late != other.boots_late {
            return other.boots_late;
        }
        let is_cheaper = self.cost < other.cost - COST_TOLERANCE;
        is_cheaper || self.cost <= other.cost && self.machines_in_zone < other.machines_in_zone
    }
}

impl Controller {
    /// Returns the class of machines that costs least per slot if `wanted_slots` are needed in all. `None` if no class
    /// is available and allowed.
    pub(super) fn cheapest_class(
        &self,
        demand: &Demand,
        wanted_slots: u32,
        bins: &[PackingBin],
    ) -> Option<MachineClass> {
        let machines_by_zone = count_by_zone(bins);
        let mut best: Option<RentalOption> = None;
        for machine_type in self.cloud.catalog() {
            if !demand.spec.allows_type(&machine_type.name) || !demand.spec.needs.fits_in(&machine_type.capacity) {
                continue;
            }
            for spot in [false, true].into_iter().filter(|spot| may_rent(demand, *spot)) {
                for option in self.rental_options(&demand.spec, wanted_slots, &machines_by_zone, machine_type, spot) {
                    if best.as_ref().is_none_or(|best| option.is_better_than(best)) {
                        best = Some(option);
                    }
                }
            }
        }
        best.map(|option| option.class)
    }

    /// Returns an option for each zone in which machines of the type can be rented for the job. Zones in which the
    /// cloud recently had no such machines are left out.
    fn rental_options(
        &self,
        spec: &JobSpec,
        wanted_slots: u32,
        machines_by_zone: &HashMap<&Name, usize>,
        machine_type: &MachineType,
        spot: bool,
    ) -> Vec<RentalOption> {
        let cost = rental_cost(spec, wanted_slots, machine_type, spot);
        let zones = machine_type.zones.iter().filter(|zone| spec.allows_zone(zone));
        let classes = zones.map(|zone| MachineClass { kind: machine_type.name.clone(), zone: zone.clone(), spot });
        classes
            .filter(|class| !self.cloud.is_refused(class, self.now))
            .map(|class| RentalOption {
                boots_late: self.cloud.boot_statistics().is_unreliable(&class.kind, &class.zone, self.now),
                cost,
                machines_in_zone: machines_by_zone.get(&class.zone).copied().unwrap_or_default(),
                class,
            })
            .collect()
    }
}

/// Returns the number of machines in the plan in each zone.
fn count_by_zone(bins: &[PackingBin]) -> HashMap<&Name, usize> {
    let mut counts = HashMap::new();
    for bin in bins {
        *counts.entry(&bin.class.zone).or_default() += 1;
    }
    counts
}

/// Returns `true` if spot or, for `spot == false`, on-demand machines may be rented for a demand.
fn may_rent(demand: &Demand, spot: bool) -> bool {
    if spot { demand.spec.spot } else { !(demand.spec.spot && demand.waits_for_spot) }
}

/// Returns the cost of machines of the type that have the wanted number of slots together.
fn rental_cost(spec: &JobSpec, wanted_slots: u32, machine_type: &MachineType, spot: bool) -> f64 {
    let slots = machine_type.capacity.slots(&spec.needs).max(1);
    let machines = wanted_slots.div_ceil(slots);
    // A machine can be deleted only after the last task of its services has ended, and that takes longer the more of
    // them there are: of n tasks that end at random, the last one runs on average for the n-th harmonic number times as
    // long as a single task.
    let time_factor: f64 = match spec.kind {
        JobKind::Service => harmonic_number(slots.min(wanted_slots)),
        JobKind::Array => 1.0,
    };
    let price = if spot { machine_type.spot_price } else { machine_type.price };
    price * f64::from(machines) * time_factor
}

/// Returns the sum of the reciprocals of the numbers from 1 to `n`, with an error of less than 1e-12.
fn harmonic_number(n: u32) -> f64 {
    let summed: f64 = (1..=n.min(MAX_SUMMED_RECIPROCALS)).map(|n| 1.0 / f64::from(n)).sum();
    if n <= MAX_SUMMED_RECIPROCALS {
        return summed;
    }
    let euler_maclaurin = |n: f64| n.ln() + 0.5 / n - 1.0 / (12.0 * n * n);
    summed + euler_maclaurin(f64::from(n)) - euler_maclaurin(f64::from(MAX_SUMMED_RECIPROCALS))
}
