//! Tests of the invariant that a controller reports no other state of a job after a final one.

use crate::simulation::users::spec;
use crate::simulation::{CONTROLLERS, SEC, Simulation};
use crowstall::coordination::{Action, ClientRequestId, Event};
use crowstall::model::*;
use crowstall::protocol::Reply;
use crowstall::protocol::peers::{Envelope, ForwardNumber, PeerMessage};
use crowstall::protocol::users::{ClientRequest, JobState, JobView};

/// Number of the client request that is forwarded to the leader.
const FORWARDED_REQUEST: ClientRequestId = ClientRequestId(u64::MAX - 1);

/// A simulation with a job that is done, and a controller that does not lead the job's shard.
struct DoneJob {
    simulation: Simulation,
    job: JobId,
    leader: NodeLabel,
    other: usize,
}

impl DoneJob {
    fn new(seed: u64) -> DoneJob {
        let mut simulation = Simulation::with_one_shard(seed, [3, 3]);
        simulation.cloud.reliable = true;
        let job = spec(1, JobKind::Array, "free", 1, 1.0);
        simulation.add_user(job.clone(), SEC, 400 * SEC, None, false);
        simulation.run_until(5 * SEC);
        let leader = simulation.current_leader();
        let other = (leader + 1) % CONTROLLERS;
        simulation.request(leader, ClientRequest::Submit(Ok(job.clone())), SEC).expect("the leader answers");
        simulation.run_until(60 * SEC);
        assert!(simulation.has_final_record(&job.id), "seed {seed}: the job is not done");
        DoneJob { leader: simulation.label(leader), simulation, job: job.id, other }
    }

    /// Makes the other controller report the final state.
    fn report_final_state(&mut self) {
        let reply = self.simulation.request(self.other, ClientRequest::Poll(self.job.clone()), SEC);
        assert!(reply.is_some_and(|reply| reply.body.contains("\"done\"")), "the job is not reported as done");
    }

    /// Polls the job at the other controller, which forwards the request. Returns the number of the forwarded request.
    fn forward_poll(&mut self) -> ForwardNumber {
        let event =
            Event::ClientRequest { id: FORWARDED_REQUEST, client_request: ClientRequest::Poll(self.job.clone()) };
        let actions = self.simulation.actions_of(self.other, event);
        let number = actions.into_iter().find_map(|action| match action {
            Action::SendToPeer { message: PeerMessage::ClientRequest { number, .. }, .. } => Some(number),
            _ => None,
        });
        number.expect("the poll is forwarded to the leader")
    }

    /// Delivers an answer of the leader that reports the job as running. Returns the reply to the client.
    fn answer_running(&mut self, number: ForwardNumber) -> Reply {
        let reply = Reply::json(200, &JobView::new(&self.job, JobState::Running, 0, 1));
        let reply = self.answer(number, reply).into_iter().find_map(|action| match action {
            Action::Reply { id: FORWARDED_REQUEST, reply } => Some(reply),
            _ => None,
        });
        reply.expect("the client gets a reply")
    }

    /// Delivers an answer of the leader. Returns the resulting actions.
    fn answer(&mut self, number: ForwardNumber, reply: Reply) -> Vec<Action> {
        let message = PeerMessage::Answer { number, reply };
        let event = Event::Peer(Envelope { from: self.leader.clone(), message });
        self.simulation.actions_of(self.other, event)
    }
}

/// Guards against passing on a leader's answer that contradicts a final state reported before the question came.
#[test]
fn live_state_is_not_passed_on_after_a_final_state_was_reported() {
    let mut done = DoneJob::new(1);
    done.report_final_state();
    let number = done.forward_poll();
    let reply = done.answer_running(number);
    assert_eq!((reply.status, done.simulation.invariant_violations(done.other)), (503, 1), "{}", reply.body);
}

/// An answer to a question that came before the final state was reported is older, which violates no invariant.
#[test]
fn older_answer_of_the_leader_is_replaced_by_the_final_state() {
    let mut done = DoneJob::new(2);
    let number = done.forward_poll();
    done.report_final_state();
    let reply = done.answer_running(number);
    assert!(reply.status == 200 && reply.body.contains("\"done\""), "{}", reply.body);
    assert_eq!(done.simulation.invariant_violations(done.other), 0);
}

/// Guards against passing on the state of a job that the client has not asked about.
#[test]
fn state_of_another_job_is_not_passed_on() {
    let mut done = DoneJob::new(3);
    let number = done.forward_poll();
    let reply = Reply::json(200, &JobView::new(&JobId::new("wk-999999"), JobState::Running, 0, 1));
    let actions = done.answer(number, reply);
    let is_reply = |action: &Action| matches!(action, Action::Reply { .. });
    assert!(!actions.iter().any(is_reply), "the foreign answer led to {actions:?}");
    assert!(actions.iter().any(|action| matches!(action, Action::State { .. })), "the job's record is not read");
    assert_eq!(done.simulation.invariant_violations(done.other), 1);
}
