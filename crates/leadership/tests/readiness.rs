//! Tests of the readiness checklist of a new leader.

use crowstall_leadership::{Check, ReadinessChecklist, ReadinessFacts};
use crowstall_model::time::{Span, Time};

const TICK: Span = Span::millis(100);

#[test]
fn every_required_check_can_fail_and_is_named() {
    let ready = ReadinessFacts {
        leadership_confirmed: true,
        lease_left: Span::millis(2000),
        longest_pause: TICK,
        same_quotas: true,
        catalog_known: true,
    };
    let acquired_at = Time(1_000_000);
    let outstanding = |facts: ReadinessFacts| ReadinessChecklist::new(acquired_at).evaluate(acquired_at + TICK, &facts);
    assert_eq!(outstanding(ready), []);
    assert_eq!(outstanding(ReadinessFacts { leadership_confirmed: false, ..ready }), [Check::LeadershipConfirmed]);
    assert_eq!(outstanding(ReadinessFacts { lease_left: TICK, ..ready }), [Check::LeaderLease]);
    assert_eq!(outstanding(ReadinessFacts { longest_pause: Span::millis(3000), ..ready }), [Check::NoLongPause]);
    // These checks are reported and restrict some decisions, but do not prevent the first decision.
    assert_eq!(outstanding(ReadinessFacts { same_quotas: false, catalog_known: false, ..ready }), []);
    let mut checklist = ReadinessChecklist::new(acquired_at);
    checklist.evaluate(acquired_at + TICK, &ReadinessFacts { catalog_known: false, ..ready });
    let times: Vec<(Check, Option<Span>)> = checklist.pass_times().collect();
    assert!(times.contains(&(Check::LeadershipConfirmed, Some(TICK))) && times.contains(&(Check::Catalog, None)));
}
