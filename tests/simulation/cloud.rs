//! Simulated cloud, which rents out worker machines.

use super::workers::{Worker, machine_id, machine_number};
use super::*;
use crowstall::protocol::cloud::{CloudAnswer, ListedMachine, MachineState};
use crowstall::storage::rate_limiter::RateLimiter;
use crowstall::time::Span;
use std::collections::VecDeque;

/// Boot time of a machine that never boots: longer than any simulation.
const NEVER: u64 = 10_000 * SEC;

/// Maximum number of past lists of machines that are kept.
const MAX_PAST_LISTS: usize = 40;

/// Rented machine as the cloud lists it.
struct RentedMachine {
    kind: Name,
    zone: Name,
    spot: bool,
    rented_at: u64,
}

/// List of machines at an earlier time.
struct PastList {
    taken_at: u64,
    machines: Vec<ListedMachine>,
}

/// State of the cloud, with its injected faults and its counters.
#[derive(Default)]
pub struct Cloud {
    /// Machines rented by each request, by the idempotency key of the request.
    completed_requests: HashMap<String, Vec<u32>>,
    next_machine: u32,
    machines: BTreeMap<u32, RentedMachine>,
    /// Lists of machines at earlier times, oldest first: list calls get one that is some seconds old.
    past_lists: VecDeque<PastList>,
    /// End of the period in which no machine can be rented.
    pub no_capacity_until: u64,
    /// End of the period in which delete calls are refused.
    pub deletes_refused_until: u64,
    /// Maximum numbers of rented machines of each type in each zone: ordinary machines, and spot machines.
    pub stock: [usize; 2],
    /// `true` if all machines boot and none is faulty.
    pub reliable: bool,
    /// Factors on the boot times in the zones east and west. `None` in a zone: machines never boot there.
    pub boot_time_factors: Option<[Option<f64>; 2]>,
    /// Number of machines rented so far.
    pub rented: u64,
    /// Number of machines deleted by controllers so far.
    pub deleted: u64,
    /// `true` if machines with GPUs are offered.
    pub offers_gpus: bool,
    /// Machines that belong to others. They are listed after all machines of the simulation.
    pub foreign_machines: Vec<ListedMachine>,
    /// Maximum number of machines in a page of the list. `None`: the list has a single page.
    pub page_size: Option<usize>,
    /// Limit on the calls per second, with bursts of two seconds' worth. `None`: no limit.
    pub call_limit: Option<RateLimiter>,
    /// Number of calls refused because of the limit on calls.
    pub calls_over_limit: u64,
    /// Number of list calls that returned the last page.
    pub complete_lists: u64,
}

/// Returns all machine types, including the one with GPUs.
pub fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, price: f64, spot_price: f64| MachineType {
        name: Name::new(name),
        capacity: Resources { cpus: Quantity::new(cpus), gpus: Quantity::new(0.0), memory: Quantity::new(cpus * 2.0) },
        cache_gb: 20.0,
        fetch_gb_per_s: 0.5,
        price,
        spot_price,
        boot: Span::millis(5000),
        zones: vec![Name::new("east"), Name::new("west")],
    };
    let mut gpus = machine_type("gpus", 16.0, 3.0, 1.5);
    gpus.capacity.gpus = Quantity::new(4.0);
    vec![machine_type("small", 4.0, 0.25, 0.1), machine_type("large", 16.0, 0.9, 0.45), gpus]
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

    /// Returns a page of the list of machines as it was 3 to 10 s ago.
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
        types.retain(|machine_type| self.cloud.offers_gpus || machine_type.capacity.gpus.0 == 0);
        types
    }

    /// Rents up to `count` machines, or returns those that the same request has rented before.
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

    /// Starts to boot a machine and returns its number. Unless the cloud is reliable, one machine in 40 never boots and
    /// all tasks fail on one in 25.
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

    /// Records the current list of machines for later list calls.
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

    /// Removes a machine without a request, as the cloud does with a spot machine.
    pub fn reclaim_machine(&mut self, number: u32) {
        self.cloud.machines.remove(&number);
        self.workers.remove(&number);
    }
}
