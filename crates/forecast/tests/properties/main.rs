//! Statistical properties of forecasts, and the refusal of malformed input. All random numbers are seeded.

mod finish_times;
mod replays;
mod run_times;
mod snapshots;
mod support;
