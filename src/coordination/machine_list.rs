//! Reading of the cloud's machine list page by page.
//!
//! The list of a large fleet has more pages than the cloud allows calls at once. Each page therefore waits until the
//! rate limit allows it, and a page that was refused or not answered is requested again.

use super::controller::Controller;
use super::pending_calls::CloudOperation;
use crate::model::MachineId;
use crate::protocol::CallError;
use crate::protocol::cloud::{CloudAnswer, CloudCall, ListedMachine};
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// Interval at which the list is read.
const LIST_INTERVAL: Span = Span::millis(5_000);
/// Interval at which reading is attempted while no list was completed in the newest leadership term of this node.
const FIRST_LIST_INTERVAL: Span = Span::millis(500);
/// Fraction of the calls that the cloud allows at once which is left to rentals and deletions while pages are read.
const RESERVED_CALL_FRACTION: f64 = 0.25;
/// Maximum time for reading a list. After it, reading starts over, since the first pages are outdated.
const MAX_LIST_AGE: Span = Span::millis(30_000);

/// Machine list as it was last read completely, and the progress of reading the next one.
#[derive(Default)]
pub(super) struct MachineList {
    /// Machines of the last complete list, by id.
    machines: BTreeMap<MachineId, ListedMachine>,
    /// Progress of reading the next list.
    progress: ListProgress,
    /// Time at which reading of the newest list began.
    begun_at: Option<Time>,
    /// Time at which the last list was completed.
    completed_at: Option<Time>,
}

/// Progress of reading a list.
#[derive(Default)]
enum ListProgress {
    /// No list is being read.
    #[default]
    Idle,
    /// Call for a page is in flight.
    PageRequested,
    /// Next page waits for the rate limit. Holds the machines of the pages read so far.
    PageWaiting(Vec<ListedMachine>),
}

impl MachineList {
    /// Returns the entry of a machine in the list, if the cloud lists the machine.
    pub fn get(&self, machine: &MachineId) -> Option<&ListedMachine> {
        self.machines.get(machine)
    }

    /// Returns `true` if the cloud lists the machine.
    pub fn contains(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Returns all machines that the cloud lists, in the order of their ids.
    pub fn machines(&self) -> impl Iterator<Item = &ListedMachine> {
        self.machines.values()
    }

    /// Returns `true` if a list has been completed at or after the given time.
    pub fn was_completed_since(&self, earliest: Time) -> bool {
        self.completed_at.is_some_and(|at| at >= earliest)
    }

    /// Replaces the list by one that has just been read completely.
    fn complete(&mut self, listed: Vec<ListedMachine>, now: Time) {
        self.progress = ListProgress::Idle;
        self.completed_at = Some(now);
        self.machines = listed.into_iter().map(|machine| (machine.id.clone(), machine)).collect();
    }

    /// Returns `true` if reading of a new list should begin. `newest_term` is the time at which the newest leadership
    /// term of this node began.
    fn is_due(&self, newest_term: Time, now: Time) -> bool {
        let interval = if self.was_completed_since(newest_term) { LIST_INTERVAL } else { FIRST_LIST_INTERVAL };
        matches!(self.progress, ListProgress::Idle) && self.begun_at.is_none_or(|begun| now.since(begun) >= interval)
    }

    /// Drops the pages of a list that was begun too long ago or before the newest leadership term: such a list may lack
    /// machines that the former leader rented.
    fn drop_outdated_pages(&mut self, newest_term: Time, now: Time) {
        let is_outdated = self.begun_at.is_some_and(|begun| newest_term > begun || now.since(begun) > MAX_LIST_AGE);
        if is_outdated && matches!(self.progress, ListProgress::PageWaiting(_)) {
            self.progress = ListProgress::Idle;
        }
    }
}

impl Controller {
    /// Keeps the machine list fresh. `newest_term` is the time at which the newest leadership term of this node began:
    /// a new leader has to know the machines that the former one rented before it rents any itself.
    pub(super) fn refresh_machine_list(&mut self, newest_term: Time) {
        let now = self.now;
        self.cloud.machine_list_mut().drop_outdated_pages(newest_term, now);
        self.request_next_page();
        if self.cloud.machine_list().is_due(newest_term, now) && self.cloud.take_call(now) {
            self.cloud.machine_list_mut().begun_at = Some(now);
            self.request_page(Vec::new());
        }
    }

    /// Requests the next page of a list that is being read, if the rate limit allows it and enough calls stay for
    /// rentals and deletions.
    fn request_next_page(&mut self) {
        let now = self.now;
        if !matches!(self.cloud.machine_list().progress, ListProgress::PageWaiting(_))
            || !self.cloud.has_spare_calls(RESERVED_CALL_FRACTION, now)
            || !self.cloud.take_call(now)
        {
            return;
        }
        if let ListProgress::PageWaiting(listed) = std::mem::take(&mut self.cloud.machine_list_mut().progress) {
            self.request_page(listed);
        }
    }

    /// Requests the page that follows the machines listed so far.
    fn request_page(&mut self, listed: Vec<ListedMachine>) {
        self.cloud.machine_list_mut().progress = ListProgress::PageRequested;
        let after = listed.last().map(|machine| machine.id.clone());
        self.calls.send_to_cloud(CloudCall::List { after }, CloudOperation::List { listed });
    }

    /// Handles the answer to the call for a page: adds its machines to the list that is being read, and completes the
    /// list with the last page. A page after the first that was refused over the limit or not answered is requested
    /// again later. After any other failure the list is dropped, and reading begins anew at the next interval.
    pub(super) fn page_listed(&mut self, mut listed: Vec<ListedMachine>, answer: Result<CloudAnswer, CallError>) {
        match answer {
            Ok(CloudAnswer::Machines { listed: page, more }) => {
                let is_last = !more || page.is_empty();
                listed.extend(page);
                if is_last {
                    self.cloud.machine_list_mut().complete(listed, self.now);
                    self.machine_list_completed();
                } else {
                    self.cloud.machine_list_mut().progress = ListProgress::PageWaiting(listed);
                    self.request_next_page();
                }
            }
            Err(CallError::NoAnswer | CallError::Refused { over_limit: true }) if !listed.is_empty() => {
                self.cloud.machine_list_mut().progress = ListProgress::PageWaiting(listed);
            }
            _ => self.cloud.machine_list_mut().progress = ListProgress::Idle,
        }
    }
}
