//! Cached state of the cloud: its catalog, its machine list, refusals and boot statistics. Calls are limited to this
//! node's share of the cloud's rate limit. Answers of the cloud are dispatched to the component that made the call.

use super::boot_statistics::BootStatistics;
use super::controller::Controller;
use super::machine_list::MachineList;
use super::pending_calls::CloudOperation;
use crate::config::Settings;
use crate::model::{MachineType, Name, Resources};
use crate::protocol::CallError;
use crate::protocol::cloud::{CloudAnswer, CloudCall};
use crate::storage::rate_limiter::RateLimiter;
use crate::time::{Span, Time};
use crowstall_reconciliation::MachineClass;
use std::collections::{BTreeMap, HashMap};

/// Interval at which the catalog is read.
const CATALOG_INTERVAL: Span = Span::millis(60_000);
/// Interval at which the catalog is requested until it has been read once.
const FIRST_CATALOG_INTERVAL: Span = Span::millis(400);
/// Time for which a class of machines is not requested again after the cloud had fewer than requested; doubled with
/// each further refusal.
const REFUSAL_BACKOFF: Span = Span::millis(6_000);
/// Maximum number of times that [`REFUSAL_BACKOFF`] is doubled.
const MAX_REFUSAL_DOUBLINGS: u32 = 3;
/// Burst of calls that the cloud allows at once, in seconds of this node's rate.
const BURST_SECONDS: f64 = 2.0;

/// Cached state of the cloud.
pub(super) struct Cloud {
    /// Machine types in the order of the cloud's catalog; `None` until the catalog has been read.
    catalog: Option<Vec<MachineType>>,
    /// Machine types by name.
    types: HashMap<Name, MachineType>,
    /// Time at which the catalog was last requested.
    catalog_requested_at: Option<Time>,
    /// `true` while a call that reads the catalog is in flight.
    catalog_in_flight: bool,
    /// Machines that the cloud lists.
    machine_list: MachineList,
    /// Limiter for this node's share of the cloud's rate limit.
    rate_limiter: RateLimiter,
    /// Classes of machines that the cloud refused recently.
    refusals: BTreeMap<MachineClass, Refusal>,
    /// Time at which the fleet was last planned; zero if it has to be planned at once.
    planned_at: Time,
    /// `true` while a call that deletes machines of no shard is in flight.
    unknown_deletion_in_flight: bool,
    /// Outcomes of the recent boots of machines.
    boot_statistics: BootStatistics,
}

/// Refusal of a class of machines by the cloud.
struct Refusal {
    /// Time until which machines of the class are not requested again.
    until: Time,
    /// Number of consecutive refusals.
    count: u32,
}

impl Cloud {
    /// Creates the state before anything is known of the cloud.
    pub fn new(settings: &Settings) -> Cloud {
        Cloud {
            catalog: None,
            types: HashMap::new(),
            catalog_requested_at: None,
            catalog_in_flight: false,
            machine_list: MachineList::default(),
            rate_limiter: RateLimiter::new(settings.cloud_rps, BURST_SECONDS * settings.cloud_rps),
            refusals: BTreeMap::new(),
            planned_at: Time::ZERO,
            unknown_deletion_in_flight: false,
            boot_statistics: BootStatistics::default(),
        }
    }

    /// Returns `true` if the catalog of machine types has been read.
    pub fn has_catalog(&self) -> bool {
        self.catalog.is_some()
    }

    /// Returns the machine types in the order of the cloud's catalog; none until the catalog has been read.
    pub fn catalog(&self) -> impl Iterator<Item = &MachineType> {
        self.catalog.iter().flatten()
    }

    /// Returns the number of classes of machines that can be rented: each type in each of its zones, spot or on-demand.
    pub fn count_classes(&self) -> usize {
        2 * self.catalog().map(|machine_type| machine_type.zones.len()).sum::<usize>()
    }

    /// Returns the machine types by name.
    pub fn types(&self) -> &HashMap<Name, MachineType> {
        &self.types
    }

    /// Returns the machine type with the given name, if it is known.
    pub fn machine_type(&self, kind: &Name) -> Option<&MachineType> {
        self.types.get(kind)
    }

    /// Returns the machines that the cloud lists.
    pub fn machine_list(&self) -> &MachineList {
        &self.machine_list
    }

    /// Returns the machines that the cloud lists, to read the list further.
    pub fn machine_list_mut(&mut self) -> &mut MachineList {
        &mut self.machine_list
    }

    /// Returns the outcomes of the recent boots of machines.
    pub fn boot_statistics(&self) -> &BootStatistics {
        &self.boot_statistics
    }

    /// Returns the outcomes of the recent boots of machines, to record another one.
    pub fn boot_statistics_mut(&mut self) -> &mut BootStatistics {
        &mut self.boot_statistics
    }

    /// Returns the machine types by name and the outcomes of the recent boots, to record boots while the types are
    /// read.
    pub fn types_and_boot_statistics_mut(&mut self) -> (&HashMap<Name, MachineType>, &mut BootStatistics) {
        (&self.types, &mut self.boot_statistics)
    }

    /// Takes one call from this node's share of the rate limit. Returns `true` if the call may be made.
    pub fn take_call(&mut self, now: Time) -> bool {
        self.rate_limiter.take(now, 1.0)
    }

    /// Returns `true` if at least the given fraction of the calls that the cloud allows at once is left.
    pub fn has_spare_calls(&mut self, fraction: f64, now: Time) -> bool {
        self.rate_limiter.is_filled_to(now, fraction)
    }

    /// Returns `true` if a call that deletes machines of no shard is in flight.
    pub fn is_deleting_unknown(&self) -> bool {
        self.unknown_deletion_in_flight
    }

    /// Records that a call that deletes machines of no shard was sent.
    pub fn unknown_deletion_sent(&mut self) {
        self.unknown_deletion_in_flight = true;
    }

    /// Records that a call that deletes machines of no shard was answered.
    fn unknown_deletion_answered(&mut self) {
        self.unknown_deletion_in_flight = false;
    }

    /// Begins a plan if the catalog is known and the fleet was last planned at least `min_interval` ago. Returns `true`
    /// if the fleet is to be planned now.
    pub fn begin_plan(&mut self, min_interval: Span, now: Time) -> bool {
        let is_due = self.has_catalog() && now.since(self.planned_at) >= min_interval;
        if is_due {
            self.planned_at = now;
        }
        is_due
    }

    /// Returns the resources of a machine of the given type, if the type is known.
    pub fn capacity(&self, kind: &Name) -> Option<Resources> {
        self.machine_type(kind).map(|machine_type| machine_type.capacity)
    }

    /// Returns the time in seconds in which the fastest machine type fetches an image; `f64::MAX` if no type is known.
    pub fn min_fetch_s(&self, image_gb: f64) -> f64 {
        self.types.values().map(|machine_type| image_gb / machine_type.fetch_gb_per_s).fold(f64::MAX, f64::min)
    }

    /// Sets the number of calls per second that this node may make.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate_limiter.set_rate(rate, BURST_SECONDS * rate);
    }

    /// Returns `true` if machines of the class were refused recently and are not to be requested now.
    pub fn is_refused(&self, class: &MachineClass, now: Time) -> bool {
        self.refusals.get(class).is_some_and(|refusal| now < refusal.until)
    }

    /// Records that the cloud did not have all machines of the class that were requested.
    pub fn record_refusal(&mut self, class: MachineClass, now: Time) {
        let earlier = self.refusals.get(&class).map_or(0, |refusal| refusal.count);
        let backoff = REFUSAL_BACKOFF.times(f64::from(1u32 << earlier.min(MAX_REFUSAL_DOUBLINGS)));
        self.refusals.insert(class, Refusal { until: now + backoff, count: earlier + 1 });
    }

    /// Records that the cloud had all machines of the class that were requested.
    pub fn clear_refusal(&mut self, class: &MachineClass) {
        self.refusals.remove(class);
    }

    /// Requests a plan of the fleet at the next tick, since the machines that can be rented have changed.
    pub fn request_plan(&mut self) {
        self.planned_at = Time::ZERO;
    }

    /// Returns `true` if the catalog should be read now.
    fn catalog_is_due(&self, now: Time) -> bool {
        let interval = if self.has_catalog() { CATALOG_INTERVAL } else { FIRST_CATALOG_INTERVAL };
        !self.catalog_in_flight && self.catalog_requested_at.is_none_or(|at| now.since(at) >= interval)
    }

    /// Records that the catalog was requested.
    fn catalog_requested(&mut self, now: Time) {
        self.catalog_in_flight = true;
        self.catalog_requested_at = Some(now);
    }

    /// Handles the answer to a call for the catalog. An empty catalog is ignored, and so is an error.
    fn catalog_answered(&mut self, answer: Result<CloudAnswer, CallError>) {
        self.catalog_in_flight = false;
        if let Ok(CloudAnswer::Catalog(types)) = answer
            && !types.is_empty()
        {
            self.types = types.iter().map(|machine_type| (machine_type.name.clone(), machine_type.clone())).collect();
            self.catalog = Some(types);
        }
    }
}

impl Controller {
    /// Keeps the catalog fresh and, if this node holds a node lease and leads any shard, the machine list.
    pub(super) fn refresh_cloud_state(&mut self) {
        let now = self.now;
        if self.cloud.catalog_is_due(now) && self.cloud.take_call(now) {
            self.cloud.catalog_requested(now);
            self.calls.send_to_cloud(CloudCall::Catalog, CloudOperation::Catalog);
        }
        if !self.holds_lease() || self.shards.is_empty() {
            return;
        }
        let terms = self.shards.values().map(|shard| shard.recovery.acquired_at());
        self.refresh_machine_list(terms.max().unwrap_or_default());
    }

    /// Handles an answer of the cloud.
    pub(super) fn cloud_answered(&mut self, operation: CloudOperation, answer: Result<CloudAnswer, CallError>) {
        if let Err(CallError::Refused { over_limit: true }) = answer {
            self.cloud.rate_limiter.drain(self.now);
        }
        if let Some((operation, answer)) = self.defer_unconfirmed_deletion(operation, answer) {
            self.dispatch_cloud_answer(operation, answer);
        }
    }

    /// Dispatches an answer of the cloud, once it is confirmed, to the component that made the call.
    pub(super) fn dispatch_cloud_answer(&mut self, operation: CloudOperation, answer: Result<CloudAnswer, CallError>) {
        match operation {
            CloudOperation::Catalog => self.cloud.catalog_answered(answer),
            CloudOperation::List { listed } => self.page_listed(listed, answer),
            CloudOperation::Rent { leadership, request } => self.rental_answered(leadership, request, answer),
            CloudOperation::Delete { leadership, machines } => self.deletion_answered(leadership, machines, answer),
            CloudOperation::DeleteUnknown => self.cloud.unknown_deletion_answered(),
        }
    }
}
