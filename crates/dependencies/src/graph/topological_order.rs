//! Order of the jobs of a graph in which every prerequisite precedes its dependents.
//!
//! New jobs get positions at the ends of the order, so that it usually stays valid: a job is added after its
//! prerequisites, and a prerequisite that is not known yet precedes everything. If an added dependency contradicts the
//! order, all jobs are sorted again before the order is next used.

use super::DependencyGraph;
use petgraph::stable_graph::NodeIndex;
use petgraph::visit::DfsPostOrder;

/// Position of a job; prerequisites have smaller positions than their dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position(i64);

/// The occupied range of positions.
#[derive(Debug, Default)]
pub(super) struct TopologicalOrder {
    /// Number smaller than or equal to all positions.
    first: i64,
    /// Number greater than all positions.
    end: i64,
    /// `true` if some dependency contradicts the positions.
    is_outdated: bool,
}

impl TopologicalOrder {
    /// Returns a position before all others.
    pub(super) fn take_first(&mut self) -> Position {
        self.first -= 1;
        Position(self.first)
    }

    /// Returns a position after all others.
    pub(super) fn take_last(&mut self) -> Position {
        let last = self.end;
        self.end += 1;
        Position(last)
    }

    /// Records a dependency between jobs with the given positions.
    pub(super) fn add_dependency(&mut self, prerequisite: Position, dependent: Position) {
        self.is_outdated |= prerequisite >= dependent;
    }
}

impl DependencyGraph {
    /// Sorts all jobs if a dependency was added that contradicts their order. Returns the number of jobs and
    /// dependencies that were visited.
    pub(super) fn sort_if_outdated(&mut self) -> usize {
        if !self.order.is_outdated {
            return 0;
        }
        self.order = TopologicalOrder::default();
        let jobs: Vec<NodeIndex> = self.graph.node_indices().collect();
        // The traversal finishes all dependents of a job before the job itself, so each finished job precedes those
        // that were finished before it.
        let mut traversal = DfsPostOrder::empty(&self.graph);
        for job in jobs {
            traversal.move_to(job);
            while let Some(finished) = traversal.next(&self.graph) {
                self.graph[finished].position = self.order.take_first();
            }
        }
        self.graph.node_count() + self.graph.edge_count()
    }
}
