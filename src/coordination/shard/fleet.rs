//! Machines of a shard outside its running fleet: requested, booting, being transferred, or gone.

use crate::model::{MachineId, Name, Revision};
use crate::protocol::cloud::MAX_MACHINES_PER_RENTAL;
use crate::protocol::peers::MachineOffer;
use crate::time::{Span, Time};
use crowstall_reconciliation::MachineClass;
use std::collections::{BTreeMap, HashSet};

/// Machines of a shard that were requested or are booting, are being transferred, or are gone.
#[derive(Default)]
pub(in crate::coordination) struct FleetState {
    /// Machines that were rented and are not up yet, by id.
    pub booting: BTreeMap<MachineId, BootingMachine>,
    /// Rental requests without a final answer, by idempotency key.
    pub rentals: BTreeMap<String, Rental>,
    /// Machines offered by other shards whose transfer to this shard was requested recently.
    pub requested_offers: BTreeMap<MachineId, RequestedOffer>,
    /// Machines for which the last capacity plan had no work.
    pub spare_machines: HashSet<MachineId>,
    /// Machines whose transfer to another shard has to be written again, since the last write was refused or is in
    /// doubt.
    pub retry_transfers: Vec<MachineId>,
    /// Earliest time at which the next deletion request may be sent.
    pub next_deletion_at: Time,
    /// Records of machines that are gone, still to be removed from the state service, with their versions.
    pub stale_machine_records: BTreeMap<MachineId, Revision>,
}

/// Offered machine whose transfer was requested from its shard.
pub(in crate::coordination) struct RequestedOffer {
    /// Offer in which the other shard named the machine.
    pub offer: MachineOffer,
    /// Time of the request.
    pub requested_at: Time,
}

impl FleetState {
    /// Returns the number of further machines of a class that may be requested now: a request names at most
    /// [`MAX_MACHINES_PER_RENTAL`] machines, and a class has at most one request that was not sent yet.
    pub fn max_additional_machines(&self, class: &MachineClass) -> u32 {
        let unsent = self.rentals.values().filter(|rental| rental.is_unsent() && rental.is_of(class));
        let requested: u32 = unsent.map(|rental| rental.count).sum();
        MAX_MACHINES_PER_RENTAL.saturating_sub(requested)
    }

    /// Drops all unsent requests for machines of the class that `refused` requested in vain. Otherwise these requests
    /// would count as capacity until each was refused as well, and no machines of other classes would be rented.
    pub fn drop_unsent_rentals(&mut self, refused: &Rental) {
        let class = refused.class();
        self.rentals.retain(|_, other| !other.is_unsent() || !other.is_of(&class));
    }
}

/// Time after which an unanswered rental request is sent again, counted from the previous sending.
const RENTAL_RETRY_INTERVAL: Span = Span::millis(1000);

/// Rental request without a final answer.
pub(in crate::coordination) struct Rental {
    /// Requested machine type.
    pub kind: Name,
    /// Requested zone.
    pub zone: Name,
    /// `true` if spot machines are requested.
    pub spot: bool,
    /// Number of requested machines.
    pub count: u32,
    /// Progress of the request.
    state: RentalState,
}

/// Progress of a rental request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RentalState {
    /// The request has not been sent yet; its count may still grow.
    Unsent,
    /// The request is in flight.
    InFlight { sent: Time },
    /// The request had no answer. It is sent again with the same idempotency key, so that the cloud rents the machines
    /// only once.
    Unanswered { sent: Time },
}

impl Rental {
    /// Creates a request that has not been sent yet.
    pub fn new(class: MachineClass, count: u32) -> Rental {
        let MachineClass { kind, zone, spot } = class;
        Rental { kind, zone, spot, count, state: RentalState::Unsent }
    }

    /// Returns the class of the requested machines.
    pub fn class(&self) -> MachineClass {
        MachineClass { kind: self.kind.clone(), zone: self.zone.clone(), spot: self.spot }
    }

    /// Returns `true` if machines of the given class are requested.
    pub fn is_of(&self, class: &MachineClass) -> bool {
        self.kind == class.kind && self.zone == class.zone && self.spot == class.spot
    }

    /// Returns `true` if the request has not been sent yet.
    pub fn is_unsent(&self) -> bool {
        self.state == RentalState::Unsent
    }

    /// Returns `true` if the request has to be sent, or sent again, now.
    pub fn is_due(&self, now: Time) -> bool {
        match self.state {
            RentalState::Unsent => true,
            RentalState::InFlight { .. } => false,
            RentalState::Unanswered { sent } => now.since(sent) > RENTAL_RETRY_INTERVAL,
        }
    }

    /// Records that the request was sent.
    pub fn call_started(&mut self, now: Time) {
        self.state = RentalState::InFlight { sent: now };
    }

    /// Records that the call has ended, with or without an answer. A request that is not removed afterwards counts as
    /// unanswered.
    pub fn call_ended(&mut self) {
        if let RentalState::InFlight { sent } = self.state {
            self.state = RentalState::Unanswered { sent };
        }
    }

    /// Returns the suffix that marks spot machines in log lines, empty for other machines.
    pub fn spot_label(&self) -> &'static str {
        if self.spot { ", spot" } else { "" }
    }
}

/// Machine that was rented and is not up yet.
pub(in crate::coordination) struct BootingMachine {
    /// Machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
    /// Time at which the machine was rented, as far back as the clock of this process reaches.
    pub rented_at: Time,
    /// `true` if the machine has been booting for longer than expected.
    pub overdue: bool,
    /// `true` if the machine is to be deleted.
    pub deleting: bool,
}

impl BootingMachine {
    /// Creates a machine that was rented at the given time.
    pub fn new(class: MachineClass, rented_at: Time) -> BootingMachine {
        let MachineClass { kind, zone, spot } = class;
        BootingMachine { kind, zone, spot, rented_at, overdue: false, deleting: false }
    }

    /// Returns the class of the machine: type, zone and spot flag.
    pub fn class(&self) -> MachineClass {
        MachineClass { kind: self.kind.clone(), zone: self.zone.clone(), spot: self.spot }
    }
}
