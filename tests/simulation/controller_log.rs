//! Log lines of the simulated controllers, which are added to the trace of the simulation.

use super::*;
use std::cell::RefCell;
use std::sync::Once;

/// Environment variable with the lowest level of the log lines in the trace.
const LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Level if the variable is not set.
const DEFAULT_LEVEL: log::LevelFilter = log::LevelFilter::Info;

static INSTALLED: Once = Once::new();

thread_local! {
    /// Lines that were logged since they were last taken.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Logger that keeps the lines of each thread until they are taken.
struct LineCollector;

impl log::Log for LineCollector {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let line = format!("[{} {}] {}", record.level(), record.target(), record.args());
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Installs the logger if the trace is recorded.
pub(super) fn install() {
    if !is_trace_enabled() {
        return;
    }
    INSTALLED.call_once(|| {
        let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
        if log::set_logger(&LineCollector).is_ok() {
            log::set_max_level(level.unwrap_or(DEFAULT_LEVEL));
        }
    });
}

/// Removes and returns the lines that this thread has logged.
pub(super) fn take_lines() -> Vec<String> {
    LINES.take()
}
