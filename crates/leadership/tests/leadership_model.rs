//! Model check of a failover: visits every order of events with one task, two machines, a leader, the leader that
//! replaces it, and a user.
//!
//! The old leader may be paused at any step, because the model never forces it to act while time passes, and its
//! leadership checks may be answered late or never. The states are enumerated by the breadth-first search of
//! `pathfinding`; no package made for model checking was available.
//!
//! Times are measured in steps, which preserve the order of the real durations: a leader serves reads for `READ_BOUND`
//! and makes decisions for `DECISION_BOUND` after a leadership check that confirmed its term, renews worker leases for
//! `GRACE` more, and a worker lease lasts `WORKER_LEASE`.

use pathfinding::directed::bfs::bfs_reach;

const READ_BOUND: u8 = 1;
const DECISION_BOUND: u8 = 2;
const GRACE: u8 = 1;
const WORKER_LEASE: u8 = 2;
/// Maximum time for which a task may run after its user was informed that the job is cancelled.
const CANCELLATION_BOUND: u8 = GRACE + WORKER_LEASE;
/// Last step of [`Scenario::Failover`].
const END: u8 = 6;
/// Last step of the other scenarios, which have more states and in which disabled guards are detected earlier.
const OTHER_SCENARIOS_END: u8 = 5;

/// Index of the old leader in [`Machine::last_answered`].
const OLD_LEADER: usize = 0;
/// Index of the new leader in [`Machine::last_answered`].
const NEW_LEADER: usize = 1;

/// Condition that protects the rules. Each guard is disabled once, to check that the search finds the violation that it
/// prevents.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    /// A completion is recorded only once no former leader serves older reads any more.
    DoneWaits,
    /// A cancellation is recorded only once no former leader renews worker leases under its leader lease any more.
    CancelWaits,
    /// A worker lease counts as expired only if a leadership check sent after its end has confirmed the term.
    ExpiryConfirmed,
    /// A machine deletion that the cloud confirmed takes effect only if a leadership check sent after it has confirmed
    /// the term.
    DeletionConfirmed,
    /// A job read from the records is adopted only if a leadership check sent after the read has confirmed the term.
    RecordConfirmed,
    /// The worker lease of an unreconciled machine counts as renewed by the old leader until the end of that leader's
    /// grace period.
    UnreconciledLeaseWaits,
    /// A task that may still run on an unreconciled machine is not started elsewhere.
    UnreconciledTaskWaits,
    /// A task whose cancellation was requested is stopped even before the cancellation is known to be recorded.
    RequestedCancelStops,
    /// A leader that has requested the release of its shard makes no decisions and serves no reads from then on.
    ReleaseStopsDecisions,
    /// A leader that has requested the release of its shard renews worker leases only for its grace period from then
    /// on.
    ReleaseStartsGrace,
}

/// Guards that are in force: all except the disabled one.
#[derive(Clone, Copy, Debug)]
struct Guards {
    disabled: Option<Guard>,
}

impl Guards {
    fn enforce(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}

/// Additional operation of the old leader. Only one is modelled at a time, to limit the number of states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scenario {
    /// No additional operation.
    Failover,
    /// A user whom only the old leader serves requests the cancellation of the job; `true` once the request was made.
    /// The leader's write may be executed at any later time, and the leader never receives an answer to it.
    CancelRequest(bool),
    /// The old leader requests the deletion of its leadership record at this time and receives no answer. After that
    /// any node may acquire leadership without waiting. `None` until the request is sent.
    Release(Option<u8>),
}

/// Knowledge of a leader about the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum TaskView {
    /// The leader does not know the job.
    Unknown,
    /// The job's record was read. Leadership checks sent at this time or later were sent after the read.
    RecordRead(u8),
    /// The task may be started.
    Pending,
    /// The task was started on or found on the machine with this index.
    RunningOn(u8),
    /// The machine was deleted or its lease expired. Leadership checks sent at this time or later were sent after that.
    Lost(u8),
    /// The task may run on an unreconciled machine.
    Unreconciled,
    Done,
}

/// State of the job's record in the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    Absent,
    Live,
    Done,
    Cancelled,
}

/// Machine with its worker. The tasks of the worker end when its worker lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Machine {
    exists: bool,
    /// `true` once the worker has received the fencing token of the new leader, after which it executes no commands of
    /// the old leader.
    knows_new_token: bool,
    worker_lease_end: u8,
    runs_task: bool,
    /// `true` while the worker reports that it has completed the task.
    reports_done: bool,
    /// Times at which the old and the new leader last answered a heartbeat of the machine.
    last_answered: [u8; 2],
}

/// Progress of a leadership check of the old leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeadershipCheck {
    /// The state service has not processed the check yet.
    Sent { at: u8 },
    /// The check found the term in force, and the answer is in transit.
    Confirmed { sent_at: u8 },
    /// The check found a newer term, and the answer is in transit.
    Refuted { sent_at: u8 },
}

/// First final state that was reported to the user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FinalAnswer {
    state: Record,
    at: u8,
}

/// State of the modelled system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    machines: [Machine; 2],
    record: Record,
    /// Time at which the new leader acquired leadership.
    replaced_at: Option<u8>,
    /// `true` once the old leader knows that it was deposed, or can never act again.
    old_stepped_down: bool,
    /// Time at which the old leader's newest confirmed leadership check was sent.
    confirmed_at: u8,
    check: Option<LeadershipCheck>,
    old_view: TaskView,
    new_view: TaskView,
    final_answer: Option<FinalAnswer>,
    scenario: Scenario,
    /// `true` if the shard had no leader when the new leader acquired it, so that the new leader waits for no overlap.
    was_released: bool,
    is_violated: bool,
}

const IDLE_MACHINE: Machine = Machine {
    exists: true,
    knows_new_token: false,
    worker_lease_end: WORKER_LEASE,
    runs_task: false,
    reports_done: false,
    last_answered: [0; 2],
};

impl Machine {
    /// Returns the end of the worker lease as known to a leader that has answered the machine's heartbeats.
    fn known_lease_end(&self, leader: usize) -> u8 {
        self.last_answered[leader] + WORKER_LEASE
    }
}

/// Rules and steps of the whole system.
impl State {
    /// Returns the initial state: a task runs on the first machine, or, unless `is_accepted`, only the new leader will
    /// accept the job.
    fn initial(is_accepted: bool, scenario: Scenario) -> State {
        State {
            now: 0,
            machines: [Machine { runs_task: is_accepted, ..IDLE_MACHINE }, IDLE_MACHINE],
            record: if is_accepted { Record::Live } else { Record::Absent },
            replaced_at: None,
            old_stepped_down: false,
            confirmed_at: 0,
            check: None,
            old_view: if is_accepted { TaskView::RunningOn(0) } else { TaskView::Unknown },
            new_view: TaskView::Unknown,
            final_answer: None,
            scenario,
            was_released: false,
            is_violated: false,
        }
    }

    fn end(&self) -> u8 {
        if self.scenario == Scenario::Failover { END } else { OTHER_SCENARIOS_END }
    }

    fn released_at(&self) -> Option<u8> {
        if let Scenario::Release(at) = self.scenario { at } else { None }
    }

    fn is_cancel_requested(&self) -> bool {
        self.scenario == Scenario::CancelRequest(true)
    }

    fn old_may_decide(&self, guards: Guards) -> bool {
        let is_released = self.released_at().is_some() && guards.enforce(Guard::ReleaseStopsDecisions);
        !self.old_stepped_down && !is_released && self.now < self.confirmed_at + DECISION_BOUND
    }

    fn old_may_renew_worker_leases(&self, guards: Guards) -> bool {
        let lease_end = self.confirmed_at + DECISION_BOUND;
        let released_at = self.released_at().filter(|_| guards.enforce(Guard::ReleaseStartsGrace));
        let grace_start = released_at.map_or(lease_end, |at| lease_end.min(at));
        !self.old_stepped_down && self.now < grace_start + GRACE
    }

    fn old_may_serve_reads(&self, guards: Guards) -> bool {
        self.old_may_decide(guards) && self.now < self.confirmed_at + READ_BOUND
    }

    /// Returns `true` if the old leader's term was confirmed by a check sent at `at` or later.
    fn confirmed_since(&self, at: u8) -> bool {
        self.confirmed_at >= at
    }

    fn start_task(mut self, machine: usize) -> State {
        // Rule: a task must not start on one machine while it runs on the other.
        self.is_violated |= self.machines[1 - machine].runs_task;
        self.machines[machine].runs_task = true;
        self
    }

    fn answer_user(mut self, state: Record) -> State {
        match (self.final_answer, state) {
            (None, Record::Done | Record::Cancelled) => {
                self.final_answer = Some(FinalAnswer { state, at: self.now });
            }
            // Rule: a job that was reported done or cancelled must not be reported as anything else.
            (Some(before), state) if before.state != state => self.is_violated = true,
            _ => {}
        }
        self
    }

    fn tick(mut self) -> State {
        self.now += 1;
        let now = self.now;
        for machine in &mut self.machines {
            if now >= machine.worker_lease_end {
                (machine.runs_task, machine.reports_done) = (false, false);
            }
        }
        if let Some(FinalAnswer { state: Record::Cancelled, at }) = self.final_answer {
            // Rule: a task must not run beyond the bound after its user was informed that the job is cancelled.
            self.is_violated |= now >= at + CANCELLATION_BOUND && self.machines.iter().any(|machine| machine.runs_task);
        }
        self
    }

    /// Returns the states that can follow by one event. A state that violates a rule has no successors.
    fn successors(&self, guards: Guards) -> Vec<State> {
        if self.is_violated {
            return Vec::new();
        }
        let mut next = Vec::new();
        if self.now < self.end() {
            next.push(self.tick());
        }
        self.leadership_check_steps(&mut next);
        self.old_leader_steps(guards, &mut next);
        match self.replaced_at {
            Some(replaced_at) => self.new_leader_steps(replaced_at, guards, &mut next),
            None => self.acquisition_steps(&mut next),
        }
        self.completion_steps(&mut next);
        next.into_iter().map(State::normalized).filter(|state| state != self).collect()
    }

    /// Adds the acquisition by the new leader, which is possible at any time: the version of the leadership record is
    /// the only condition.
    fn acquisition_steps(&self, next: &mut Vec<State>) {
        let new_view = if self.record == Record::Live { TaskView::Unreconciled } else { TaskView::Unknown };
        next.push(State { replaced_at: Some(self.now), new_view, ..*self });
        if self.released_at().is_some() {
            next.push(State { replaced_at: Some(self.now), new_view, was_released: true, ..*self });
        }
    }

    /// Adds the completion of the task by a machine.
    fn completion_steps(&self, next: &mut Vec<State>) {
        for (index, machine) in self.machines.iter().enumerate() {
            if machine.runs_task {
                let mut state = *self;
                (state.machines[index].runs_task, state.machines[index].reports_done) = (false, true);
                next.push(state);
            }
        }
    }

    /// Returns the state without values on which no later step depends, so that states that differ only in those values
    /// are visited once.
    fn normalized(mut self) -> State {
        let now = self.now;
        self.old_stepped_down |= self.replaced_at.is_some_and(|at| now >= at + DECISION_BOUND + GRACE);
        if self.old_stepped_down {
            (self.old_view, self.check, self.confirmed_at) = (TaskView::Unknown, None, 0);
        }
        for machine in &mut self.machines {
            if !machine.exists {
                (machine.worker_lease_end, machine.last_answered) = (0, [0; 2]);
            }
            if machine.worker_lease_end <= now {
                machine.worker_lease_end = 0;
            }
            if self.old_stepped_down || machine.knows_new_token && self.old_view == TaskView::Pending {
                machine.last_answered[OLD_LEADER] = 0;
            }
            if machine.known_lease_end(NEW_LEADER) <= now {
                machine.last_answered[NEW_LEADER] = 0;
            }
        }
        self
    }
}

/// Steps of the old leader.
impl State {
    /// Adds the steps of a leadership check, which is sent, processed, answered or lost.
    fn leadership_check_steps(&self, next: &mut Vec<State>) {
        let lost = State { check: None, ..*self };
        match self.check {
            None if !self.old_stepped_down => {
                next.push(State { check: Some(LeadershipCheck::Sent { at: self.now }), ..*self });
            }
            Some(LeadershipCheck::Sent { at: sent_at }) => {
                let found = match self.replaced_at {
                    None => LeadershipCheck::Confirmed { sent_at },
                    Some(_) => LeadershipCheck::Refuted { sent_at },
                };
                next.push(State { check: Some(found), ..*self });
                next.push(lost);
            }
            Some(LeadershipCheck::Confirmed { sent_at }) => {
                next.push(State { check: None, confirmed_at: self.confirmed_at.max(sent_at), ..*self });
                next.push(lost);
            }
            Some(LeadershipCheck::Refuted { .. }) => {
                next.push(State { check: None, old_stepped_down: true, ..*self });
            }
            None => {}
        }
    }

    fn old_leader_steps(&self, guards: Guards, next: &mut Vec<State>) {
        for machine in 0..self.machines.len() {
            self.old_leader_heartbeat_steps(machine, guards, next);
            self.old_leader_loss_steps(machine, guards, next);
        }
        if self.is_cancel_requested() && self.record == Record::Live && self.replaced_at.is_none() {
            next.push(State { record: Record::Cancelled, ..*self });
        }
        if !self.old_may_decide(guards) {
            return;
        }
        self.scenario_steps(next);
        self.old_leader_decision_steps(guards, next);
        let is_live = matches!(self.old_view, TaskView::Pending | TaskView::RunningOn(_) | TaskView::Lost(_));
        if self.old_may_serve_reads(guards) && !self.is_cancel_requested() && is_live {
            next.push(self.answer_user(Record::Live));
        }
    }

    /// Adds the old leader's answer to a machine's heartbeat, which renews the worker lease, accepts a completion,
    /// stops a task whose cancellation was requested, and may start a task.
    fn old_leader_heartbeat_steps(&self, index: usize, guards: Guards, next: &mut Vec<State>) {
        let machine = self.machines[index];
        if !machine.exists || machine.knows_new_token || !self.old_may_renew_worker_leases(guards) {
            return;
        }
        let mut state = *self;
        state.machines[index].worker_lease_end = self.now + WORKER_LEASE;
        state.machines[index].last_answered[OLD_LEADER] = self.now;
        if self.old_view == TaskView::RunningOn(index as u8) && machine.reports_done {
            state.old_view = TaskView::Done;
        }
        if self.is_cancel_requested() && guards.enforce(Guard::RequestedCancelStops) {
            state.machines[index].runs_task = false;
        }
        next.push(state);
        if self.old_view == TaskView::Pending && !self.is_cancel_requested() {
            next.push(State { old_view: TaskView::RunningOn(index as u8), ..state.start_task(index) });
        }
    }

    /// Adds the steps by which the old leader finds the lease of the task's machine expired or deletes the machine.
    fn old_leader_loss_steps(&self, index: usize, guards: Guards, next: &mut Vec<State>) {
        let machine = self.machines[index];
        if self.old_view != TaskView::RunningOn(index as u8) || !self.old_may_decide(guards) {
            return;
        }
        let lease_end = machine.known_lease_end(OLD_LEADER);
        if self.now >= lease_end {
            next.push(State { old_view: TaskView::Lost(lease_end), ..*self });
        }
        if machine.exists {
            let mut state = State { old_view: TaskView::Lost(self.now + 1), ..*self };
            state.machines[index] = Machine { exists: false, runs_task: false, reports_done: false, ..machine };
            next.push(state);
        }
    }

    /// Adds the request for the cancellation, or the old leader's request to release the shard.
    fn scenario_steps(&self, next: &mut Vec<State>) {
        match self.scenario {
            Scenario::CancelRequest(false) if self.old_view != TaskView::Done => {
                next.push(State { scenario: Scenario::CancelRequest(true), ..*self });
            }
            Scenario::Release(None) => next.push(State { scenario: Scenario::Release(Some(self.now)), ..*self }),
            _ => {}
        }
    }

    fn old_leader_decision_steps(&self, guards: Guards, next: &mut Vec<State>) {
        match self.old_view {
            TaskView::Lost(at) => {
                let all_exist = self.machines.iter().all(|machine| machine.exists);
                let guard = if all_exist { Guard::ExpiryConfirmed } else { Guard::DeletionConfirmed };
                if !guards.enforce(guard) || self.confirmed_since(at) {
                    next.push(State { old_view: TaskView::Pending, ..*self });
                }
            }
            TaskView::Unknown if self.record == Record::Live => {
                next.push(State { old_view: TaskView::RecordRead(self.now + 1), ..*self });
            }
            TaskView::RecordRead(at) if !guards.enforce(Guard::RecordConfirmed) || self.confirmed_since(at) => {
                next.push(State { old_view: TaskView::Pending, ..*self });
            }
            TaskView::Done if self.replaced_at.is_none() && self.record == Record::Live => {
                next.push(State { record: Record::Done, ..*self });
            }
            _ => {}
        }
    }
}

/// Steps of the new leader.
impl State {
    fn new_leader_steps(&self, replaced_at: u8, guards: Guards, next: &mut Vec<State>) {
        for machine in 0..self.machines.len() {
            self.new_leader_heartbeat_steps(machine, next);
            self.new_leader_replacement_steps(machine, next);
            self.new_leader_expiry_steps(machine, replaced_at, guards, next);
        }
        if self.new_view == TaskView::Unreconciled && !guards.enforce(Guard::UnreconciledTaskWaits) {
            next.push(State { new_view: TaskView::Pending, ..*self });
        }
        self.new_leader_record_steps(replaced_at, guards, next);
    }

    /// Adds the contact of the new leader with a machine under its own fencing token, by a direct call or a heartbeat.
    fn new_leader_heartbeat_steps(&self, index: usize, next: &mut Vec<State>) {
        let machine = self.machines[index];
        if !machine.exists {
            return;
        }
        let mut state = *self;
        state.machines[index].knows_new_token = true;
        state.machines[index].last_answered[NEW_LEADER] = self.now;
        if machine.knows_new_token {
            state.machines[index].worker_lease_end = self.now + WORKER_LEASE;
            // The answer also stops a task of a cancelled job.
            state.machines[index].runs_task &= self.record != Record::Cancelled;
        }
        state.new_view = state.view_after_reconciling(index, machine);
        next.push(state);
        if machine.knows_new_token && self.new_view == TaskView::Pending {
            next.push(State { new_view: TaskView::RunningOn(index as u8), ..state.start_task(index) });
        }
    }

    /// Returns the new leader's view after a machine has reported its tasks. `self` is the state after the report, and
    /// `reported` is the machine before it.
    fn view_after_reconciling(&self, index: usize, reported: Machine) -> TaskView {
        match self.new_view {
            TaskView::Unreconciled if reported.runs_task => TaskView::RunningOn(index as u8),
            TaskView::Unreconciled | TaskView::RunningOn(_) if reported.reports_done => TaskView::Done,
            TaskView::Unreconciled
                if self.machines.iter().all(|machine| machine.knows_new_token || !machine.exists) =>
            {
                TaskView::Pending
            }
            // The task was started or found on this machine and does not run there any more.
            TaskView::RunningOn(on) if on == index as u8 && !reported.runs_task => TaskView::Pending,
            other => other,
        }
    }

    /// Adds the replacement of a deleted machine by another one, which is registered in the new term.
    fn new_leader_replacement_steps(&self, index: usize, next: &mut Vec<State>) {
        if self.machines[index].exists || self.new_view == TaskView::RunningOn(index as u8) {
            return;
        }
        let mut state = *self;
        state.machines[index] = Machine {
            knows_new_token: true,
            worker_lease_end: self.now + WORKER_LEASE,
            last_answered: [0, self.now],
            ..IDLE_MACHINE
        };
        next.push(state);
    }

    /// Adds the step by which the new leader finds the worker lease of a machine expired.
    fn new_leader_expiry_steps(&self, index: usize, replaced_at: u8, guards: Guards, next: &mut Vec<State>) {
        let machine = self.machines[index];
        let lease_end = match (machine.knows_new_token, guards.enforce(Guard::UnreconciledLeaseWaits)) {
            (true, _) => machine.known_lease_end(NEW_LEADER),
            (false, true) => replaced_at + WORKER_LEASE + DECISION_BOUND + GRACE,
            (false, false) => replaced_at + WORKER_LEASE,
        };
        if self.now < lease_end {
            return;
        }
        let other = self.machines[1 - index];
        let is_other_reconciled = other.knows_new_token || !other.exists;
        if self.new_view == TaskView::RunningOn(index as u8)
            || self.new_view == TaskView::Unreconciled && is_other_reconciled
        {
            next.push(State { new_view: TaskView::Pending, ..*self });
        }
    }

    /// Adds the steps by which the new leader accepts the job, records its end, or reports its state to the user.
    fn new_leader_record_steps(&self, replaced_at: u8, guards: Guards, next: &mut Vec<State>) {
        let has_passed = |bound: u8| self.was_released || self.now >= replaced_at + bound;
        match self.record {
            Record::Absent => next.push(State { record: Record::Live, new_view: TaskView::Pending, ..*self }),
            Record::Live => {
                let may_record_done = has_passed(READ_BOUND) || !guards.enforce(Guard::DoneWaits);
                if self.new_view == TaskView::Done && may_record_done {
                    next.push(State { record: Record::Done, ..*self });
                }
                if has_passed(DECISION_BOUND) || !guards.enforce(Guard::CancelWaits) {
                    // No task of the job is started from now on, and known tasks are stopped.
                    next.push(State { record: Record::Cancelled, new_view: TaskView::Done, ..*self });
                }
                if matches!(self.new_view, TaskView::Pending | TaskView::RunningOn(_) | TaskView::Unreconciled) {
                    next.push(self.answer_user(Record::Live));
                }
            }
            // Every node may report a final record.
            Record::Done | Record::Cancelled => next.push(self.answer_user(self.record)),
        }
    }
}

/// Number of states that a search has visited, and the first that violates a rule.
struct SearchResult {
    states: usize,
    violation: Option<State>,
}

/// Visits all states that can follow `initial`, until the first that violates a rule.
fn search(initial: State, guards: Guards) -> SearchResult {
    let mut states = 0;
    for state in bfs_reach(initial, |state| state.successors(guards)) {
        states += 1;
        if state.is_violated {
            return SearchResult { states, violation: Some(state) };
        }
    }
    SearchResult { states, violation: None }
}

#[test]
fn no_order_of_events_violates_a_rule() {
    let guards = Guards { disabled: None };
    let mut all = 0;
    for (is_accepted, scenario) in [
        (true, Scenario::Failover),
        (false, Scenario::Failover),
        (true, Scenario::CancelRequest(false)),
        (true, Scenario::Release(None)),
    ] {
        let SearchResult { states, violation } = search(State::initial(is_accepted, scenario), guards);
        let job = if is_accepted { "accepted" } else { "not known" };
        assert_eq!(violation, None, "a rule is violated in {scenario:?}, where the job is {job} at the start");
        println!("{scenario:?}: {states} states visited");
        all += states;
    }
    println!("{all} states visited in total");
    // Too few states would mean that the search has stopped early and proves nothing.
    assert!(all > 100_000, "only {all} states were visited");
}

#[test]
fn every_disabled_guard_leads_to_a_violation() {
    for (guard, is_accepted, scenario) in [
        (Guard::DoneWaits, true, Scenario::Failover),
        (Guard::CancelWaits, true, Scenario::Failover),
        (Guard::ExpiryConfirmed, true, Scenario::Failover),
        (Guard::DeletionConfirmed, true, Scenario::Failover),
        (Guard::RecordConfirmed, false, Scenario::Failover),
        (Guard::UnreconciledLeaseWaits, true, Scenario::Failover),
        (Guard::UnreconciledTaskWaits, true, Scenario::Failover),
        (Guard::RequestedCancelStops, true, Scenario::CancelRequest(false)),
        (Guard::ReleaseStopsDecisions, true, Scenario::Release(None)),
        (Guard::ReleaseStartsGrace, true, Scenario::Release(None)),
    ] {
        let SearchResult { states, violation } =
            search(State::initial(is_accepted, scenario), Guards { disabled: Some(guard) });
        println!("{guard:?} disabled: {states} states visited");
        assert!(violation.is_some(), "no rule is violated with {guard:?} disabled");
    }
}
