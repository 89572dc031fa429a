//! Inheritance of urgency: a job is at least as urgent as the jobs that depend on it.
//!
//! Changes to the graph only mark jobs as outdated. An update recomputes each affected job once, after all jobs that
//! depend on it, so its cost is linear in the size of the graph and does not depend on the number of paths through it.

use super::DependencyGraph;
use super::topological_order::Position;
use crate::urgency::Urgency;
use petgraph::stable_graph::NodeIndex;
use std::collections::{BinaryHeap, HashSet};

/// Number of times that an update may visit each job: once to sort the jobs, and once to recompute its urgency.
const MAX_VISITS_PER_JOB: usize = 2;
/// Number of times that an update may visit each dependency: once to sort the jobs, and once from either end.
const MAX_VISITS_PER_DEPENDENCY: usize = 3;

/// Result of an update of the inherited urgencies.
#[derive(Clone, Copy, Debug)]
pub struct UrgencyUpdate {
    /// Number of jobs and dependencies that were visited.
    pub visits: usize,
    /// `false` if the update was ended early because its visits exceeded the limit that the size of the graph sets.
    pub is_within_limit: bool,
}

/// Jobs whose inherited urgency may have to be recomputed.
#[derive(Debug, Default)]
pub(super) struct OutdatedUrgencies {
    /// All these jobs.
    jobs: HashSet<NodeIndex>,
    /// Jobs whose prerequisites have not inherited their present urgency yet.
    not_inherited: HashSet<NodeIndex>,
}

impl OutdatedUrgencies {
    /// Marks a job that has lost dependents.
    pub(super) fn mark(&mut self, job: NodeIndex) {
        self.jobs.insert(job);
    }

    /// Marks a job whose prerequisites have not inherited its present urgency yet.
    fn mark_not_inherited(&mut self, job: NodeIndex) {
        self.jobs.insert(job);
        self.not_inherited.insert(job);
    }
}

/// Jobs to be recomputed by an update, each of them once.
struct UpdateQueue {
    /// Jobs by position. Dependents have greater positions than their prerequisites, so they are taken first.
    queue: BinaryHeap<(Position, NodeIndex)>,
    queued: HashSet<NodeIndex>,
}

impl UpdateQueue {
    fn new() -> UpdateQueue {
        UpdateQueue { queue: BinaryHeap::new(), queued: HashSet::new() }
    }

    /// Adds a job unless it was added before.
    fn add(&mut self, position: Position, job: NodeIndex) {
        if self.queued.insert(job) {
            self.queue.push((position, job));
        }
    }

    /// Removes and returns the job with the greatest position.
    fn take(&mut self) -> Option<NodeIndex> {
        self.queue.pop().map(|(_, job)| job)
    }
}

impl DependencyGraph {
    /// Sets the urgency of a job itself. The job is at least as urgent at once, its prerequisites after the next update.
    pub(super) fn set_own_urgency(&mut self, index: NodeIndex, urgency: Urgency) {
        let node = &mut self.graph[index];
        node.own_urgency = urgency;
        if !node.is_withdrawn() {
            let raised = urgency.combine(&node.inherited_urgency);
            self.set_inherited_urgency(index, raised);
            self.outdated_urgencies.mark_not_inherited(index);
        }
    }

    /// Recomputes the inherited urgency of the jobs that are affected by changes since the previous update.
    pub fn update_urgencies(&mut self) -> UrgencyUpdate {
        let outdated = std::mem::take(&mut self.outdated_urgencies);
        if outdated.jobs.is_empty() {
            return UrgencyUpdate { visits: 0, is_within_limit: true };
        }
        self.recompute_urgencies(&outdated)
    }

    fn recompute_urgencies(&mut self, outdated: &OutdatedUrgencies) -> UrgencyUpdate {
        let max_visits = self.max_visits();
        let mut visits = self.sort_if_outdated();
        let mut queue = UpdateQueue::new();
        for job in &outdated.jobs {
            // Jobs may have been removed since they were marked.
            if let Some(node) = self.graph.node_weight(*job) {
                queue.add(node.position, *job);
            }
        }
        while let Some(job) = queue.take() {
            visits += 1 + self.dependents_of(job).count();
            if visits > max_visits {
                return UrgencyUpdate { visits, is_within_limit: false };
            }
            if self.graph[job].is_withdrawn() {
                continue;
            }
            let previous = self.graph[job].inherited_urgency;
            let computed = self.urgency_from_dependents(job);
            if computed != previous || outdated.not_inherited.contains(&job) {
                self.set_inherited_urgency(job, computed);
                visits += self.queue_affected_prerequisites(job, &previous, &mut queue);
            }
        }
        UrgencyUpdate { visits, is_within_limit: true }
    }

    /// Returns the limit of visits of an update.
    fn max_visits(&self) -> usize {
        MAX_VISITS_PER_JOB * self.graph.node_count() + MAX_VISITS_PER_DEPENDENCY * self.graph.edge_count()
    }

    /// Adds the prerequisites of a job whose inherited urgency may be affected by that of the job, which was `previous`
    /// before. Returns the number of prerequisites.
    fn queue_affected_prerequisites(&self, job: NodeIndex, previous: &Urgency, queue: &mut UpdateQueue) -> usize {
        let node = &self.graph[job];
        let mut count = 0;
        for prerequisite in self.prerequisites_of(job) {
            count += 1;
            let target = &self.graph[prerequisite];
            // Only records that depend on one another in a cycle can contradict the order.
            let is_in_order = target.position < node.position;
            if is_in_order && target.inherited_urgency.is_affected_by(previous, &node.inherited_urgency) {
                queue.add(target.position, prerequisite);
            }
        }
        count
    }

    /// Returns a job's own urgency combined with the urgency inherited from all dependents that are not withdrawn.
    fn urgency_from_dependents(&self, index: NodeIndex) -> Urgency {
        let dependents = self.dependents_of(index).map(|dependent| &self.graph[dependent]);
        let inherited = dependents
            .filter(|dependent| !dependent.is_withdrawn())
            .map(|dependent| dependent.inherited_urgency.for_prerequisites());
        inherited.fold(self.graph[index].own_urgency, |urgency, inherited| urgency.combine(&inherited))
    }

    fn set_inherited_urgency(&mut self, index: NodeIndex, inherited_urgency: Urgency) {
        let node = &mut self.graph[index];
        if node.inherited_urgency != inherited_urgency {
            node.inherited_urgency = inherited_urgency;
            self.changed_urgencies.insert(node.job.clone());
        }
    }
}
