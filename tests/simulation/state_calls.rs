//! Calls of controllers to the state service, with delays, lost answers and late transactions.

use super::*;

impl Simulation {
    pub(super) fn state_call_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        call: OutboundCallId,
        request: StateCall,
    ) {
        if matches!(request, StateCall::Commit { .. }) && self.delays_commit() {
            let at = self.now + self.rng.random_range(2 * SEC..12 * SEC);
            return self.schedule(at, ScheduledEvent::DelayedCommit { node, request });
        }
        let acquisitions = self.state_service.leadership_acquisitions;
        let answer = self.state_service.handle(self.now, node, &request, self.disabled);
        if self.state_service.leadership_acquisitions > acquisitions {
            self.replay_retained_heartbeats();
        }
        if matches!(answer, Ok(StateAnswer::Committed(_))) {
            self.count_vanished_machines(&request);
        }
        let unanswered =
            self.state_service.unanswered_controller.and_then(|fault| fault.active(self.now)) == Some(node);
        if !unanswered && !self.loses_answer(&request) {
            self.answer_state_call(node, incarnation, call, Event::State { call, answer });
        }
    }

    /// Executes a transaction seconds after it was sent. The caller gets no answer.
    pub(super) fn execute_delayed_commit(&mut self, node: usize, request: &StateCall) {
        // A prefix that is refused now does not apply to a transaction that was sent earlier.
        let refused_prefix = self.state_service.refused_prefix.take();
        let answer = self.state_service.handle(self.now, node, request, self.disabled);
        self.state_service.refused_prefix = refused_prefix;
        self.state_service.delayed_commits_applied += u64::from(matches!(answer, Ok(StateAnswer::Committed(_))));
    }

    fn answer_state_call(&mut self, node: usize, incarnation: u64, call: OutboundCallId, event: Event) {
        let is_slow = self.state_service.slow_answers_to.is_none_or(|slow| slow == node);
        let slow_answers = self.state_service.slow_answers.filter(|_| is_slow);
        match slow_answers.and_then(|fault| fault.active(self.now)) {
            Some(max_delay) => {
                let at = self.now + self.rng.random_range(0..max_delay);
                self.schedule(at, ScheduledEvent::AnswerArrives { node, incarnation, call, event });
            }
            None => self.send_answer(node, incarnation, call, Endpoint::StateService, event),
        }
    }

    /// Returns `true` if a fault delays the transaction; a random choice.
    fn delays_commit(&mut self) -> bool {
        let probability = self.state_service.delayed_commits.and_then(|fault| fault.active(self.now));
        probability.is_some_and(|probability| self.rng.random_bool(probability))
    }

    /// Returns `true` if a fault loses the answer to the request; a random choice.
    fn loses_answer(&mut self, request: &StateCall) -> bool {
        let probability = self.state_service.lost_commit_answers.and_then(|fault| fault.active(self.now));
        let is_transaction = matches!(request, StateCall::Commit { .. });
        probability.is_some_and(|probability| is_transaction && self.rng.random_bool(probability))
    }

    /// Counts the machine records of a transaction whose machines do not exist any more.
    fn count_vanished_machines(&mut self, request: &StateCall) {
        let StateCall::Commit { changes, .. } = request else { return };
        let recorded = changes.iter().filter_map(|change| match change {
            Change::Put { key, .. } => key.strip_prefix("machine/"),
            Change::Delete(_) => None,
        });
        let vanished = |name: &&str| !self.workers.contains_key(&workers::machine_number(&MachineId::new(name)));
        self.observations.vanished_machines_recorded += recorded.filter(vanished).count();
    }
}
