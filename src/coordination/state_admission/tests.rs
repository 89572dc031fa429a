use super::{BOUNDED_CLASSES, NotAdmitted, StateAdmission, TrafficClass};
use crate::time::{Span, Time};

const REQUESTS_PER_SECOND: f64 = 100.0;
const WRITES_PER_SECOND: f64 = 40.0;
const SECONDS: u64 = 20;

fn admission() -> StateAdmission {
    let mut admission = StateAdmission::new(REQUESTS_PER_SECOND, WRITES_PER_SECOND);
    admission.set_rates(REQUESTS_PER_SECOND, WRITES_PER_SECOND);
    admission
}

/// Returns the number of writes in a call of a class.
fn writes_of(class: TrafficClass) -> usize {
    usize::from(class.policy().is_some_and(|policy| policy.min_write_fill.is_some()))
}

/// Sends as many calls of the given classes as are admitted, every 10 ms. Returns the average number of calls per
/// second for each class.
fn sent_per_second(classes: &[TrafficClass]) -> Vec<f64> {
    let mut admission = admission();
    let mut sent = vec![0; classes.len()];
    for step in 0..SECONDS * 100 {
        let now = Time::ZERO + Span::millis(10 * step);
        for (class, sent) in classes.iter().zip(&mut sent) {
            while admission.admits(now, *class) {
                assert_eq!(admission.send(now, *class, writes_of(*class)), Ok(()));
                *sent += 1;
            }
        }
    }
    sent.into_iter().map(|sent| f64::from(sent) / SECONDS as f64).collect()
}

#[test]
fn each_class_gets_its_guaranteed_rate_while_all_others_send_as_much_as_they_can() {
    let classes = BOUNDED_CLASSES;
    for ((class, sent), guaranteed_rate) in
        classes.iter().zip(sent_per_second(&classes)).zip(classes.map(guaranteed_rate))
    {
        assert!(
            sent >= 0.9 * guaranteed_rate,
            "{class}: {sent} calls per second, but {guaranteed_rate} are guaranteed"
        );
    }
}

/// Returns the calls per second that are guaranteed to a class.
fn guaranteed_rate(class: TrafficClass) -> f64 {
    let policy = class.policy().expect("the class is bounded");
    let limit = if policy.min_write_fill.is_some() { WRITES_PER_SECOND } else { REQUESTS_PER_SECOND };
    limit * policy.guaranteed_fraction
}

#[test]
fn all_classes_together_keep_to_the_limit() {
    let writers: Vec<TrafficClass> = BOUNDED_CLASSES
        .into_iter()
        .filter(|class| class.policy().is_some_and(|policy| policy.min_write_fill.is_some()))
        .collect();
    let sent: f64 = sent_per_second(&writers).iter().sum();
    // The buckets are full at the start and may end in debt.
    let allowance = 3.0 * WRITES_PER_SECOND / SECONDS as f64;
    assert!(sent <= WRITES_PER_SECOND + allowance, "{sent} writes per second");
}

#[test]
fn submissions_alone_leave_room_for_reads() {
    let sent = sent_per_second(&[TrafficClass::Acceptance, TrafficClass::RecordRead]);
    assert!(sent[0] >= 0.9 * WRITES_PER_SECOND, "{} acceptances per second", sent[0]);
    assert!(sent[1] >= 0.2 * REQUESTS_PER_SECOND, "{} reads per second", sent[1]);
}

#[test]
fn a_call_that_was_not_admitted_is_not_sent() {
    let (mut admission, now) = (admission(), Time::ZERO);
    for class in BOUNDED_CLASSES {
        assert_eq!(admission.send(now, class, 1), Err(NotAdmitted(class)));
    }
    assert_eq!(admission.send(now, TrafficClass::Leadership, 0), Ok(()));
    assert!(admission.admits(now, TrafficClass::Acceptance));
    // An admission is valid for one call, and only while the event is handled in which it was given.
    let later = now + Span::millis(1);
    assert_eq!(admission.send(later, TrafficClass::Acceptance, 1), Err(NotAdmitted(TrafficClass::Acceptance)));
}

#[test]
fn retry_delay_grows_with_the_number_of_calls_that_were_not_admitted() {
    let mut admission = admission();
    let class = TrafficClass::Acceptance;
    let second = |number: u64| Time::ZERO + Span::millis(1000 * number);
    assert_eq!(admission.retry_after(second(1), class), 1);
    for _ in 0..1000 {
        if admission.admits(second(1), class) {
            assert_eq!(admission.send(second(1), class, 1), Ok(()));
        }
    }
    assert!(admission.retry_after(second(2), class) > 1);
    assert_eq!(admission.retry_after(second(9), class), 1);
}
