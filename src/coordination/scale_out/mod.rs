//! Scale out: comparing the needs of a shard's jobs with the machines that the shard has, and renting the missing ones
//! where they are cheapest and available.
//!
//! Each plan packs the demand of all jobs, the most urgent first, into the machines that are up, booting or requested
//! from other shards. Machines are rented for the demand that does not fit; machines that receive no demand may be
//! deleted or offered to other shards.

mod demand;
mod packing;
mod rental_choice;

pub(super) use demand::Demand;
pub(super) use packing::{PackingBin, pack};

use super::controller::Controller;
use super::shard::{Rental, RequestedOffer};
use crate::model::{MachineType, Name, ShardId};
use crate::protocol::cloud::MAX_MACHINES_PER_RENTAL;
use crate::time::Span;
use std::collections::HashMap;

/// Interval at which the fleet is planned.
pub(super) const PLAN_INTERVAL: Span = Span::millis(1_000);
/// Time after leadership was acquired during which nothing is rented unless the cloud's machine list has been read.
const MACHINE_LIST_TIMEOUT: Span = Span::millis(3_000);
/// Time for which a machine requested from another shard counts as capacity.
const REQUESTED_OFFER_TIMEOUT: Span = Span::millis(3_000);

impl Controller {
    /// Does the periodic work on the fleet: refreshes the cached state of the cloud, deletes machines, retries
    /// transfers, sends rental requests and plans the fleet.
    pub(super) fn fleet_tick(&mut self) {
        let now = self.now;
        self.refresh_cloud_state();
        let ids: Vec<ShardId> = self.decidable_shards();
        for id in &ids {
            self.mark_silent_machines_for_deletion(*id);
            self.delete_machines(*id);
            self.retry_transfers(*id);
            self.send_rentals(*id);
        }
        if self.cloud.begin_plan(PLAN_INTERVAL, now) {
            for id in ids {
                self.check_boots(id);
                if let Some(shard) = self.shards.get_mut(&id) {
                    shard.update_answer_loss();
                }
                self.plan_fleet(id);
                self.scale_in(id);
            }
        }
    }

    /// Compares the demand of the shard's jobs with its machines, and rents the missing machines.
    fn plan_fleet(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        // After a failover, the machines that the former leader rented are unknown until the cloud has listed them.
        // Renting before that could rent the same capacity twice.
        let acquired_at = shard.recovery.acquired_at();
        if !self.cloud.machine_list().was_completed_since(acquired_at) && now.since(acquired_at) < MACHINE_LIST_TIMEOUT
        {
            return;
        }
        let is_awaited = |requested: &RequestedOffer| now.since(requested.requested_at) < REQUESTED_OFFER_TIMEOUT;
        shard.fleet.requested_offers.retain(|_, requested| is_awaited(requested));
        let Some(shard) = self.shards.get(&id) else { return };
        let demands = self.demands(shard);
        let mut bins = self.packing_bins(shard);
        let known_machines = bins.len();
        let unmet = unmet_demands(demands, &mut bins, self.cloud.types());
        let rentals = self.plan_rentals(id, unmet, &mut bins);
        self.check_plan_size(id, known_machines, bins.len());
        let spare_machines = bins.into_iter().filter(|bin| !bin.used).filter_map(|bin| bin.id).collect();
        let Some(shard) = self.shards.get_mut(&id) else { return };
        shard.fleet.spare_machines = spare_machines;
        for rental in rentals {
            self.add_rental(id, rental);
        }
        self.send_rentals(id);
    }

    /// Records the size of a plan, and checks that its bins stand for machines that exist, were requested, or can be
    /// requested now, however many machines the jobs could use.
    fn check_plan_size(&mut self, id: ShardId, known_machines: usize, bins: usize) {
        self.statistics.record_plan(bins);
        let requested_offers = self.shards.get(&id).map_or(0, |shard| shard.fleet.requested_offers.len());
        let max_rented = self.cloud.count_classes() * MAX_MACHINES_PER_RENTAL as usize;
        if bins > known_machines + requested_offers + max_rented {
            log::error!(
                "invariant violated: shard {id}: a plan of the fleet has {bins} bins for {known_machines} machines"
            );
            self.calls.record_invariant_violation();
        }
    }

    /// Chooses rentals for the demand that does not fit into the bins, and adds the machines to be rented to the bins.
    fn plan_rentals(&mut self, id: ShardId, unmet: Vec<Demand>, bins: &mut Vec<PackingBin>) -> Vec<Rental> {
        let wanted_slots = cumulative_slots(&unmet);
        let mut rentals = Vec::new();
        for (demand, wanted_slots) in unmet.into_iter().zip(wanted_slots) {
            // Machines to be rented for an earlier job may have room for this one. Idle machines of other shards are
            // available sooner than machines that have to boot, so they are requested first.
            let count = pack(bins, &demand, self.cloud.types());
            let demand = Demand { count, ..demand };
            let count = self.request_offers(id, &demand, bins);
            if count > 0 {
                self.plan_rental(id, &Demand { count, ..demand }, wanted_slots, bins, &mut rentals);
            }
        }
        rentals
    }

    /// Chooses the class and number of machines to rent for one demand, and packs the demand into them. Machines beyond
    /// those that may be requested now are left to later plans.
    fn plan_rental(
        &self,
        id: ShardId,
        demand: &Demand,
        wanted_slots: u32,
        bins: &mut Vec<PackingBin>,
        rentals: &mut Vec<Rental>,
    ) {
        let Some(shard) = self.shards.get(&id) else { return };
        let Some(class) = self.cheapest_class(demand, wanted_slots, bins) else { return };
        let Some(machine_type) = self.cloud.machine_type(&class.kind) else { return };
        let tasks_per_machine =
            machine_type.capacity.slots(&demand.spec.needs).max(1).saturating_mul(demand.tasks_per_slot.on_new_machine);
        let planned = rentals.iter().find(|rental| rental.is_of(&class)).map_or(0, |rental| rental.count);
        let allowed = shard.fleet.max_additional_machines(&class).saturating_sub(planned);
        let count = demand.count.div_ceil(tasks_per_machine).min(allowed);
        if count == 0 {
            return;
        }
        bins.extend((0..count).map(|_| PackingBin::expected(class.clone(), machine_type.capacity)));
        pack(bins, demand, self.cloud.types());
        match rentals.iter_mut().find(|rental| rental.is_of(&class)) {
            Some(rental) => rental.count += count,
            None => rentals.push(Rental::new(class, count)),
        }
    }
}

/// Packs the demands into the bins one after another, and returns the parts that did not fit.
fn unmet_demands(demands: Vec<Demand>, bins: &mut [PackingBin], types: &HashMap<Name, MachineType>) -> Vec<Demand> {
    let mut unmet = Vec::new();
    for demand in demands {
        let count = pack(bins, &demand, types);
        if count > 0 {
            unmet.push(Demand { count, ..demand });
        }
    }
    unmet
}

/// Returns, for each demand, the number of slots that the demand and all later demands with the same job kind and the
/// same use of spot machines lack together. A machine that is too large for one job alone may be the cheapest for all
/// of them.
fn cumulative_slots(unmet: &[Demand]) -> Vec<u32> {
    let mut sums: HashMap<_, u32> = HashMap::new();
    let mut slots: Vec<u32> = unmet
        .iter()
        .rev()
        .map(|demand| {
            let sum = sums.entry((demand.spec.kind, demand.spec.spot)).or_default();
            *sum = sum.saturating_add(demand.count.div_ceil(demand.tasks_per_slot.on_new_machine));
            *sum
        })
        .collect();
    slots.reverse();
    slots
}
