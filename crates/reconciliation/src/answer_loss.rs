//! Detection of answer loss: a one-way network partition in which the heartbeats of a machine arrive, but the leader's
//! answers and commands do not reach the machine. Such a machine would be assigned the first tasks of the queue again
//! and again, and start none of them.
//!
//! Answer loss shows in the heartbeats that arrive, not in silence: commands have no effect, the fencing token is not
//! adopted, or the agent epoch rises although heartbeats were answered. A single such miss may be a lost packet and
//! does not count as answer loss.

use crowstall_model::model::AgentEpoch;
use crowstall_model::time::{Span, Time};

/// Number of consecutive misses after which a machine counts as losing its answers.
const MIN_MISSES_FOR_LOSS: u32 = 2;
/// Fraction of the worker lease after an answer within which a rise of the epoch shows that the answer was lost.
const RECENT_ANSWER_FRACTION: f64 = 0.5;
/// Time beyond the worker lease that an epoch must last to show that answers arrive.
const EPOCH_MARGIN: Span = Span::millis(1000);

/// Evidence in a heartbeat that the machine received the answer to its previous heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEvidence {
    /// The heartbeat contains something that the machine can know only from the answer.
    Received,
    /// The heartbeat contains nothing of what the answer should have caused.
    Missing,
    /// The answer contained nothing that the heartbeat could show.
    NotExpected,
}

/// Agent epoch of a machine's newest heartbeat.
#[derive(Clone, Copy, Debug)]
struct CurrentEpoch {
    epoch: AgentEpoch,
    /// Arrival time of the first heartbeat of the epoch.
    since: Time,
}

/// Detector of answer loss for one machine.
#[derive(Clone, Debug, Default)]
pub struct AnswerLossDetector {
    /// Number of misses since an answer last showed to have arrived.
    misses: u32,
    /// `None` before the first heartbeat.
    current_epoch: Option<CurrentEpoch>,
    /// Time of the miss at which answer loss was detected. `None` while none is detected.
    loss_since: Option<Time>,
}

impl AnswerLossDetector {
    /// Records a heartbeat that is newer than all before. `last_answered` is the time at which a heartbeat of the
    /// machine was last answered. A worker that receives no answer for `worker_lease` ends its epoch.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        epoch: AgentEpoch,
        answer_evidence: AnswerEvidence,
        last_answered: Option<Time>,
        worker_lease: Span,
    ) {
        let epoch_since = self.record_epoch(now, epoch, last_answered, worker_lease);
        match answer_evidence {
            AnswerEvidence::Received => self.reset(),
            AnswerEvidence::Missing => self.record_miss(now),
            // If no answer had been received, the epoch would have ended by now.
            AnswerEvidence::NotExpected
                if now.since(epoch_since) > worker_lease.upper_bound_under_drift() + EPOCH_MARGIN =>
            {
                self.reset();
            }
            AnswerEvidence::NotExpected => {}
        }
    }

    /// Returns the time at which answer loss was detected, or `None` if the machine is not known to lose its answers.
    pub fn loss_since(&self) -> Option<Time> {
        self.loss_since
    }

    /// Records the epoch of a heartbeat and returns the arrival time of the epoch's first heartbeat. A new epoch soon
    /// after an answer counts as a miss.
    fn record_epoch(&mut self, now: Time, epoch: AgentEpoch, last_answered: Option<Time>, worker_lease: Span) -> Time {
        let since = match self.current_epoch {
            Some(current) if current.epoch == epoch => current.since,
            previous => {
                // A machine that was paused or disconnected was not answered for a whole worker lease, so its new
                // epoch is no sign of answer loss.
                let was_answered_recently =
                    last_answered.is_some_and(|at| now.since(at) < worker_lease.times(RECENT_ANSWER_FRACTION));
                if previous.is_some() && was_answered_recently {
                    self.record_miss(now);
                }
                now
            }
        };
        self.current_epoch = Some(CurrentEpoch { epoch, since });
        since
    }

    fn record_miss(&mut self, now: Time) {
        self.misses += 1;
        if self.misses >= MIN_MISSES_FOR_LOSS {
            self.loss_since.get_or_insert(now);
        }
    }

    fn reset(&mut self) {
        self.misses = 0;
        self.loss_since = None;
    }
}
