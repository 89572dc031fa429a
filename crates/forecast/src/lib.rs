//! Learns how long work takes, and says when it will be done.
//!
//! - [`Learner`] takes in every attempt of a task, completed or cut short, and tells the run time to
//!   expect of the next one as an interval with the number of observations behind it.
//! - [`finish`] turns that, the work ahead and the room there is into a time at which a job will be
//!   done; [`Promises`] keeps what was promised and scores it.
//! - [`snapshot`] writes what was learned into a small text and merges such texts again.
//! - [`replay`] judges all that on a recorded history.
//!
//! No input or output happens here and no clock is read: whoever calls says what time it is. Lengths of
//! time are [`Span`]s unless a name says otherwise; inside, run times are natural logarithms of seconds,
//! since what is wrong with an estimate is a factor. `docs/forecast.md` says why it is done this way.

mod calibration;
mod cell;
mod learner;
mod promise;
pub mod replay;
mod sample;
pub mod snapshot;
pub mod standin;

pub use calibration::{Calibration, Tally};
pub use crowstall_model::model::{JobId, Name};
pub use crowstall_model::time::{Span, Time};
pub use learner::{Attempt, End, JobTrack, Learner, Level, Limits, RunTime, Work};
pub use promise::{Finish, Outlook, Promise, Promises, Room, finish};
