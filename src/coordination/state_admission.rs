//! Admission control for calls to the state service, by traffic class.
//!
//! All calls take tokens from two shared token buckets, one for requests and one for writes, which hold this node's
//! share of the service's rate limits. For each bounded class there is a minimum fill level of the buckets at which its
//! calls are admitted, so that urgent classes take precedence, and a guaranteed fraction of the rate, which the class
//! gets whatever the demand of the other classes. Leases, leadership and recovery are not bounded here, because each of
//! them has only one call in flight at a time. Records of waiting jobs and transfers of machines are not bounded
//! either.

use crate::storage::rate_limiter::RateLimiter;
use crate::time::Time;
use std::fmt;

const MILLIS_PER_SECOND: u64 = 1000;
/// Upper bound of the time after which a client is told to retry, in seconds. Clients give up after a minute.
const MAX_RETRY_AFTER_S: u32 = 5;

/// Purpose of a call, by which its admission is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrafficClass {
    /// Node leases, leadership terms and liveness records.
    Leadership,
    /// Reads of a shard's records after its leadership was acquired.
    Recovery,
    /// Records of jobs that wait for prerequisites.
    WaitingRecord,
    /// Transfers of machines between shards: their records are read and changed.
    MachineTransfer,
    /// Final records of jobs, and reads that settle the outcome of a write.
    FinalRecord,
    /// First records of submitted jobs.
    Acceptance,
    /// Jobs that another controller accepted for a shard of this node.
    Adoption,
    /// Records of machines.
    MachineRecord,
    /// Progress in the records of live jobs.
    Progress,
    /// Reads of single records for which a user or a worker waits.
    RecordRead,
    /// Removal of records that are not needed any more.
    StaleRecord,
    /// Reads that can wait until there is little other traffic.
    BackgroundRead,
    /// Writes that can wait until there is hardly any other traffic.
    BackgroundWrite,
}

/// Number of traffic classes.
const CLASS_COUNT: usize = TrafficClass::BackgroundWrite as usize + 1;

/// Conditions under which calls of a class are admitted.
struct ClassPolicy {
    /// Minimum fill level of the request bucket, as a fraction of its burst; negative if the bucket may be in debt.
    /// `None` if the level does not matter.
    min_request_fill: Option<f64>,
    /// Minimum fill level of the write bucket, as a fraction of its burst; negative if the bucket may be in debt.
    /// `None` if the level does not matter.
    min_write_fill: Option<f64>,
    /// Fraction of the rate that the class gets even when the buckets are below these levels. The fractions of all
    /// classes add up to less than 1.
    guaranteed_fraction: f64,
    /// Tokens that a call takes from the write bucket in addition to those for its own writes, so that tokens are left
    /// for more urgent calls.
    extra_write_tokens: f64,
}

impl ClassPolicy {
    const fn reads(min_request_fill: f64, guaranteed_fraction: f64) -> ClassPolicy {
        ClassPolicy {
            min_request_fill: Some(min_request_fill),
            min_write_fill: None,
            guaranteed_fraction,
            extra_write_tokens: 0.0,
        }
    }

    const fn writes(min_write_fill: f64, guaranteed_fraction: f64) -> ClassPolicy {
        ClassPolicy {
            min_request_fill: None,
            min_write_fill: Some(min_write_fill),
            guaranteed_fraction,
            extra_write_tokens: 0.0,
        }
    }

    const fn both(level: f64, guaranteed_fraction: f64) -> ClassPolicy {
        ClassPolicy {
            min_request_fill: Some(level),
            min_write_fill: Some(level),
            guaranteed_fraction,
            extra_write_tokens: 0.0,
        }
    }
}

impl TrafficClass {
    /// Returns the conditions under which calls of this class are admitted, or `None` if the class is not bounded.
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
            TrafficClass::Progress => Some(ClassPolicy { extra_write_tokens: 0.5, ..ClassPolicy::writes(0.0, 0.05) }),
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

/// Error for a call of a bounded class that was to be sent without having been admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("call of traffic class \"{0}\" to the state service was not admitted")]
pub(super) struct NotAdmitted(pub TrafficClass);

/// State of one traffic class.
struct ClassState {
    /// Bucket of the guaranteed rate.
    guaranteed: RateLimiter,
    /// Number of calls that were admitted at `admitted_at` and are not sent yet.
    admitted: u32,
    /// Time of the event in which `admitted` calls were admitted. Their admission ends with that event.
    admitted_at: Time,
    /// Number of calls that were not admitted since `take_denied` was last called.
    denied: u64,
    /// Numbers of calls that were not admitted in the present second and in the previous one.
    recent_denials: RecentCount,
}

/// Counter of events in the present second and in the previous one.
#[derive(Default)]
struct RecentCount {
    /// Present second since [`Time::ZERO`].
    second: u64,
    /// Number of events in the present second.
    count: u64,
    /// Number of events in the previous second.
    previous_count: u64,
}

impl RecentCount {
    fn add(&mut self, now: Time) {
        self.advance_to(now);
        self.count += 1;
    }

    /// Returns the number of events in the previous second.
    fn in_previous_second(&mut self, now: Time) -> u64 {
        self.advance_to(now);
        self.previous_count
    }

    fn advance_to(&mut self, now: Time) {
        let second = now.since(Time::ZERO).as_millis() / MILLIS_PER_SECOND;
        if second != self.second {
            self.previous_count = if second == self.second + 1 { self.count } else { 0 };
            self.count = 0;
            self.second = second;
        }
    }
}

/// Admission within this node's share of the state service's rate limits, divided among the traffic classes.
pub(super) struct StateAdmission {
    requests: RateLimiter,
    writes: RateLimiter,
    classes: [ClassState; CLASS_COUNT],
}

impl StateAdmission {
    /// Creates full buckets with the given rates per second. No rate is guaranteed to any class before
    /// [`StateAdmission::set_rates`] is called.
    pub fn new(requests_per_second: f64, writes_per_second: f64) -> StateAdmission {
        let class = |_| ClassState {
            guaranteed: RateLimiter::new(0.0, 1.0),
            admitted: 0,
            admitted_at: Time::ZERO,
            denied: 0,
            recent_denials: RecentCount::default(),
        };
        StateAdmission {
            requests: RateLimiter::new(requests_per_second, requests_per_second),
            writes: RateLimiter::new(writes_per_second, writes_per_second),
            classes: std::array::from_fn(class),
        }
    }

    /// Sets this node's share of the rate limits, and the guaranteed rates that follow from it.
    pub fn set_rates(&mut self, requests_per_second: f64, writes_per_second: f64) {
        self.requests.set_rate(requests_per_second, requests_per_second);
        self.writes.set_rate(writes_per_second, writes_per_second);
        for class in BOUNDED_CLASSES {
            let Some(policy) = class.policy() else { continue };
            let limit = if policy.min_write_fill.is_some() { writes_per_second } else { requests_per_second };
            let rate = limit * policy.guaranteed_fraction;
            self.classes[class as usize].guaranteed.set_rate(rate, rate.max(1.0));
        }
    }

    /// Returns `true` if a call of this class may be sent now. The caller must then send it before the next event is
    /// handled.
    pub fn admits(&mut self, now: Time, class: TrafficClass) -> bool {
        let Some(policy) = class.policy() else { return true };
        let is_admitted = self.has_min_fill(now, &policy) || self.take_guaranteed(now, class, &policy);
        let state = &mut self.classes[class as usize];
        if is_admitted {
            state.admit(now);
        } else {
            state.denied += 1;
            state.recent_denials.add(now);
        }
        is_admitted
    }

    /// Returns `true` if a background write would be admitted.
    pub fn would_admit_background_write(&mut self, now: Time) -> bool {
        TrafficClass::BackgroundWrite.policy().is_some_and(|policy| self.has_min_fill(now, &policy))
    }

    /// Returns the seconds after which a client whose call was not admitted should retry. Grows with the number of
    /// calls that were not admitted in the previous second, so that clients do not come back faster than their calls
    /// can be sent.
    pub fn retry_after(&mut self, now: Time, class: TrafficClass) -> u32 {
        let denied_count = self.classes[class as usize].recent_denials.in_previous_second(now);
        let seconds = (denied_count as f64 / self.writes.rate().max(1.0)).ceil() as u32;
        seconds.clamp(1, MAX_RETRY_AFTER_S)
    }

    /// Admits the next call of an operation whose first call was admitted, whatever the rate limits say: refusing it
    /// would waste the first call.
    pub fn admit_next_step(&mut self, now: Time, class: TrafficClass) {
        self.classes[class as usize].admit(now);
    }

    /// Takes the tokens for a call that is being sent. Returns an error and takes none if the call is of a bounded
    /// class and was not admitted.
    pub fn send(&mut self, now: Time, class: TrafficClass, writes: usize) -> Result<(), NotAdmitted> {
        if class.policy().is_some() && !self.classes[class as usize].take_admission(now) {
            return Err(NotAdmitted(class));
        }
        self.requests.take_on_credit(now, 1.0);
        self.writes.take_on_credit(now, writes as f64);
        Ok(())
    }

    /// Empties the buckets, because the service has refused a call over its rate limit.
    pub fn record_limit_exceeded(&mut self, now: Time) {
        self.requests.drain(now);
        self.writes.drain(now);
    }

    /// Returns the number of calls of each class that were not admitted since the previous call, without classes for
    /// which it is zero.
    pub fn take_denied(&mut self) -> Vec<(TrafficClass, u64)> {
        let mut denied = Vec::new();
        for class in BOUNDED_CLASSES {
            let count = std::mem::take(&mut self.classes[class as usize].denied);
            if count > 0 {
                denied.push((class, count));
            }
        }
        denied
    }

    /// Returns the tokens in the request bucket and in the write bucket; negative in debt.
    pub fn levels(&mut self, now: Time) -> (f64, f64) {
        (self.requests.level(now), self.writes.level(now))
    }

    /// Returns `true` if the buckets are filled to the levels of the policy, and if so takes the extra tokens of
    /// the policy.
    fn has_min_fill(&mut self, now: Time, policy: &ClassPolicy) -> bool {
        let is_filled = |bucket: &mut RateLimiter, level: Option<f64>, more: f64| {
            level.is_none_or(|level| bucket.is_filled_beyond(now, level, more))
        };
        let has_min_fill = is_filled(&mut self.requests, policy.min_request_fill, 0.0)
            && is_filled(&mut self.writes, policy.min_write_fill, policy.extra_write_tokens);
        if has_min_fill {
            self.writes.take_on_credit(now, policy.extra_write_tokens);
        }
        has_min_fill
    }

    /// Takes a token of the guaranteed rate of a class. Returns `false` if there is none.
    fn take_guaranteed(&mut self, now: Time, class: TrafficClass, policy: &ClassPolicy) -> bool {
        policy.guaranteed_fraction > 0.0 && self.classes[class as usize].guaranteed.take(now, 1.0)
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

    /// Uses up an admission that was given in the present event. Returns `false` if there is none.
    fn take_admission(&mut self, now: Time) -> bool {
        let is_admitted = self.admitted_at == now && self.admitted > 0;
        if is_admitted {
            self.admitted -= 1;
        }
        is_admitted
    }
}

/// Classes that have a policy.
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
