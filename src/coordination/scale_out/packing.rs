//! Bin packing: selection of the machines that count as capacity, and distribution of demand over them.

use super::super::controller::Controller;
use super::super::shard::{Machine, RequestedOffer, Shard};
use super::Demand;
use crate::model::{MachineId, MachineType, Name, Quantity, Resources};
use crate::time::{Span, Time};
use crowstall_reconciliation::MachineClass;
use std::collections::HashMap;

/// Machine in a plan: up, booting, requested from another shard, or to be rented.
pub(in crate::coordination) struct PackingBin {
    /// Id of the machine; `None` if it is not up yet.
    pub id: Option<MachineId>,
    /// Machine type, zone, and spot or on-demand.
    pub class: MachineClass,
    /// Resources that the plan has not assigned yet.
    pub room: Resources,
    /// `true` if the plan has packed a task into the bin or a service runs on the machine.
    pub used: bool,
}

/// Order in which bins are filled, compared by the fields from first to last. The fullest machines come first, so that
/// the emptiest stay without work and can be deleted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PackingOrder {
    /// `false`, and so first, for machines with services or packed tasks.
    is_unused: bool,
    /// `false`, and so first, for machines that are up.
    is_not_up: bool,
    /// CPUs that are still free: fuller machines come first.
    free_cpus: Quantity,
}

impl PackingBin {
    /// Returns an empty bin for a machine that is not up yet.
    pub fn expected(class: MachineClass, room: Resources) -> PackingBin {
        PackingBin { id: None, class, room, used: false }
    }

    /// Returns the position of the bin in the order in which bins are filled.
    fn order(&self) -> PackingOrder {
        PackingOrder { is_unused: !self.used, is_not_up: self.id.is_none(), free_cpus: self.room.cpus }
    }

    /// Packs up to `count` tasks of a demand into the bin. Returns the number of tasks that the slots taken can run,
    /// which may be more than `count`.
    fn take(&mut self, demand: &Demand, count: u32) -> u32 {
        let tasks_per_slot = match self.id {
            Some(_) => demand.tasks_per_slot.on_running_machine,
            None => demand.tasks_per_slot.on_new_machine,
        };
        let slots = self.room.slots(&demand.spec.needs).min(count.div_ceil(tasks_per_slot));
        self.room = self.room.minus(&demand.spec.needs.times(slots));
        self.used |= slots > 0;
        slots.saturating_mul(tasks_per_slot)
    }

    /// Returns `true` if the machine may run tasks of the demand.
    fn suits(&self, demand: &Demand) -> bool {
        let is_avoided = self.id.as_ref().is_some_and(|id| demand.avoids.contains(id));
        demand.spec.allows(&self.class.kind, &self.class.zone, self.class.spot) && !is_avoided
    }
}

impl Controller {
    /// Returns the machines of the shard that count as capacity, in the order in which they are filled.
    pub(super) fn packing_bins(&self, shard: &Shard) -> Vec<PackingBin> {
        let mut bins = self.running_machine_bins(shard);
        bins.extend(self.expected_machine_bins(shard));
        bins.sort_by_key(PackingBin::order);
        bins
    }

    /// Returns bins for the machines that are up, with the resources that services leave. Tasks of job arrays are not
    /// subtracted, since running ones are part of the demand.
    fn running_machine_bins(&self, shard: &Shard) -> Vec<PackingBin> {
        let (now, worker_lease) = (self.now, self.settings.worker_lease);
        let machines = shard.machines.iter().filter(|(_, machine)| is_capacity(machine, now, worker_lease));
        machines
            .filter_map(|(id, machine)| {
                let machine_type = self.cloud.machine_type(&machine.kind)?;
                Some(PackingBin {
                    id: Some(id.clone()),
                    class: MachineClass { kind: machine.kind.clone(), zone: machine.zone.clone(), spot: machine.spot },
                    room: machine_type.capacity.minus(&shard.service_usage(machine)),
                    used: shard.service_attempts(machine).next().is_some(),
                })
            })
            .collect()
    }

    /// Returns bins for machines that are booting, that were requested from other shards, or that are being rented.
    fn expected_machine_bins(&self, shard: &Shard) -> Vec<PackingBin> {
        let booting = shard.fleet.booting.values().filter(|machine| self.is_awaited(machine));
        let booting = booting.map(|machine| (machine.class(), 1));
        let requested = shard.fleet.requested_offers.values().map(|RequestedOffer { offer, .. }| {
            (MachineClass { kind: offer.kind.clone(), zone: offer.zone.clone(), spot: offer.spot }, 1)
        });
        let rentals = shard.fleet.rentals.values().map(|rental| (rental.class(), rental.count));
        let mut bins = Vec::new();
        for (class, count) in booting.chain(requested).chain(rentals) {
            let Some(machine_type) = self.cloud.machine_type(&class.kind) else { continue };
            bins.extend((0..count).map(|_| PackingBin::expected(class.clone(), machine_type.capacity)));
        }
        bins
    }
}

/// Returns `true` if a machine that is up counts as capacity: it is not leaving, silent, quarantined or losing the
/// answers to its heartbeats.
fn is_capacity(machine: &Machine, now: Time, worker_lease: Span) -> bool {
    let is_leaving = machine.draining || machine.deleting || machine.reclaim_at.is_some();
    let is_silent = now.since(machine.last_contact_at) > worker_lease;
    let is_quarantined = now < machine.quarantined_until;
    !is_leaving && !is_silent && !is_quarantined && !machine.loses_answers
}

/// Packs as much of a demand as possible into the bins, spot machines first. Returns the number of tasks that did not
/// fit.
pub(in crate::coordination) fn pack(
    bins: &mut [PackingBin],
    demand: &Demand,
    types: &HashMap<Name, MachineType>,
) -> u32 {
    let mut remaining = demand.count;
    for spot in [true, false] {
        for bin in bins.iter_mut().filter(|bin| bin.class.spot == spot) {
            if remaining == 0 {
                return 0;
            }
            // The room is compared first, since most bins of a busy fleet are full.
            let may_take = demand.spec.needs.fits_in(&bin.room) && bin.suits(demand);
            if may_take && types.contains_key(&bin.class.kind) {
                remaining = remaining.saturating_sub(bin.take(demand, remaining));
            }
        }
    }
    remaining
}
