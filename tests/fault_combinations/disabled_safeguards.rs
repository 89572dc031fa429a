//! Tests of the checker: without a safeguard, it detects the violations that the fault combinations may cause.

use crate::combinations::{FaultCombination, fault_combination};
use crate::runner::run_with;
use crate::simulation::{DisabledSafeguard, Rule, Simulation};

const CONSISTENCY_CHECKS: &str = "consistency checks on all controllers, and a failover";
const REQUESTS_AT_COMPLETION: &str = "requests at the completion of jobs, and malformed submissions";
const UNREACHABLE_MACHINES: &str = "cancellations on unreachable machines, and a failover";
const TEN_FAILOVERS: &str = "ten failovers in two minutes, and an outage";

/// Returns `true` if a run of one of 30 seeds without a safeguard satisfies `is_violation`.
fn is_detected(disabled: DisabledSafeguard, name: &str, is_violation: impl Fn(&Simulation) -> bool) -> bool {
    let combinations: [&FaultCombination; 1] = [fault_combination(name)];
    (0..30).any(|seed| is_violation(&run_with(seed, disabled, &combinations)))
}

/// Returns `true` if a run of one of 30 seeds without a safeguard violates a rule.
fn violates(disabled: DisabledSafeguard, name: &str, rule: Rule) -> bool {
    is_detected(disabled, name, |simulation| simulation.violates(&[rule]))
}

/// Returns `true` if a team exceeds its quota in a run of one of 30 seeds without a safeguard.
fn exceeds_quota(disabled: DisabledSafeguard, name: &str, team: &str) -> bool {
    is_detected(disabled, name, |simulation| {
        let mut violations = simulation.violations.iter();
        violations.any(|violation| violation.rule == Rule::Quota && violation.detail.contains(team))
    })
}

#[test]
fn checker_notices_answers_older_than_those_of_other_controllers() {
    assert!(violates(DisabledSafeguard::ConsistentReads, CONSISTENCY_CHECKS, Rule::StaleAnswer));
}

#[test]
fn checker_notices_starvation() {
    assert!(violates(DisabledSafeguard::StartCommands, REQUESTS_AT_COMPLETION, Rule::Starvation));
}

#[test]
fn checker_notices_cancelled_tasks_that_survive_a_hang() {
    assert!(violates(DisabledSafeguard::LeaseExpiryOfHungMachines, UNREACHABLE_MACHINES, Rule::RanAfterCancellation));
}

#[test]
fn checker_notices_accepted_malformed_requests() {
    assert!(violates(DisabledSafeguard::RequestValidation, REQUESTS_AT_COMPLETION, Rule::AcceptedInvalid));
}

#[test]
fn checker_notices_exceeded_quotas_of_every_team() {
    assert!(exceeds_quota(DisabledSafeguard::OtherTeamsCpuQuotas, TEN_FAILOVERS, "the free team"));
    assert!(exceeds_quota(DisabledSafeguard::GpuQuotas, TEN_FAILOVERS, "the guest team"));
}
