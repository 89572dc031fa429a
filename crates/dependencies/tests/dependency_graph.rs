//! Compares the dependency graph with a naive model on seeded random pipelines. After every step, the model recomputes
//! readiness, withdrawal and urgency from the prerequisites and final states of all jobs.

use crowstall_dependencies::{DependencyGraph, DependencyStatus, Urgency};
use crowstall_model::model::{FinalState, JobId, Priority};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};

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
            urgency.combine(&inherited.for_prerequisites())
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
    /// Inherited urgency of each job, kept up to date with the reported changes alone.
    urgencies: HashMap<JobId, Option<Urgency>>,
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
            urgencies: HashMap::new(),
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

    fn update_urgencies(&mut self) {
        let update = self.graph.update_urgencies();
        assert!(update.is_within_limit, "seed {}: {} visits", self.seed, update.visits);
        for job in self.graph.take_changed_urgencies() {
            let urgency = self.graph.inherited_urgency(&job);
            self.urgencies.insert(job, urgency);
        }
    }

    fn check_urgency(&mut self, number: usize, step: usize) {
        self.update_urgencies();
        let (seed, job) = (self.seed, id(number));
        if let Some(urgency) = self.graph.inherited_urgency(&job).filter(|_| !self.model.is_withdrawn(number)) {
            let expected = self.model.inherited_urgency(&self.withdrawn, number);
            assert_eq!(urgency, expected, "seed {seed} step {step}: urgency of {job}");
            let reported = self.urgencies.get(&job).copied().flatten().unwrap_or_default();
            assert_eq!(reported, expected, "seed {seed} step {step}: reported urgency of {job}");
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
    // Several changes are applied between two updates of the urgencies.
    for seed in 300..600 {
        let mut run = Run::new(seed);
        for step in 0..60usize {
            run.step();
            if step % 7 == 6 {
                run.check(step, &mut checked);
            }
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
    assert!(graph.update_urgencies().is_within_limit);
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

/// A pipeline in which each job waits for the jobs before it.
struct Pipeline {
    jobs: usize,
    /// Number of directly preceding jobs that each job names.
    named: usize,
    /// Expected run time of each job in milliseconds.
    run_ms: Vec<u64>,
}

impl Pipeline {
    /// Returns a pipeline with expected run times between a second and ten hours, evenly distributed on a logarithmic
    /// scale.
    fn with_random_run_times(jobs: usize, named: usize, seed: u64) -> Pipeline {
        let mut rng = SmallRng::seed_from_u64(seed);
        let run_ms = (0..jobs).map(|_| (1_000.0 * 36_000f64.powf(rng.random_range(0.0..1.0))) as u64).collect();
        Pipeline { jobs, named, run_ms }
    }

    /// Returns a pipeline in which each job names all jobs before it and is expected to run longer than these.
    fn with_growing_run_times(jobs: usize) -> Pipeline {
        Pipeline {
            jobs,
            named: jobs,
            run_ms: (0..jobs).map(|number| (1_000.0 * 1.3f64.powi(number as i32)) as u64).collect(),
        }
    }

    fn prerequisites(&self, number: usize) -> Vec<JobId> {
        (number.saturating_sub(self.named)..number).map(id).collect()
    }

    fn dependencies(&self) -> usize {
        (0..self.jobs).map(|number| self.prerequisites(number).len()).sum()
    }

    /// Adds a job. Only the last job of the pipeline has a deadline.
    fn add(&self, graph: &mut DependencyGraph, number: usize) {
        let own = Urgency { expected_run_ms: self.run_ms[number], ..Urgency::default() };
        let urgency = if number == self.jobs - 1 { Urgency { due_ms: LONG_DUE.due_ms, ..own } } else { own };
        match number {
            0 => graph.mark_runnable(&id(0), urgency),
            _ => assert!(graph.add_waiting(&id(number), &self.prerequisites(number), urgency).is_empty()),
        }
    }

    /// Returns the due time that the first job inherits through the slowest path.
    fn due_of_first_job(&self) -> Option<u64> {
        let mut due_ms = vec![LONG_DUE.due_ms; self.jobs];
        for number in (0..self.jobs - 1).rev() {
            let dependents = number + 1..(number + 1 + self.named).min(self.jobs);
            due_ms[number] =
                dependents.map(|at| due_ms[at].map(|due| due.saturating_sub(self.run_ms[at]))).min().flatten();
        }
        due_ms[0]
    }
}

/// Guards against updates that follow every path through a pipeline: adding the last job of one with 360 jobs took more
/// than a minute, during which the leader answered nobody.
#[test]
fn an_update_visits_each_job_and_each_dependency_a_few_times() {
    let pipelines = [
        Pipeline::with_growing_run_times(20),
        Pipeline::with_random_run_times(60, 20, 1),
        Pipeline::with_random_run_times(360, 40, 1),
        Pipeline::with_growing_run_times(64),
    ];
    for pipeline in pipelines {
        let (jobs, size) = (pipeline.jobs, pipeline.jobs + pipeline.dependencies());
        let mut graph = DependencyGraph::default();
        for number in 0..jobs {
            pipeline.add(&mut graph, number);
            let visits = graph.update_urgencies().visits;
            assert!(
                visits <= 3 * size,
                "{visits} visits for job {number} of {jobs}, with {size} jobs and dependencies"
            );
        }
        graph.mark_runnable(&id(0), Urgency::default());
        let first = graph.inherited_urgency(&id(0)).expect("the first job has dependents");
        assert_eq!(first.due_ms, pipeline.due_of_first_job());
    }
}

/// Guards against updates that begin anew for each record while the records of a pipeline are loaded in any order.
#[test]
fn loading_a_pipeline_in_any_order_takes_one_update() {
    let pipeline = Pipeline::with_random_run_times(360, 40, 2);
    let size = pipeline.jobs + pipeline.dependencies();
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut numbers: Vec<usize> = (0..pipeline.jobs).collect();
        (1..numbers.len()).for_each(|at| numbers.swap(at, rng.random_range(0..=at)));
        let mut graph = DependencyGraph::default();
        numbers.iter().for_each(|number| pipeline.add(&mut graph, *number));
        pipeline.add(&mut graph, 0);
        let update = graph.update_urgencies();
        assert!(update.is_within_limit && update.visits <= 3 * size, "seed {seed}: {} visits", update.visits);
        let first = graph.inherited_urgency(&id(0)).expect("the first job has dependents");
        assert_eq!(first.due_ms, pipeline.due_of_first_job(), "seed {seed}");
        assert_eq!(graph.update_urgencies().visits, 0);
    }
}

/// Guards against a step for each dependent of a job when one more is added that changes nothing.
#[test]
fn an_unchanged_urgency_is_not_recomputed_from_all_dependents() {
    let mut graph = DependencyGraph::default();
    graph.add_waiting(&id(1), &[id(0)], Urgency::default());
    graph.mark_runnable(&id(0), LONG_DUE);
    graph.update_urgencies();
    for number in 2..5_000 {
        graph.add_waiting(&id(number), &[id(0)], Urgency::default());
        let visits = graph.update_urgencies().visits;
        assert!(visits <= 4, "{visits} visits for dependent {number}");
    }
    // A leader reports each live prerequisite of an added job again.
    for number in 5_000..6_000 {
        graph.add_waiting(&id(number), &[id(0)], Urgency::default());
        graph.mark_runnable(&id(0), LONG_DUE);
        let visits = graph.update_urgencies().visits;
        assert!(visits <= 4, "{visits} visits for dependent {number}, whose prerequisite was reported again");
    }
}

/// Guards against endless updates on records that depend on one another in a cycle.
#[test]
fn updates_end_in_spite_of_cycles() {
    let mut graph = DependencyGraph::default();
    for number in 0..100usize {
        let prerequisites: Vec<JobId> = [(number + 1) % 100, (number + 7) % 100].map(id).to_vec();
        graph.add_waiting(&id(number), &prerequisites, LONG_DUE);
    }
    for _ in 0..3 {
        assert!(graph.update_urgencies().is_within_limit);
        graph.record_end(&id(3), FinalState::Done);
        graph.add_waiting(&id(3), &[id(4), id(10)], LONG_DUE);
    }
}
