//! Tests of the bound on how long tasks of a cancelled job remain on machines.

use crowstall_leadership::{CancellationBounds, LeaseSource};
use crowstall_model::time::Span;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Checks for random settings that the cancellation bound is kept if a former leader renews its last worker lease at
/// the end of its grace period, both clocks are at the limits of their drift, and the worker notices the expiry of its
/// lease a second late.
#[test]
fn grace_period_and_worker_lease_fit_into_the_cancellation_bound() {
    let mut rng = SmallRng::seed_from_u64(31);
    let mut checked = 0;
    for _ in 0..20_000 {
        let worker_lease = Span::millis(rng.random_range(500..60_000));
        let max_duration = Span::millis(rng.random_range(500..120_000));
        let bounds = CancellationBounds { worker_lease, max_duration };
        if !bounds.is_feasible() {
            assert!(max_duration < worker_lease + Span::millis(2100) + worker_lease.times(0.01), "{bounds:?}");
            continue;
        }
        checked += 1;
        // The leader lease ends at the moment when the user is informed; the clocks of the former leader and of the
        // worker are slow.
        let slow = 1.0 / 0.9995;
        let last_renewal = bounds.grace().as_secs() * slow;
        let gone = last_renewal + worker_lease.as_secs() * slow + 1.0;
        assert!(gone <= max_duration.as_secs(), "{bounds:?}: {gone}");
        assert!(
            LeaseSource::ALL.into_iter().all(|lease_source| bounds.max_removal_time(lease_source) <= max_duration),
            "{bounds:?}"
        );
    }
    assert!(checked > 5000, "only {checked} settings were checked");
}
