//! The dependency graph of one shard.

mod inheritance;
mod topological_order;

pub use inheritance::UrgencyUpdate;

use crate::urgency::Urgency;
use crowstall_model::model::{FinalState, JobId};
use inheritance::OutdatedUrgencies;
use petgraph::Direction::{Incoming, Outgoing};
use petgraph::stable_graph::{NodeIndex, StableDiGraph};
use petgraph::visit::{Dfs, Reversed};
use std::collections::{HashMap, HashSet};
use topological_order::{Position, TopologicalOrder};

/// Status of a job in the graph.
#[derive(Clone, Debug, PartialEq, Eq)]
enum JobStatus {
    /// A job known only as a prerequisite: it belongs to another shard, ended long ago or was not added yet.
    Unknown,
    /// An accepted job that does not wait for any prerequisite.
    Runnable,
    /// A job that waits for prerequisites.
    Waiting,
    /// A job withdrawn because the given direct or indirect prerequisite was cancelled.
    Withdrawn(JobId),
}

/// A job in the graph.
#[derive(Debug)]
struct JobNode {
    job: JobId,
    status: JobStatus,
    /// Urgency set by the user.
    own_urgency: Urgency,
    /// Own urgency combined with the urgency inherited from dependents, as of the last update.
    inherited_urgency: Urgency,
    position: Position,
}

impl JobNode {
    fn is_withdrawn(&self) -> bool {
        matches!(self.status, JobStatus::Withdrawn(_))
    }

    /// Returns `true` if the graph has to keep the job even without dependents.
    fn is_waiting_or_withdrawn(&self) -> bool {
        matches!(self.status, JobStatus::Waiting | JobStatus::Withdrawn(_))
    }
}

/// The status of a waiting job that may be reported to users.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DependencyStatus {
    /// All direct and indirect prerequisites are in the graph, and none of them is cancelled.
    Waiting,
    /// The given direct or indirect prerequisite was cancelled.
    Withdrawn(JobId),
    /// The job is not in the graph, or some direct or indirect prerequisite has an unknown status, so a cancellation
    /// may have been missed.
    Unknown,
    /// The cancellation of the job itself or of some direct or indirect prerequisite is in doubt.
    InDoubt,
}

/// The dependency graph of the jobs of one shard.
///
/// The content is a function of the durable records: the prerequisites of each waiting job and the final states of
/// those prerequisites. Jobs may be added in any order, so records need not be sorted when they are loaded.
///
/// Edges point from a prerequisite to its dependents.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    graph: StableDiGraph<JobNode, ()>,
    index_by_job: HashMap<JobId, NodeIndex>,
    /// Jobs with the status [`JobStatus::Unknown`].
    unknown_jobs: HashSet<JobId>,
    /// Order in which urgencies are inherited.
    order: TopologicalOrder,
    /// Jobs whose inherited urgency may have to be recomputed.
    outdated_urgencies: OutdatedUrgencies,
    /// Jobs whose inherited urgency has changed since `take_changed_urgencies` was last called.
    changed_urgencies: HashSet<JobId>,
}

impl DependencyGraph {
    /// Adds a job that waits for `prerequisites`, none of which may be done. If one of them is withdrawn, the job is
    /// withdrawn too: returns the job and all its dependents in that case.
    pub fn add_waiting(&mut self, job: &JobId, prerequisites: &[JobId], urgency: Urgency) -> Vec<JobId> {
        let index = self.index_of(job).unwrap_or_else(|| {
            let position = self.order.take_last();
            self.insert_unknown(job, position)
        });
        self.set_status(index, JobStatus::Waiting);
        let mut known: HashSet<NodeIndex> = self.prerequisites_of(index).collect();
        let mut cancelled = None;
        for prerequisite in prerequisites.iter().filter(|prerequisite| *prerequisite != job) {
            let prerequisite = self.prerequisite_or_insert(prerequisite);
            if known.insert(prerequisite) {
                self.graph.add_edge(prerequisite, index, ());
                self.order.add_dependency(self.graph[prerequisite].position, self.graph[index].position);
            }
            if let JobStatus::Withdrawn(cause) = &self.graph[prerequisite].status {
                cancelled = Some(cause.clone());
            }
        }
        self.set_own_urgency(index, urgency);
        cancelled.map_or_else(Vec::new, |cause| self.withdraw_with_dependents(index, &cause))
    }

    /// Marks a job as accepted and not waiting for any prerequisite. Such a job stays in the graph only while other
    /// jobs depend on it; a job that is not in the graph, or was marked with the same urgency before, is ignored.
    pub fn mark_runnable(&mut self, job: &JobId, urgency: Urgency) {
        let Some(index) = self.index_of(job) else { return };
        let node = &self.graph[index];
        if node.status == JobStatus::Runnable && node.own_urgency == urgency {
            return;
        }
        self.set_status(index, JobStatus::Runnable);
        self.set_own_urgency(index, urgency);
        self.remove_if_unneeded(index);
    }

    /// Removes a job whose end is durable. Returns the dependents that become ready if the job is done, or those that
    /// are withdrawn, directly or indirectly, if it is cancelled.
    pub fn record_end(&mut self, job: &JobId, state: FinalState) -> Vec<JobId> {
        let Some(index) = self.index_of(job) else { return Vec::new() };
        let dependents: Vec<NodeIndex> = self.dependents_of(index).collect();
        let prerequisites: Vec<NodeIndex> = self.prerequisites_of(index).collect();
        let withdrawn = match state {
            FinalState::Cancelled => self.withdraw_dependents(index),
            FinalState::Done => Vec::new(),
        };
        self.remove(index);
        for prerequisite in prerequisites {
            self.outdated_urgencies.mark(prerequisite);
            self.remove_if_unneeded(prerequisite);
        }
        match state {
            FinalState::Cancelled => withdrawn,
            FinalState::Done => {
                let ready = dependents.into_iter().filter(|dependent| self.is_ready_at(*dependent));
                ready.map(|dependent| self.graph[dependent].job.clone()).collect()
            }
        }
    }

    /// Returns `true` if a job waits in this graph and all its prerequisites are done.
    pub fn is_ready(&self, job: &JobId) -> bool {
        self.index_of(job).is_some_and(|index| self.is_ready_at(index))
    }

    /// Returns the prerequisites of a job that are not done yet.
    pub fn prerequisites(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        let prerequisites = self.index_of(job).into_iter().flat_map(|index| self.prerequisites_of(index));
        prerequisites.map(|prerequisite| &self.graph[prerequisite].job)
    }

    /// Returns the cancelled direct or indirect prerequisite because of which a job is withdrawn, or `None` if the job
    /// is not withdrawn.
    pub fn withdrawn_with(&self, job: &JobId) -> Option<&JobId> {
        match &self.graph[self.index_of(job)?].status {
            JobStatus::Withdrawn(cause) => Some(cause),
            _ => None,
        }
    }

    /// Returns the status of a waiting job that may be reported to users. `may_be_cancelled` returns `true` for a job
    /// whose cancellation other nodes may already have read. It is called for the job and its direct and indirect
    /// prerequisites.
    pub fn dependency_status(&self, job: &JobId, may_be_cancelled: impl Fn(&JobId) -> bool) -> DependencyStatus {
        let Some(index) = self.index_of(job) else { return DependencyStatus::Unknown };
        if let Some(cause) = self.withdrawn_with(job) {
            return DependencyStatus::Withdrawn(cause.clone());
        }
        let mut status = DependencyStatus::Waiting;
        let reversed = Reversed(&self.graph);
        let mut traversal = Dfs::new(reversed, index);
        while let Some(prerequisite) = traversal.next(reversed) {
            let node = &self.graph[prerequisite];
            if node.status == JobStatus::Unknown {
                return DependencyStatus::Unknown;
            }
            if may_be_cancelled(&node.job) {
                status = DependencyStatus::InDoubt;
            }
        }
        status
    }

    /// Returns the jobs that are known only as prerequisites, so that it is not known whether they have ended.
    pub fn unknown_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.unknown_jobs.iter()
    }

    /// Returns the urgency of a job including the urgency inherited from its dependents as of the last update, or `None`
    /// if the job is not in the graph.
    pub fn inherited_urgency(&self, job: &JobId) -> Option<Urgency> {
        self.index_of(job).map(|index| self.graph[index].inherited_urgency)
    }

    /// Returns the jobs whose inherited urgency has changed since the previous call, as of the last update.
    pub fn take_changed_urgencies(&mut self) -> HashSet<JobId> {
        std::mem::take(&mut self.changed_urgencies)
    }

    /// Returns the number of jobs in the graph.
    pub fn len(&self) -> usize {
        self.graph.node_count()
    }

    /// Returns `true` if the graph contains no jobs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn index_of(&self, job: &JobId) -> Option<NodeIndex> {
        self.index_by_job.get(job).copied()
    }

    /// Returns a job that others wait for. Inserts it if it is not in the graph.
    fn prerequisite_or_insert(&mut self, job: &JobId) -> NodeIndex {
        self.index_of(job).unwrap_or_else(|| {
            let position = self.order.take_first();
            self.insert_unknown(job, position)
        })
    }

    fn insert_unknown(&mut self, job: &JobId, position: Position) -> NodeIndex {
        let index = self.graph.add_node(JobNode {
            job: job.clone(),
            status: JobStatus::Unknown,
            own_urgency: Urgency::default(),
            inherited_urgency: Urgency::default(),
            position,
        });
        self.index_by_job.insert(job.clone(), index);
        self.unknown_jobs.insert(job.clone());
        index
    }

    fn prerequisites_of(&self, index: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        self.graph.neighbors_directed(index, Incoming)
    }

    fn dependents_of(&self, index: NodeIndex) -> impl Iterator<Item = NodeIndex> + '_ {
        self.graph.neighbors_directed(index, Outgoing)
    }

    fn has_dependents_at(&self, index: NodeIndex) -> bool {
        self.dependents_of(index).next().is_some()
    }

    fn is_ready_at(&self, index: NodeIndex) -> bool {
        self.graph[index].status == JobStatus::Waiting && self.prerequisites_of(index).next().is_none()
    }

    fn set_status(&mut self, index: NodeIndex, status: JobStatus) {
        self.unknown_jobs.remove(&self.graph[index].job);
        self.graph[index].status = status;
    }

    fn remove(&mut self, index: NodeIndex) {
        if let Some(node) = self.graph.remove_node(index) {
            self.index_by_job.remove(&node.job);
            self.unknown_jobs.remove(&node.job);
            self.changed_urgencies.remove(&node.job);
        }
    }

    /// Removes a job unless it waits, is withdrawn or has dependents.
    fn remove_if_unneeded(&mut self, index: NodeIndex) {
        let Some(node) = self.graph.node_weight(index) else { return };
        if node.is_waiting_or_withdrawn() || self.has_dependents_at(index) {
            return;
        }
        let job = node.job.clone();
        self.remove(index);
        // The job no longer inherits urgency.
        self.changed_urgencies.insert(job);
    }

    /// Withdraws all direct and indirect dependents of a cancelled job and returns them.
    fn withdraw_dependents(&mut self, index: NodeIndex) -> Vec<JobId> {
        let node = &self.graph[index];
        let cause = match &node.status {
            JobStatus::Withdrawn(cause) => cause.clone(),
            _ => node.job.clone(),
        };
        let dependents: Vec<NodeIndex> = self.dependents_of(index).collect();
        dependents.into_iter().flat_map(|dependent| self.withdraw_with_dependents(dependent, &cause)).collect()
    }

    /// Withdraws a job and all its direct and indirect dependents, and returns them without those that were withdrawn
    /// before.
    fn withdraw_with_dependents(&mut self, index: NodeIndex, cause: &JobId) -> Vec<JobId> {
        let mut withdrawn = Vec::new();
        let mut stack = vec![index];
        while let Some(index) = stack.pop() {
            if self.graph[index].is_withdrawn() {
                continue;
            }
            self.set_status(index, JobStatus::Withdrawn(cause.clone()));
            withdrawn.push(self.graph[index].job.clone());
            stack.extend(self.dependents_of(index));
            // The prerequisites no longer inherit urgency from the withdrawn job.
            for prerequisite in self.graph.neighbors_directed(index, Incoming) {
                self.outdated_urgencies.mark(prerequisite);
            }
        }
        withdrawn
    }
}
