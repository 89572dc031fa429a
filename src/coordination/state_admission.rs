//! Admission to the state service: which calls may be sent now, by class of traffic.
//!
//! All calls share this node's part of the service's limits. Each bounded class has a level to which the shared buckets
//! must be filled before its calls are sent, so that urgent classes go first, and a floor: a part of the rate that it
//! gets however much the other classes ask for. Leases, leadership and recovery are not bounded here, because each of
//! them has one call in flight at a time.

use crate::storage::rate_limiter::RateLimiter;
use crate::time::Time;
use std::fmt;

const MILLIS_PER_SECOND: u64 = 1000;
/// The longest time after which a client should retry, in seconds. Clients give up after a minute.
const MAX_RETRY_AFTER_S: u32 = 5;

/// The purpose of a call, as far as it matters for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrafficClass {
    /// Node leases, leadership terms and liveness records.
    Leadership,
    /// Reads the records of a shard after leadership was acquired.
    Recovery,
    /// Records of jobs that wait for prerequisites.
    WaitingRecord,
    /// Transfers of machines between shards.
    MachineTransfer,
    /// Final records of jobs, and reads that settle the outcome of a write.
    FinalRecord,
    /// First records of submitted jobs.
    Acceptance,
    /// Jobs that another controller accepted for a shard of this node.
    Adoption,
    /// Records of machines.
    MachineRecord,
    /// Progress of live jobs.
    Progress,
    /// Reads of single records for which a user or a worker waits.
    RecordRead,
    /// Removal of records that are not needed any more.
    StaleRecord,
    /// Reads that can wait until little else is asked.
    BackgroundRead,
    /// Writes that can wait until hardly anything else is written.
    BackgroundWrite,
}

/// How many classes there are.
const CLASSES: usize = TrafficClass::BackgroundWrite as usize + 1;

/// When calls of a class are sent.
struct ClassPolicy {
    /// To which part of a burst the bucket of requests must be filled; negative in debt. None if it does not matter.
    request_level: Option<f64>,
    /// The same for the bucket of changes.
    write_level: Option<f64>,
    /// The part of the rate that the class gets even when the buckets are not filled to these levels. Those of all
    /// classes together are less than the whole.
    floor: f64,
    /// How many changes a call takes from the bucket beyond its own, so that more urgent ones find room.
    surcharge: f64,
}

impl ClassPolicy {
    const fn reads(request_level: f64, floor: f64) -> ClassPolicy {
        ClassPolicy { request_level: Some(request_level), write_level: None, floor, surcharge: 0.0 }
    }

    const fn writes(write_level: f64, floor: f64) -> ClassPolicy {
        ClassPolicy { request_level: None, write_level: Some(write_level), floor, surcharge: 0.0 }
    }

    const fn both(level: f64, floor: f64) -> ClassPolicy {
        ClassPolicy { request_level: Some(level), write_level: Some(level), floor, surcharge: 0.0 }
    }
}

impl TrafficClass {
    /// When calls of this class are sent. None if at any time.
    fn policy(self) -> Option<ClassPolicy> {
        match self {
            TrafficClass::Leadership
            | TrafficClass::Recovery
            | TrafficClass::WaitingRecord
            | TrafficClass::MachineTransfer => None,
            TrafficClass::FinalRecord => Some(ClassPolicy::both(-1.0, 0.25)),
            TrafficClass::Acceptance => Some(ClassPolicy::both(-0.5, 0.2)),
            TrafficClass::Adoption => Some(ClassPolicy::both(-0.5, 0.1)),
            TrafficClass::MachineRecord => Some(ClassPolicy::writes(0.0, 0.15)),
            TrafficClass::Progress => Some(ClassPolicy { surcharge: 0.5, ..ClassPolicy::writes(0.0, 0.05) }),
            TrafficClass::RecordRead => Some(ClassPolicy::reads(0.0, 0.2)),
            TrafficClass::StaleRecord => Some(ClassPolicy::writes(0.0, 0.03)),
            TrafficClass::BackgroundRead => Some(ClassPolicy::reads(0.25, 0.0)),
            TrafficClass::BackgroundWrite => Some(ClassPolicy::both(0.5, 0.0)),
        }
    }
}

impl fmt::Display for TrafficClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TrafficClass::Leadership => "leadership",
            TrafficClass::Recovery => "recovery",
            TrafficClass::WaitingRecord => "waiting records",
            TrafficClass::MachineTransfer => "machine transfers",
            TrafficClass::FinalRecord => "final records",
            TrafficClass::Acceptance => "acceptance",
            TrafficClass::Adoption => "adoption",
            TrafficClass::MachineRecord => "machine records",
            TrafficClass::Progress => "progress",
            TrafficClass::RecordRead => "record reads",
            TrafficClass::StaleRecord => "stale records",
            TrafficClass::BackgroundRead => "background reads",
            TrafficClass::BackgroundWrite => "background writes",
        })
    }
}

/// A call of a bounded class that was not admitted before it was to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a call of the class {0} was not admitted to the state service")]
pub(super) struct NotAdmitted(pub TrafficClass);

/// What one class has left, and what became of its calls.
struct ClassState {
    floor: RateLimiter,
    /// How many calls were admitted at `admitted_at` and not sent yet.
    admitted: u32,
    admitted_at: Time,
    /// How many calls were not admitted since the last log line.
    deferred: u64,
    /// How many calls were not admitted in the present second, and in the one before.
    recent: RecentCount,
}

/// Counts events by second.
#[derive(Default)]
struct RecentCount {
    second: u64,
    count: u64,
    previous_count: u64,
}

impl RecentCount {
    fn add(&mut self, now: Time) {
        self.move_to(now);
        self.count += 1;
    }

    /// How many events there were in the second before the present one.
    fn in_last_second(&mut self, now: Time) -> u64 {
        self.move_to(now);
        self.previous_count
    }

    fn move_to(&mut self, now: Time) {
        let second = now.since(Time::ZERO).as_millis() / MILLIS_PER_SECOND;
        if second != self.second {
            self.previous_count = if second == self.second + 1 { self.count } else { 0 };
            self.count = 0;
            self.second = second;
        }
    }
}

/// This node's share of the state service's limits, divided among classes of traffic.
pub(super) struct StateAdmission {
    requests: RateLimiter,
    writes: RateLimiter,
    classes: [ClassState; CLASSES],
}

impl StateAdmission {
    /// Returns full buckets with these rates per second.
    pub fn new(requests_per_second: f64, writes_per_second: f64) -> StateAdmission {
        let class = |_| ClassState {
            floor: RateLimiter::new(0.0, 1.0),
            admitted: 0,
            admitted_at: Time::ZERO,
            deferred: 0,
            recent: RecentCount::default(),
        };
        StateAdmission {
            requests: RateLimiter::new(requests_per_second, requests_per_second),
            writes: RateLimiter::new(writes_per_second, writes_per_second),
            classes: std::array::from_fn(class),
        }
    }

    /// Sets this node's share of the limits.
    pub fn set_rates(&mut self, requests_per_second: f64, writes_per_second: f64) {
        self.requests.set_rate(requests_per_second, requests_per_second);
        self.writes.set_rate(writes_per_second, writes_per_second);
        for class in BOUNDED_CLASSES {
            let Some(policy) = class.policy() else { continue };
            let limit = if policy.write_level.is_some() { writes_per_second } else { requests_per_second };
            let rate = limit * policy.floor;
            self.classes[class as usize].floor.set_rate(rate, rate.max(1.0));
        }
    }

    /// Whether a call of this class may be sent now. If so it has to be sent before the next event is handled.
    pub fn admits(&mut self, now: Time, class: TrafficClass) -> bool {
        let Some(policy) = class.policy() else { return true };
        let is_admitted = self.is_filled(now, &policy) || self.takes_floor(now, class, &policy);
        let state = &mut self.classes[class as usize];
        if is_admitted {
            state.admit(now);
        } else {
            state.deferred += 1;
            state.recent.add(now);
        }
        is_admitted
    }

    /// Whether a call that can wait would be admitted.
    pub fn is_quiet(&mut self, now: Time) -> bool {
        TrafficClass::BackgroundWrite.policy().is_some_and(|policy| self.is_filled(now, &policy))
    }

    /// Returns after how many seconds a client whose call was not admitted should retry: so many that all who were
    /// turned away lately do not come back faster than their calls can be sent.
    pub fn retry_after(&mut self, now: Time, class: TrafficClass) -> u32 {
        let turned_away = self.classes[class as usize].recent.in_last_second(now);
        let seconds = (turned_away as f64 / self.writes.rate().max(1.0)).ceil() as u32;
        seconds.clamp(1, MAX_RETRY_AFTER_S)
    }

    /// Admits the next call of an operation whose first call was admitted: refusing it would waste that one.
    pub fn admit_next_step(&mut self, now: Time, class: TrafficClass) {
        self.classes[class as usize].admit(now);
    }

    /// Counts a call that is being sent, unless it should have been admitted before and was not.
    pub fn send(&mut self, now: Time, class: TrafficClass, writes: usize) -> Result<(), NotAdmitted> {
        if class.policy().is_some() && !self.classes[class as usize].take_admission(now) {
            return Err(NotAdmitted(class));
        }
        self.requests.take_on_credit(now, 1.0);
        self.writes.take_on_credit(now, writes as f64);
        Ok(())
    }

    /// The service has refused a call because a limit was exceeded.
    pub fn limit_exceeded(&mut self, now: Time) {
        self.requests.drain(now);
        self.writes.drain(now);
    }

    /// Returns how many calls of each class were not admitted since the last time, without those that never were.
    pub fn take_deferred(&mut self) -> Vec<(TrafficClass, u64)> {
        let mut deferred = Vec::new();
        for class in BOUNDED_CLASSES {
            let count = std::mem::take(&mut self.classes[class as usize].deferred);
            if count > 0 {
                deferred.push((class, count));
            }
        }
        deferred
    }

    /// How many requests and changes are left of this node's share; negative in debt.
    pub fn levels(&mut self, now: Time) -> (f64, f64) {
        (self.requests.level(now), self.writes.level(now))
    }

    fn is_filled(&mut self, now: Time, policy: &ClassPolicy) -> bool {
        let is_filled = |bucket: &mut RateLimiter, level: Option<f64>, more: f64| {
            level.is_none_or(|level| bucket.is_filled_beyond(now, level, more))
        };
        let is_filled = is_filled(&mut self.requests, policy.request_level, 0.0)
            && is_filled(&mut self.writes, policy.write_level, policy.surcharge);
        if is_filled {
            self.writes.take_on_credit(now, policy.surcharge);
        }
        is_filled
    }

    fn takes_floor(&mut self, now: Time, class: TrafficClass, policy: &ClassPolicy) -> bool {
        policy.floor > 0.0 && self.classes[class as usize].floor.take(now, 1.0)
    }
}

impl ClassState {
    fn admit(&mut self, now: Time) {
        if self.admitted_at != now {
            self.admitted_at = now;
            self.admitted = 0;
        }
        self.admitted += 1;
    }

    /// Uses up an admission of this moment. Returns whether there was one.
    fn take_admission(&mut self, now: Time) -> bool {
        let is_admitted = self.admitted_at == now && self.admitted > 0;
        if is_admitted {
            self.admitted -= 1;
        }
        is_admitted
    }
}

/// The classes that have a policy.
const BOUNDED_CLASSES: [TrafficClass; 9] = [
    TrafficClass::FinalRecord,
    TrafficClass::Acceptance,
    TrafficClass::Adoption,
    TrafficClass::MachineRecord,
    TrafficClass::Progress,
    TrafficClass::RecordRead,
    TrafficClass::StaleRecord,
    TrafficClass::BackgroundRead,
    TrafficClass::BackgroundWrite,
];

#[cfg(test)]
mod tests;
