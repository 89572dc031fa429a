//! Forecasts of the run times of tasks and the finish times of jobs.
//!
//! - [`Learner`] learns from every attempt of a task, completed or censored, and forecasts the run time of the
//!   next task as an interval, with the number of observations that the interval is based on.
//! - [`forecast_finish`] computes the finish time of a job from the run-time forecast, the work ahead and the available
//!   capacity; [`Promises`] keeps the promised finish times and judges them when jobs are done.
//! - [`snapshot`] writes the observations of a learner into a compact text and restores them.
//! - [`replay`] measures the accuracy of the forecasts on a recorded history, and [`synthetic`] generates histories.
//!
//! The crate does no input or output and reads no clock: callers pass the time. Durations are [`Span`]s unless a name
//! contains a unit. Internally, run times are natural logarithms of seconds, because the error of an estimate is a
//! factor. `docs/forecast.md` explains the method.

#![warn(missing_docs)]

mod calibration;
mod cell;
mod expectation;
mod features;
mod finish;
mod learner;
mod promises;
pub mod replay;
mod run_time;
mod sample;
pub mod snapshot;
mod survival;
pub mod synthetic;

pub use calibration::{Calibration, Tally};
pub use crowstall_model::model::{JobId, Name};
pub use crowstall_model::time::{Span, Time};
pub use features::TaskFeatures;
pub use finish::{AvailableCapacity, BootingCapacity, FinishForecast, FinishInputs, forecast_finish};
pub use learner::{Attempt, JobObservations, Learner, Limits, Outcome};
pub use promises::{JudgedPromise, Promise, Promises};
pub use run_time::{Level, RunTimeForecast};
