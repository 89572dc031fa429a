//! The simulated cloud, which rents out worker machines.

use super::workers::{Worker, machine_id, machine_number};
use super::*;
use crowstall::protocol::cloud::{CloudAnswer, ListedMachine, MachineState};
use crowstall::storage::rate_limiter::RateLimiter;
use crowstall::time::Span;
use std::collections::VecDeque;

/// When a machine is up that never boots.
const NEVER: u64 = 10_000 * SEC;

/// How many past lists of machines are kept.
const MAX_PAST_LISTS: usize = 40;

/// A machine as the cloud lists it.
struct RentedMachine {
    kind: Name,
    zone: Name,
    spot: bool,
    rented_at: u64,
}

/// The list of machines as it was at an earlier time.
struct PastList {
    taken_at: u64,
    machines: Vec<ListedMachine>,
}

/// The state of the cloud.
#[derive(Default)]
pub struct Cloud {
    /// The answers to rent requests, which are idempotent.
    completed_requests: HashMap<String, Vec<u32>>,
    next_machine: u32,
    machines: BTreeMap<u32, RentedMachine>,
    /// Lists of machines at earlier times, since a list may be some seconds old.
    past_lists: VecDeque<PastList>,
    /// Until when no machine can be rented.
    pub no_capacity_until: u64,
    /// Until when no machine can be returned.
    pub deletes_refused_until: u64,
    /// How many machines of a type can be rented in a zone: ordinary ones, and spot machines.
    pub stock: [usize; 2],
    /// Whether all machines boot in time and none is faulty.
    pub reliable: bool,
    /// By how much boot times in the east and in the west are multiplied; `None` in a zone: machines never boot there.
    pub boot_time_factors: Option<[Option<f64>; 2]>,
    /// How many machines were rented.
    pub rented: u64,
    /// How many machines were returned.
    pub deleted: u64,
    /// Whether machines with GPUs are offered.
    pub offers_gpus: bool,
    /// Machines of others, which are listed after all machines of this simulation.
    pub foreign_machines: Vec<ListedMachine>,
    /// How many machines a page of the list has. None: the list comes in one page.
    pub page_size: Option<usize>,
    /// How many calls a second are allowed, with bursts of two seconds' worth. None: any number.
    pub call_limit: Option<RateLimiter>,
    /// How many calls were refused because of this limit.
    pub calls_over_limit: u64,
    /// How many lists were read to their end.
    pub complete_lists: u64,
}

/// Returns all machine types, including the one with GPUs.
pub fn machine_types() -> Vec<MachineType> {
    let kind = |name: &str, cpus: f64, price: f64, spot_price: f64| MachineType {
        name: Name::new(name),
        capacity: Resources { cpus: Quantity::new(cpus), gpus: Quantity::new(0.0), memory: Quantity::new(cpus * 2.0) },
        cache_gb: 20.0,
        fetch_gb_per_s: 0.5,
        price,
        spot_price,
        boot: Span::millis(5000),
        zones: vec![Name::new("east"), Name::new("west")],
    };
    let mut gpus = kind("gpus", 16.0, 3.0, 1.5);
    gpus.capacity.gpus = Quantity::new(4.0);
    vec![kind("small", 4.0, 0.25, 0.1), kind("large", 16.0, 0.9, 0.45), gpus]
}

impl Simulation {
    /// Answers a call of a controller.
    pub(super) fn handle_cloud_call(&mut self, call: &CloudCall) -> Result<CloudAnswer, CallError> {
        let now = Time(self.now);
        if self.cloud.call_limit.as_mut().is_some_and(|limit| !limit.take(now, 1.0)) {
            self.cloud.calls_over_limit += 1;
            return Err(CallError::Refused { over_limit: true });
        }
        match call {
            CloudCall::Catalog => Ok(CloudAnswer::Catalog(self.offered_machine_types())),
            CloudCall::Rent { request, kind, zone, spot, count } => {
                Ok(self.rent_machines(request, kind, zone, *spot, *count as usize))
            }
            CloudCall::Delete(_) if self.now < self.cloud.deletes_refused_until => {
                Err(CallError::Refused { over_limit: false })
            }
            CloudCall::Delete(machines) => {
                for machine in machines {
                    let number = machine_number(machine);
                    self.cloud.deleted += u64::from(self.cloud.machines.remove(&number).is_some());
                    self.workers.remove(&number);
                }
                Ok(CloudAnswer::Deleted)
            }
            CloudCall::List { after } => Ok(self.machine_list_page(after.as_ref())),
        }
    }

    /// A page of the list of machines as it was some seconds ago.
    fn machine_list_page(&mut self, after: Option<&MachineId>) -> CloudAnswer {
        let lag = self.rng.random_range(3 * SEC..10 * SEC);
        let mut listed = self.machine_list_at(self.now.saturating_sub(lag));
        listed.extend(self.cloud.foreign_machines.iter().cloned());
        listed.retain(|machine| after.is_none_or(|after| machine.id > *after));
        let more = self.cloud.page_size.is_some_and(|page_size| listed.len() > page_size);
        listed.truncate(self.cloud.page_size.unwrap_or(usize::MAX));
        self.cloud.complete_lists += u64::from(!more);
        CloudAnswer::Machines { listed, more }
    }

    fn offered_machine_types(&self) -> Vec<MachineType> {
        let mut types = machine_types();
        types.retain(|kind| self.cloud.offers_gpus || kind.capacity.gpus.0 == 0);
        types
    }

    fn rent_machines(&mut self, request: &str, kind: &Name, zone: &Name, spot: bool, count: usize) -> CloudAnswer {
        let rented =
            |machines: &[u32]| CloudAnswer::Rented(machines.iter().map(|number| machine_id(*number)).collect());
        if let Some(machines) = self.cloud.completed_requests.get(request) {
            return rented(machines);
        }
        let is_same = |machine: &&RentedMachine| machine.kind == *kind && machine.zone == *zone && machine.spot == spot;
        let already_rented = self.cloud.machines.values().filter(is_same).count();
        let available = self.cloud.stock[usize::from(spot)].saturating_sub(already_rented);
        let count = available.min(count);
        if count == 0 || self.now < self.cloud.no_capacity_until {
            return CloudAnswer::NoCapacity;
        }
        let machines: Vec<u32> = (0..count).map(|_| self.boot_machine(kind, zone, spot)).collect();
        let answer = rented(&machines);
        self.cloud.completed_requests.insert(request.to_string(), machines);
        answer
    }

    /// Begins to boot a machine and returns its number.
    fn boot_machine(&mut self, kind: &Name, zone: &Name, spot: bool) -> u32 {
        let number = self.cloud.next_machine;
        self.cloud.next_machine += 1;
        self.cloud.rented += 1;
        let machine = RentedMachine { kind: kind.clone(), zone: zone.clone(), spot, rented_at: self.now };
        self.cloud.machines.insert(number, machine);
        let never_boots = self.rng.random_range(0..40) == 0 && !self.cloud.reliable;
        let usual_boot_time = self.rng.random_range(SEC..7 * SEC);
        let factor = match self.cloud.boot_time_factors {
            Some(by_zone) => by_zone[usize::from(zone.as_str() == "west")],
            None => Some(1.0),
        };
        let boot_time = match factor.filter(|_| !never_boots) {
            Some(factor) => (usual_boot_time as f64 * factor) as u64,
            None => NEVER,
        };
        let mut worker = Worker::new(number, kind.clone(), zone.clone(), spot, self.now + boot_time);
        worker.faulty = self.rng.random_range(0..25) == 0 && !self.cloud.reliable;
        self.workers.insert(number, worker);
        number
    }

    /// Keeps the current list of machines for later list calls.
    pub(super) fn record_machine_list(&mut self) {
        let now = self.now;
        let listed = self.cloud.machines.iter().map(|(number, machine)| ListedMachine {
            id: machine_id(*number),
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            state: if self.workers.get(number).is_some_and(|worker| worker.up_at <= now) {
                MachineState::Running
            } else {
                MachineState::Booting
            },
            age: Span(now - machine.rented_at),
        });
        let listed = listed.collect();
        self.cloud.past_lists.push_back(PastList { taken_at: now, machines: listed });
        if self.cloud.past_lists.len() > MAX_PAST_LISTS {
            self.cloud.past_lists.pop_front();
        }
    }

    fn machine_list_at(&self, time: u64) -> Vec<ListedMachine> {
        let list = self.cloud.past_lists.iter().rev().find(|list| list.taken_at <= time);
        list.map(|list| list.machines.clone()).unwrap_or_default()
    }

    /// Has the cloud take back a machine.
    pub fn reclaim_machine(&mut self, number: u32) {
        self.cloud.machines.remove(&number);
        self.workers.remove(&number);
    }
}
