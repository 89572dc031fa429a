//! Snapshots: refusal of damaged texts, size limits and merging.

use crate::support::{features, forecast, learn, learner_with, median, run_jobs, snapshot_text, time};
use crowstall_forecast::snapshot::{self, MergeOutcome, SnapshotError};
use crowstall_forecast::{JobObservations, Learner, Limits, Outcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[test]
fn truncated_damaged_foreign_and_unsupported_snapshots_are_refused() {
    let learner = learner_with(1, "sift", 40.0, 50);
    let text = snapshot_text(&learner);
    let snapshot = snapshot::read(&text).expect("the snapshot is valid");
    let restored = Learner::from_snapshot(&snapshot, 2, Limits::default(), time(1000.0));
    let kind = features("sift", "small", 2, 60.0);
    let (before, after) = (forecast(&learner, &kind), forecast(&restored, &kind));
    assert_eq!(before.observations, after.observations);
    assert!((before.median.as_secs() / after.median.as_secs() - 1.0).abs() < 0.01, "{before:?} became {after:?}");
    for length in 0..text.len() {
        assert!(snapshot::read(&text[..length]).is_err(), "accepted although truncated after {length} bytes");
    }
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).expect("the text is ASCII");
        assert!(snapshot::read(&changed).is_err(), "accepted with a changed character at {index}");
    }
    // The first four base64 characters encode the first three bytes, of which the third is the version.
    let unsupported = text.replacen("Q0YB", "Q0YJ", 1);
    assert_eq!(snapshot::read(&unsupported).err(), Some(SnapshotError::UnsupportedVersion(9)));
    for foreign in ["", "null", "{\"k\":1}", "Zm9yZWlnbiBieXRlcw"] {
        assert!(matches!(snapshot::read(foreign), Err(SnapshotError::Damaged(_))), "{foreign}");
    }
}

#[test]
fn size_limited_snapshot_keeps_the_most_useful_cells() {
    let mut learner = learner_with(1, "often", 40.0, 200);
    let mut rng = SmallRng::seed_from_u64(8);
    let mut now = 500.0;
    for number in 0..15 {
        run_jobs(&mut learner, &mut rng, &features(&format!("seldom-{number}"), "small", 1, 60.0), 60.0, 3, &mut now);
    }
    let whole = snapshot_text(&learner).len();
    for max_bytes in [1500, 1000, 600] {
        assert!(whole > max_bytes, "{whole} bytes in all");
        let limited = snapshot::write(&learner, time(1000.0), max_bytes).expect("the coarsest cell fits");
        assert!(limited.len() <= max_bytes, "{} of {max_bytes} bytes", limited.len());
        let restored = Learner::from_snapshot(
            &snapshot::read(&limited).expect("the snapshot is valid"),
            2,
            Limits::default(),
            time(1000.0),
        );
        let kept = forecast(&restored, &features("often", "small", 2, 60.0));
        assert!(
            kept.observations > 300 && (0.8..1.25).contains(&(kept.median.as_secs() / 40.0)),
            "{max_bytes}: {kept:?}"
        );
    }
    assert_eq!(snapshot::write(&learner, time(1000.0), 40), None);
}

#[test]
fn merging_snapshots_is_idempotent_and_adds_disjoint_observations() {
    let (one, two) = (learner_with(1, "sift", 40.0, 60), learner_with(2, "sift", 40.0, 60));
    let kind = features("sift", "small", 2, 60.0);
    let first = snapshot::read(&snapshot_text(&one)).expect("the snapshot is valid");
    let second = snapshot::read(&snapshot_text(&two)).expect("the snapshot is valid");
    let mut sum = Learner::new(3, Limits::default());
    assert_eq!(sum.merge(&first, time(1000.0)), MergeOutcome::Added);
    let once = forecast(&sum, &kind);
    assert_eq!(sum.merge(&first, time(1000.0)), MergeOutcome::Contained);
    assert_eq!(forecast(&sum, &kind), once, "the same snapshot was counted twice");
    assert_eq!(sum.merge(&second, time(1000.0)), MergeOutcome::Added);
    assert_eq!(forecast(&sum, &kind).observations, 240);
    assert!((0.9..1.1).contains(&(median(&sum, &kind) / 40.0)));
    // A snapshot of an earlier state of the learner contains nothing new.
    let mut newer = sum.clone();
    let older = snapshot::read(&snapshot_text(&sum)).expect("the snapshot is valid");
    learn(&mut newer, &kind, 40.0, Outcome::Completed, &mut JobObservations::default(), 1000.0);
    assert_eq!(newer.merge(&older, time(1000.0)), MergeOutcome::Contained);
    assert_eq!(newer.merge(&second, time(1000.0)), MergeOutcome::Contained);
    // If two learners share only some observations, a merge would count these twice.
    let mut other = Learner::from_snapshot(&first, 4, Limits::default(), time(1000.0));
    learn(&mut other, &kind, 40.0, Outcome::Completed, &mut JobObservations::default(), 1000.0);
    let other = snapshot::read(&snapshot_text(&other)).expect("the snapshot is valid");
    let before = forecast(&newer, &kind);
    assert_eq!(newer.merge(&other, time(1000.0)), MergeOutcome::Overlaps);
    assert_eq!(forecast(&newer, &kind), before);
}
