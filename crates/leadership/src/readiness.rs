//! The readiness checklist: the conditions that a new leader checks before its first decision.

use crowstall_model::time::{Span, Time};
use std::fmt;

/// Minimum remaining time of the node lease and of the leader lease at the first decision. A lease that ends sooner is
/// renewed first.
const MIN_LEASE_LEFT: Span = Span::millis(300);
/// Pause of this process from which on leadership is checked again before the first decision.
const MAX_PAUSE: Span = Span::millis(1000);

/// Condition on the readiness checklist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Check {
    /// The term was in force after all records had been read, so the records include all writes of former leaders.
    LeadershipConfirmed,
    /// The node lease and the leader lease remain valid for at least 300 ms.
    LeaderLease,
    /// No pause of this process has lasted 1000 ms or longer since it requested leadership.
    NoLongPause,
    /// All former leaders applied the same team quotas as this node.
    SameTeamQuotas,
    /// The machine types are known.
    Catalog,
}

const ALL_CHECKS: [Check; 5] =
    [Check::LeadershipConfirmed, Check::LeaderLease, Check::NoLongPause, Check::SameTeamQuotas, Check::Catalog];

impl Check {
    /// Returns `true` if no decision may be made until the check is passed. The other checks restrict only some
    /// decisions, and the code that makes those decisions takes them into account.
    pub fn is_required(self) -> bool {
        matches!(self, Check::LeadershipConfirmed | Check::LeaderLease | Check::NoLongPause)
    }

    fn is_passed(self, facts: &ReadinessFacts) -> bool {
        match self {
            Check::LeadershipConfirmed => facts.leadership_confirmed,
            Check::LeaderLease => facts.lease_left >= MIN_LEASE_LEFT,
            Check::NoLongPause => facts.longest_pause < MAX_PAUSE,
            Check::SameTeamQuotas => facts.same_quotas,
            Check::Catalog => facts.catalog_known,
        }
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Check::LeadershipConfirmed => "leadership confirmed after the records were read",
            Check::LeaderLease => "leader lease valid",
            Check::NoLongPause => "process not paused",
            Check::SameTeamQuotas => "same team quotas as former leaders",
            Check::Catalog => "machine types known",
        })
    }
}

/// Inputs of the checks.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessFacts {
    /// `true` if a leadership check sent after the last read has confirmed the term.
    pub leadership_confirmed: bool,
    /// Remaining validity of the node lease or of the leader lease, whichever ends first.
    pub lease_left: Span,
    /// Longest pause between two ticks since leadership was requested.
    pub longest_pause: Span,
    /// `true` if all former leaders applied the same team quotas as this node.
    pub same_quotas: bool,
    /// `true` if the catalog of machine types is known.
    pub catalog_known: bool,
}

/// Readiness checklist of one leadership term.
#[derive(Clone, Debug)]
pub struct ReadinessChecklist {
    acquired_at: Time,
    /// Time since which each check has been passed, indexed by the check's discriminant; `None` if it is not passed.
    passed_at: [Option<Time>; ALL_CHECKS.len()],
}

impl ReadinessChecklist {
    /// Creates the checklist of a term that began at `acquired_at`.
    pub fn new(acquired_at: Time) -> ReadinessChecklist {
        ReadinessChecklist { acquired_at, passed_at: [None; ALL_CHECKS.len()] }
    }

    /// Evaluates all checks and returns the required ones that are not passed.
    pub fn evaluate(&mut self, now: Time, facts: &ReadinessFacts) -> Vec<Check> {
        for check in ALL_CHECKS {
            let passed_at = &mut self.passed_at[check as usize];
            *passed_at = if check.is_passed(facts) { passed_at.or(Some(now)) } else { None };
        }
        let is_outstanding = |check: &Check| check.is_required() && !check.is_passed(facts);
        ALL_CHECKS.into_iter().filter(is_outstanding).collect()
    }

    /// Returns every check with the time from the beginning of the term until the check was passed, or `None` if it is
    /// not passed.
    pub fn pass_times(&self) -> impl Iterator<Item = (Check, Option<Span>)> + '_ {
        let elapsed = |check: Check| self.passed_at[check as usize].map(|at| at.since(self.acquired_at));
        ALL_CHECKS.into_iter().map(move |check| (check, elapsed(check)))
    }
}
