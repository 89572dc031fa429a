//! Tests of the runtime samples that are recorded when attempts end.

use super::super::HeartbeatNumber;
use super::*;
use crate::coordination::leadership_term::LeadershipTerm;
use crate::model::*;
use crate::protocol::workers::{TaskStatus, WorkerHeartbeat};
use crate::storage::records::{LiveRecord, MachineRecord};
use crowstall_reconciliation::Recovery;
use std::sync::Arc;

const JOB: &str = "wk-1";

/// Shard that collects runtime samples, with one machine and one job array of four tasks.
struct TestShard {
    shard: Shard,
    machine: MachineId,
    now: Time,
    seq: u64,
}

impl TestShard {
    fn new(checkpoint_s: f64) -> TestShard {
        let now = Time(1_000_000);
        let mut shard = Shard::new(
            LeadershipTerm { shard: ShardId(0), term: Revision(5) },
            Recovery::new(now, 1, true),
            Arc::default(),
        );
        shard.runtime_samples = Some(RuntimeSamples::new(Span::millis(1000)));
        let text = format!(
            r#"{{"shard":0,"accepted_ms":1,"untouched":4,"job":{{"id":"{JOB}","class":"c","team":"t","kind":"array",
            "priority":"normal","tasks":4,"needs":{{"cpus":1000000,"gpus":0,"memory":0}},"image":"i","image_gb":1.0,
            "estimate_s":10.0,"checkpoint_s":{checkpoint_s:?}}}}}"#
        );
        let record: LiveRecord = serde_json::from_str(&text).expect("valid job record");
        shard.accept_job(record, Revision(6), now);
        let machine = MachineId::new("i-1");
        let record = MachineRecord {
            shard: ShardId(0),
            kind: Name::new("m"),
            zone: Name::new("z"),
            spot: false,
            addr: String::new(),
        };
        let addr = std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1);
        shard.add_machine(machine.clone(), &record, addr, Revision(7), now);
        TestShard { shard, machine, now, seq: 1 }
    }

    /// Places an attempt of a task on the machine in answer to the last heartbeat.
    fn place(&mut self, task: u32, attempt_number: u64) {
        let attempt = Attempt {
            task: TaskId { job: JobId::new(JOB), task: TaskIndex(task) },
            team: Name::new("t"),
            needs: Resources::default(),
            state: None,
            sent_in: HeartbeatNumber { epoch: AgentEpoch(1), seq: SequenceNumber(self.seq) },
            running_since: None,
            progress: AttemptProgress::default(),
            stop_grace_s: None,
        };
        self.shard.place(&self.machine, AttemptNumber(attempt_number), attempt);
    }

    /// Applies a heartbeat that the machine sends `after_ms` later. `tasks` are the task, attempt number and state of
    /// each reported attempt.
    fn heartbeat(&mut self, after_ms: u64, tasks: &[(u32, u64, TaskState)]) {
        self.now += Span::millis(after_ms);
        self.seq += 1;
        let statuses = tasks.iter().map(|(task, attempt_number, state)| TaskStatus {
            task: TaskId { job: JobId::new(JOB), task: TaskIndex(*task) },
            attempt: AttemptNumber(*attempt_number),
            state: *state,
        });
        let heartbeat = WorkerHeartbeat {
            machine: self.machine.clone(),
            addr: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1),
            kind: Name::new("m"),
            zone: Name::new("z"),
            spot: false,
            epoch: AgentEpoch(1),
            seq: SequenceNumber(self.seq),
            token: FencingToken(7),
            notice: None,
            tasks: statuses.collect(),
        };
        self.shard.apply_heartbeat(&heartbeat, self.now);
    }

    /// Applies a heartbeat with the running attempt each second, `seconds` times.
    fn runs_for(&mut self, task: u32, attempt_number: u64, seconds: u64) {
        for _ in 0..seconds {
            self.heartbeat(1000, &[(task, attempt_number, TaskState::Running)]);
        }
    }

    /// Takes the samples recorded since the last call. Returns the run time of each in seconds, and `true` if the run
    /// time is that of the whole task.
    fn take_samples(&mut self) -> Vec<(f64, bool)> {
        let samples = self.shard.runtime_samples.as_mut().expect("runtime samples are enabled");
        let samples = std::mem::take(&mut samples.samples).into_iter();
        samples
            .map(|sample| (sample.attempt.run_time.as_secs(), sample.attempt.outcome == forecast::Outcome::Completed))
            .collect()
    }
}

const DONE: TaskState = TaskState::Exited(Exit::Done);

#[test]
fn only_an_attempt_seen_from_start_to_end_shows_the_whole_run_time() {
    let mut test = TestShard::new(0.0);
    test.place(0, 1);
    // Fetching the image does not count as run time.
    test.heartbeat(3000, &[(0, 1, TaskState::Fetching)]);
    test.runs_for(0, 1, 6);
    test.heartbeat(500, &[(0, 1, DONE)]);
    assert_eq!(test.take_samples(), [(5.5, true)]);
    // A silence of 9 s may be a pause of the machine, so only the remaining time surely is run time.
    test.place(1, 2);
    test.runs_for(1, 2, 4);
    test.heartbeat(9000, &[(1, 2, TaskState::Running)]);
    test.heartbeat(1000, &[(1, 2, DONE)]);
    assert_eq!(test.take_samples(), [(4.0, false)]);
    // The attempt was started by a former leader, so its start was not observed.
    test.heartbeat(1000, &[(2, 3, TaskState::Running)]);
    test.heartbeat(1000, &[(2, 3, TaskState::Running)]);
    test.heartbeat(1000, &[(2, 3, DONE)]);
    assert_eq!(test.take_samples(), [(2.0, false)]);
}

#[test]
fn a_lost_attempt_ran_until_last_reported_and_its_kept_result_shows_nothing() {
    let mut test = TestShard::new(0.0);
    test.place(0, 1);
    test.runs_for(0, 1, 5);
    // The worker lease expires after 30 s of silence.
    test.now += Span::millis(30_000);
    let (machine, now) = (test.machine.clone(), test.now);
    test.shard.remove_all_attempts(&machine, now);
    assert_eq!(test.take_samples(), [(4.0, false)]);
    // The task had completed unobserved. Started again, it ends as soon as the machine has its image.
    test.place(0, 2);
    test.heartbeat(1000, &[(0, 2, TaskState::Running)]);
    test.heartbeat(200, &[(0, 2, DONE)]);
    assert_eq!(test.take_samples(), []);
}

#[test]
fn saved_progress_adds_up_over_attempts() {
    let mut test = TestShard::new(3.0);
    test.place(0, 1);
    test.runs_for(0, 1, 5);
    test.heartbeat(100, &[(0, 1, TaskState::Saving)]);
    test.heartbeat(2000, &[(0, 1, TaskState::Exited(Exit::Saved))]);
    assert_eq!(test.take_samples(), [(4.0, false)]);
    test.place(0, 2);
    test.runs_for(0, 2, 8);
    // Stopped without saving, the attempt keeps the progress of its last checkpoint: 6 s of 7 s.
    test.heartbeat(100, &[(0, 2, TaskState::Exited(Exit::Stopped))]);
    assert_eq!(test.take_samples(), [(11.0, false)]);
    test.place(0, 3);
    test.runs_for(0, 3, 3);
    test.heartbeat(500, &[(0, 3, DONE)]);
    assert_eq!(test.take_samples(), [(12.5, true)]);
}
