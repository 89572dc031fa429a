//! Rentals: requests to the cloud for machines, and machines that were rented and are not up yet.

use super::controller::Controller;
use super::leadership_term::LeadershipTerm;
use super::pending_calls::CloudOperation;
use super::shard::{BootingMachine, Rental};
use crate::model::{MachineId, ShardId};
use crate::protocol::CallError;
use crate::protocol::cloud::{CloudAnswer, CloudCall};

impl Controller {
    /// Adds a rental to the shard's requests. It has at most [`max_additional_machines`] machines.
    ///
    /// A request that was not sent yet grows instead of a second one being made for the same class of machines. Calls
    /// to the cloud are limited, and the cloud either has machines of a class or it does not.
    ///
    /// [`max_additional_machines`]: super::shard::FleetState::max_additional_machines
    pub(super) fn add_rental(&mut self, id: ShardId, rental: Rental) {
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let class = rental.class();
        let mut unsent = shard.fleet.rentals.values_mut().filter(|other| other.is_unsent());
        if let Some(other) = unsent.find(|other| other.is_of(&class)) {
            other.count += rental.count;
            return;
        }
        self.counter += 1;
        // The name is the idempotency key of the request and unique for ever: no other leadership term has this
        // revision, and no other request of this process has this counter value.
        let request = format!("r-{}-{}", shard.term, self.counter);
        shard.fleet.rentals.insert(request, rental);
    }

    /// Sends rental requests that were not sent yet or whose answer was lost. Requests are idempotent: a request that
    /// is sent again under the same name rents nothing twice.
    pub(super) fn send_rentals(&mut self, id: ShardId) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let leadership = shard.leadership_term();
        for (request, rental) in &mut shard.fleet.rentals {
            if !rental.is_due(now) || !self.cloud.take_call(now) {
                continue;
            }
            rental.call_started(now);
            let call = CloudCall::Rent {
                request: request.clone(),
                kind: rental.kind.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
                count: rental.count,
            };
            let operation = CloudOperation::Rent { leadership, request: request.clone() };
            self.calls.send_to_cloud(call, operation);
        }
    }

    /// Handles the cloud's answer to a rental request.
    pub(super) fn rental_answered(
        &mut self,
        leadership: LeadershipTerm,
        request: String,
        answer: Result<CloudAnswer, CallError>,
    ) {
        let id = leadership.shard;
        let Some(shard) = self.shard_in_term(leadership) else { return };
        let Some(rental) = shard.fleet.rentals.get_mut(&request) else { return };
        rental.call_ended();
        match answer {
            Ok(CloudAnswer::Rented(machines)) => self.machines_rented(id, &request, machines),
            Ok(CloudAnswer::NoCapacity) => self.rental_refused(id, &request),
            Err(CallError::Unexpected(status)) => {
                log::error!(
                    "rental request {request}: unexpected answer from the cloud (status {status}); dropping the request"
                );
                shard.fleet.rentals.remove(&request);
            }
            _ => {}
        }
    }

    /// Adds rented machines to those that are booting. If the cloud rented fewer than requested, the class of machines
    /// counts as refused.
    fn machines_rented(&mut self, id: ShardId, request: &str, machines: Vec<MachineId>) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let Some(rental) = shard.fleet.rentals.remove(request) else { return };
        let Rental { kind, zone, count, .. } = &rental;
        log::info!(
            "rental request {request}: rented {} of {count} machines ({kind}, {zone}{})",
            machines.len(),
            rental.spot_label()
        );
        for machine in &machines {
            self.directory.set_machine_shard(machine.clone(), id);
            if !shard.machines.contains_key(machine) {
                shard.fleet.booting.insert(machine.clone(), BootingMachine::new(rental.class(), now));
            }
        }
        if (machines.len() as u32) < rental.count {
            shard.fleet.drop_unsent_rentals(&rental);
            self.cloud.record_refusal(rental.class(), now);
        } else {
            self.cloud.clear_refusal(&rental.class());
        }
        self.cloud.request_plan();
    }

    /// Records that the cloud has no machines of the requested class.
    fn rental_refused(&mut self, id: ShardId, request: &str) {
        let now = self.now;
        let Some(shard) = self.shards.get_mut(&id) else { return };
        let Some(rental) = shard.fleet.rentals.remove(request) else { return };
        log::info!(
            "rental request {request}: no machines available ({}, {}{})",
            rental.kind,
            rental.zone,
            rental.spot_label()
        );
        shard.fleet.drop_unsent_rentals(&rental);
        self.cloud.record_refusal(rental.class(), now);
        self.cloud.request_plan();
    }
}
