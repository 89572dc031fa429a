//! Whether a machine hears what it is told. One whose reports arrive while answers and commands don't reach it
//! would get the first tasks of the line again and again and start none of them.
//!
//! It is known by what its reports fail to show, not by silence: orders without effect, a token that is not taken
//! over, a session that rises although reports were answered. A single one may be a lost packet.

use crowstall_model::model::Session;
use crowstall_model::time::{Span, Time};

/// So many reports in a row that show nothing of the answers before them.
const MISSES: u32 = 2;

/// What a report shows of the answer before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shows {
    /// Something that the machine can only have from there.
    Heard,
    /// Nothing of what it should.
    Nothing,
    /// There was nothing to show.
    NothingDue,
}

/// Of one machine, as its holder's answers find it.
#[derive(Clone, Debug, Default)]
pub struct Hearing {
    misses: u32,
    /// The session of the newest report and when its first report came.
    session: Option<(Session, Time)>,
    deaf_since: Option<Time>,
}

impl Hearing {
    /// A newer report came. `answered` is when a report was last answered, `lease` how long a session lasts without
    /// an answer that is heard.
    pub fn reported(&mut self, now: Time, session: Session, shows: Shows, answered: Option<Time>, lease: Span) {
        let began = match self.session {
            Some((same, began)) if same == session => began,
            Some(_) => {
                // A machine that hung or was cut off was not answered for that long.
                if answered.is_some_and(|at| now.since(at) < lease.times(0.5)) {
                    self.missed(now);
                }
                now
            }
            None => now,
        };
        self.session = Some((session, began));
        match shows {
            Shows::Heard => self.hears(),
            Shows::Nothing => self.missed(now),
            // The session would have ended.
            Shows::NothingDue if now.since(began) > lease.stretched() + Span::millis(1000) => self.hears(),
            Shows::NothingDue => {}
        }
    }

    fn missed(&mut self, now: Time) {
        self.misses += 1;
        if self.misses >= MISSES {
            self.deaf_since.get_or_insert(now);
        }
    }

    fn hears(&mut self) {
        (self.misses, self.deaf_since) = (0, None);
    }

    pub fn deaf_since(&self) -> Option<Time> {
        self.deaf_since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: Span = Span::millis(10_000);

    fn at(ms: u64) -> Time {
        Time::ZERO + Span::millis(ms)
    }

    #[test]
    fn a_machine_is_deaf_by_what_its_reports_do_not_show_and_hears_again_by_its_session() {
        let mut hearing = Hearing::default();
        hearing.reported(at(0), Session(1), Shows::NothingDue, None, LEASE);
        hearing.reported(at(1000), Session(1), Shows::Nothing, Some(at(0)), LEASE);
        assert_eq!(hearing.deaf_since(), None, "one lost answer is nothing");
        hearing.reported(at(6000), Session(1), Shows::Nothing, Some(at(1000)), LEASE);
        assert_eq!(hearing.deaf_since(), Some(at(6000)));
        hearing.reported(at(11_000), Session(2), Shows::NothingDue, Some(at(6000)), LEASE);
        hearing.reported(at(16_000), Session(2), Shows::NothingDue, Some(at(11_000)), LEASE);
        assert_eq!(hearing.deaf_since(), Some(at(6000)), "nothing shows that it hears");
        hearing.reported(at(23_000), Session(2), Shows::NothingDue, Some(at(22_000)), LEASE);
        assert_eq!(hearing.deaf_since(), None, "its session goes on");
    }

    #[test]
    fn a_machine_that_hung_is_not_deaf() {
        let mut hearing = Hearing::default();
        for session in 1..9 {
            let now = at(session * 30_000);
            hearing.reported(now, Session(session), Shows::NothingDue, Some(now - LEASE), LEASE);
        }
        assert_eq!(hearing.deaf_since(), None);
    }
}
