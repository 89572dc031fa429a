//! Compares the dependency graph with a naive model on seeded random pipelines. After every step, the model recomputes
//! readiness, withdrawal and urgency from the prerequisites and final states of all jobs.

use crowstall_dependencies::{DependencyGraph, DependencyStatus, Urgency};
use crowstall_model::model::{FinalState, JobId, Priority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashSet};

/// A job of the naive model.
#[derive(Clone)]
struct ModelJob {
    prerequisites: Vec<usize>,
    urgency: Urgency,
    end: Option<FinalState>,
    /// `true` if the job was added to the graph. Other jobs may name it as a prerequisite before that.
    is_added: bool,
}

fn id(number: usize) -> JobId {
    JobId::new(&format!("wk-{number:06}"))
}

fn random_urgency(rng: &mut SmallRng) -> Urgency {
    let priorities = [Priority::Production, Priority::High, Priority::Normal, Priority::BestEffort];
    let due_ms = rng.random_bool(0.4).then(|| rng.random_range(1_000..90_000));
    let useful_until_ms = due_ms.map(|due| due * 3 / 2);
    Urgency {
        priority: priorities[rng.random_range(0..4)],
        due_ms,
        useful_until_ms,
        expected_run_ms: rng.random_range(0..5_000),
    }
}

/// All jobs by number, with the content of their records.
#[derive(Default)]
struct Model {
    jobs: BTreeMap<usize, ModelJob>,
}

impl Model {
    fn is_done(&self, job: usize) -> bool {
        self.jobs[&job].end == Some(FinalState::Done)
    }

    fn open_prerequisites(&self, job: usize) -> Vec<usize> {
        self.jobs[&job].prerequisites.iter().copied().filter(|prerequisite| !self.is_done(*prerequisite)).collect()
    }

    /// Returns `true` if a direct or indirect prerequisite was cancelled.
    fn is_withdrawn(&self, job: usize) -> bool {
        self.jobs[&job].prerequisites.iter().any(|prerequisite| {
            self.jobs[prerequisite].end == Some(FinalState::Cancelled) || self.is_withdrawn(*prerequisite)
        })
    }

    /// Returns `true` if the job depends, directly or indirectly, on a job that has not ended and was not added to the
    /// graph.
    fn depends_on_unknown(&self, job: usize) -> bool {
        let is_open = |prerequisite: &&usize| self.jobs[*prerequisite].end.is_none();
        self.jobs[&job]
            .prerequisites
            .iter()
            .filter(is_open)
            .any(|prerequisite| !self.jobs[prerequisite].is_added || self.depends_on_unknown(*prerequisite))
    }

    /// Returns the urgency of a job combined with the urgency inherited from all dependents that the graph has not
    /// reported as withdrawn.
    fn inherited_urgency(&self, withdrawn: &HashSet<JobId>, job: usize) -> Urgency {
        let is_dependent = |other: &&usize| {
            let other = &self.jobs[*other];
            other.is_added && other.end.is_none() && other.prerequisites.contains(&job)
        };
        let dependents = self.jobs.keys().filter(is_dependent).filter(|other| !withdrawn.contains(&id(**other)));
        dependents.fold(self.jobs[&job].urgency, |urgency, other| {
            let inherited = self.inherited_urgency(withdrawn, *other);
            urgency.combine(&inherited.for_prerequisites(self.jobs[other].urgency.expected_run_ms))
        })
    }
}

/// Number of checks made of each case.
#[derive(Debug, Default)]
struct Checked {
    ready: u32,
    waiting: u32,
    withdrawn: u32,
}

/// One random pipeline, held both by the model and by the graph.
struct Run {
    seed: u64,
    rng: SmallRng,
    graph: DependencyGraph,
    model: Model,
    /// Jobs that the graph has reported as withdrawn.
    withdrawn: HashSet<JobId>,
    /// Jobs that the graph has reported as ready.
    ready: HashSet<JobId>,
}

impl Run {
    fn new(seed: u64) -> Run {
        Run {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            graph: DependencyGraph::default(),
            model: Model::default(),
            withdrawn: HashSet::new(),
            ready: HashSet::new(),
        }
    }

    fn step(&mut self) {
        let jobs = &self.model.jobs;
        let open: Vec<usize> = jobs.iter().filter(|(_, job)| job.end.is_none()).map(|(number, _)| *number).collect();
        let not_added: Vec<usize> = open.iter().copied().filter(|number| !jobs[number].is_added).collect();
        match self.rng.random_range(0..10) {
            0..5 => self.create_job(),
            5..8 if !not_added.is_empty() => {
                let number = not_added[self.rng.random_range(0..not_added.len())];
                self.add_to_graph(number);
            }
            _ if !open.is_empty() => {
                let number = open[self.rng.random_range(0..open.len())];
                self.end_job(number);
            }
            _ => {}
        }
    }

    /// Adds a job to the model only; the job is added to the graph in a later step.
    fn create_job(&mut self) {
        let number = self.model.jobs.len();
        let count = self.rng.random_range(0..4usize).min(number);
        let prerequisites: HashSet<usize> = (0..count).map(|_| self.rng.random_range(0..number)).collect();
        let urgency = random_urgency(&mut self.rng);
        let prerequisites = prerequisites.into_iter().collect();
        self.model.jobs.insert(number, ModelJob { prerequisites, urgency, end: None, is_added: false });
    }

    fn add_to_graph(&mut self, number: usize) {
        let urgency = self.model.jobs[&number].urgency;
        let open_prerequisites: Vec<JobId> = self.model.open_prerequisites(number).into_iter().map(id).collect();
        if open_prerequisites.is_empty() {
            self.graph.mark_runnable(&id(number), urgency);
        } else {
            self.withdrawn.extend(self.graph.add_waiting(&id(number), &open_prerequisites, urgency));
            self.update_prerequisites(number);
        }
        self.model.jobs.get_mut(&number).unwrap().is_added = true;
    }

    /// Reports the prerequisites of a job that are runnable or cancelled to the graph, as a controller does from its
    /// memory and from the records.
    fn update_prerequisites(&mut self, number: usize) {
        for prerequisite in self.model.jobs[&number].prerequisites.clone() {
            let job = &self.model.jobs[&prerequisite];
            let is_runnable = job.prerequisites.iter().all(|other| self.model.is_done(*other));
            if job.is_added && job.end.is_none() && is_runnable {
                self.graph.mark_runnable(&id(prerequisite), job.urgency);
            }
            if job.end == Some(FinalState::Cancelled) {
                self.withdrawn.extend(self.graph.record_end(&id(prerequisite), FinalState::Cancelled));
            }
        }
    }

    fn end_job(&mut self, number: usize) {
        let may_run = self.model.open_prerequisites(number).is_empty();
        let is_done = may_run && self.rng.random_bool(0.9);
        let state = if is_done { FinalState::Done } else { FinalState::Cancelled };
        let reported = self.graph.record_end(&id(number), state);
        match state {
            FinalState::Done => self.ready.extend(reported),
            FinalState::Cancelled => self.withdrawn.extend(reported),
        }
        self.model.jobs.get_mut(&number).unwrap().end = Some(state);
    }

    fn check(&mut self, step: usize, checked: &mut Checked) {
        let live = self.model.jobs.iter().filter(|(_, job)| job.is_added && job.end.is_none());
        let live: Vec<usize> = live.map(|(number, _)| *number).collect();
        for number in live {
            if self.model.open_prerequisites(number).is_empty() {
                self.check_ready(number, step, checked);
            } else {
                self.check_waiting(number, step, checked);
            }
            self.check_urgency(number, step);
        }
    }

    fn check_ready(&mut self, number: usize, step: usize, checked: &mut Checked) {
        let (seed, job) = (self.seed, id(number));
        if self.graph.is_ready(&job) {
            assert!(self.ready.contains(&job), "seed {seed} step {step}: {job} was not reported as ready");
            checked.ready += 1;
            self.graph.mark_runnable(&job, self.model.jobs[&number].urgency);
        }
    }

    fn check_waiting(&self, number: usize, step: usize, checked: &mut Checked) {
        let (seed, job) = (self.seed, id(number));
        let is_withdrawn = self.model.is_withdrawn(number);
        let status = self.graph.dependency_status(&job, |_| false);
        let is_expected = match (&status, is_withdrawn, self.model.depends_on_unknown(number)) {
            (DependencyStatus::Withdrawn(_), true, _) => true,
            // A cancelled prerequisite may be hidden behind a job with an unknown status.
            (DependencyStatus::Unknown, _, true) => true,
            (DependencyStatus::Waiting, false, false) => true,
            _ => false,
        };
        assert!(
            is_expected,
            "seed {seed} step {step}: dependency status of {job} is {status:?}, withdrawn: {is_withdrawn}"
        );
        let is_reported = self.withdrawn.contains(&job);
        assert_eq!(is_reported, matches!(status, DependencyStatus::Withdrawn(_)), "seed {seed}: {job}");
        assert!(!self.graph.is_ready(&job), "seed {seed} step {step}: {job} is ready too early");
        if is_withdrawn { checked.withdrawn += 1 } else { checked.waiting += 1 }
    }

    fn check_urgency(&self, number: usize, step: usize) {
        let (seed, job) = (self.seed, id(number));
        if let Some(urgency) = self.graph.inherited_urgency(&job).filter(|_| !self.model.is_withdrawn(number)) {
            let expected = self.model.inherited_urgency(&self.withdrawn, number);
            assert_eq!(urgency, expected, "seed {seed} step {step}: urgency of {job}");
        }
    }
}

#[test]
fn graph_agrees_with_the_naive_model() {
    let mut checked = Checked::default();
    for seed in 0..300 {
        let mut run = Run::new(seed);
        for step in 0..60usize {
            run.step();
            run.check(step, &mut checked);
        }
    }
    let counts = [checked.ready, checked.waiting, checked.withdrawn];
    assert!(counts.iter().all(|count| *count > 100), "{checked:?}");
}

#[test]
fn cancellations_in_doubt_affect_dependents_only() {
    let mut graph = DependencyGraph::default();
    graph.add_waiting(&id(2), &[id(1)], Urgency::default());
    graph.add_waiting(&id(3), &[id(2)], Urgency::default());
    graph.add_waiting(&id(5), &[id(4)], Urgency::default());
    (1..5).step_by(3).for_each(|number| graph.mark_runnable(&id(number), Urgency::default()));
    let may_be_cancelled = |job: &JobId| *job == id(1);
    assert_eq!(graph.dependency_status(&id(3), may_be_cancelled), DependencyStatus::InDoubt);
    assert_eq!(graph.dependency_status(&id(5), may_be_cancelled), DependencyStatus::Waiting);
}

const LONG_DUE: Urgency =
    Urgency { priority: Priority::High, due_ms: Some(90_000_000), useful_until_ms: None, expected_run_ms: 1_000 };

/// Guards against recursive traversals, which would overflow the stack on a chain of 20,000 jobs.
#[test]
fn long_chains_of_dependencies_are_traversed() {
    let mut graph = DependencyGraph::default();
    let last = 20_000;
    graph.mark_runnable(&id(0), Urgency::default());
    for number in 1..=last {
        let urgency = if number == last { LONG_DUE } else { Urgency { expected_run_ms: 1_000, ..Urgency::default() } };
        graph.add_waiting(&id(number), &[id(number - 1)], urgency);
    }
    graph.mark_runnable(&id(0), Urgency::default());
    let first = graph.inherited_urgency(&id(0)).expect("the first job has a dependent");
    assert_eq!((first.priority, first.due_ms), (Priority::High, Some(90_000_000 - last as u64 * 1_000)));
    assert_eq!(graph.record_end(&id(0), FinalState::Cancelled).len(), last);
}

/// Guards against traversals in quadratic time, which would take too long with 5,000 prerequisites and 5,000
/// dependents.
#[test]
fn jobs_with_many_prerequisites_and_dependents_are_traversed() {
    let mut graph = DependencyGraph::default();
    let prerequisites: Vec<JobId> = (0..5_000).map(id).collect();
    graph.add_waiting(&id(9_999), &prerequisites, LONG_DUE);
    (10_000..15_000).for_each(|number| assert!(graph.add_waiting(&id(number), &[id(9_999)], LONG_DUE).is_empty()));
    prerequisites.iter().for_each(|prerequisite| graph.mark_runnable(prerequisite, Urgency::default()));
    let ready: Vec<JobId> =
        prerequisites.iter().flat_map(|prerequisite| graph.record_end(prerequisite, FinalState::Done)).collect();
    assert_eq!(ready, [id(9_999)]);
    assert_eq!(graph.record_end(&id(9_999), FinalState::Done).len(), 5_000);
}
