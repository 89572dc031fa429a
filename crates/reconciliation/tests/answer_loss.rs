//! Answer loss is detected for a machine that receives no answers, and not for a machine that was paused.

use crowstall_model::model::AgentEpoch;
use crowstall_model::time::{Span, Time};
use crowstall_reconciliation::answer_loss::{AnswerEvidence, AnswerLossDetector};

const WORKER_LEASE: Span = Span::millis(10_000);

fn at(ms: u64) -> Time {
    Time::ZERO + Span::millis(ms)
}

#[test]
fn missing_answer_evidence_shows_answer_loss_until_an_epoch_outlasts_the_worker_lease() {
    let mut detector = AnswerLossDetector::default();
    let mut record = |now, epoch, evidence, last_answered: Option<u64>| {
        detector.record_heartbeat(at(now), AgentEpoch(epoch), evidence, last_answered.map(at), WORKER_LEASE);
        detector.loss_since()
    };
    record(0, 1, AnswerEvidence::NotExpected, None);
    let one_miss = record(1000, 1, AnswerEvidence::Missing, Some(0));
    assert_eq!(one_miss, None, "a single miss does not count as answer loss");
    let two_misses = record(6000, 1, AnswerEvidence::Missing, Some(1000));
    assert_eq!(two_misses, Some(at(6000)));
    record(11_000, 2, AnswerEvidence::NotExpected, Some(6000));
    let new_epoch = record(16_000, 2, AnswerEvidence::NotExpected, Some(11_000));
    assert_eq!(new_epoch, Some(at(6000)), "a new epoch does not show that answers arrive");
    let lasting_epoch = record(23_000, 2, AnswerEvidence::NotExpected, Some(22_000));
    assert_eq!(lasting_epoch, None, "the epoch has outlasted the worker lease");
}

#[test]
fn a_paused_machine_does_not_count_as_losing_answers() {
    let mut detector = AnswerLossDetector::default();
    for epoch in 1..9 {
        let now = at(epoch * 30_000);
        let last_answered = Some(now - WORKER_LEASE);
        detector.record_heartbeat(now, AgentEpoch(epoch), AnswerEvidence::NotExpected, last_answered, WORKER_LEASE);
    }
    assert_eq!(detector.loss_since(), None);
}
