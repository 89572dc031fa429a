//! Inheritance of urgency: a job is at least as urgent as the jobs that depend on it.

use super::DependencyGraph;
use crate::urgency::Urgency;
use petgraph::stable_graph::NodeIndex;

/// A job to be visited by the propagation of a change of urgency.
struct Visit {
    index: NodeIndex,
    /// Number of edges from the job at which the change began.
    depth: usize,
}

impl DependencyGraph {
    /// Raises the inherited urgency of a job to at least `urgency`, and propagates the increase to its prerequisites.
    pub(super) fn raise_urgency(&mut self, index: NodeIndex, urgency: Urgency) {
        // The depth is bounded, since the loop would not terminate for records with a cycle of prerequisites.
        let max_depth = self.graph.node_count();
        let mut stack = vec![(Visit { index, depth: 0 }, urgency)];
        while let Some((Visit { index, depth }, urgency)) = stack.pop() {
            let node = &self.graph[index];
            let expected_run_ms = node.own_urgency.expected_run_ms;
            let raised = Urgency { expected_run_ms, ..node.inherited_urgency.combine(&urgency) };
            let is_unchanged = raised == node.inherited_urgency && depth > 0;
            if node.is_withdrawn() || is_unchanged || depth > max_depth {
                continue;
            }
            self.set_inherited_urgency(index, raised);
            let inherited = raised.for_prerequisites(expected_run_ms);
            stack.extend(self.prerequisites_of(index).map(|index| (Visit { index, depth: depth + 1 }, inherited)));
        }
    }

    /// Recomputes the inherited urgency of jobs that have lost dependents, and propagates changes to their
    /// prerequisites.
    pub(super) fn recompute_urgency(&mut self, jobs: Vec<NodeIndex>) {
        let max_depth = self.graph.node_count();
        let mut stack: Vec<Visit> = jobs.into_iter().map(|index| Visit { index, depth: 0 }).collect();
        while let Some(Visit { index, depth }) = stack.pop() {
            let Some(node) = self.graph.node_weight(index) else { continue };
            let computed = self.urgency_from_dependents(index);
            if computed != node.inherited_urgency && depth <= max_depth {
                self.set_inherited_urgency(index, computed);
                stack.extend(self.prerequisites_of(index).map(|index| Visit { index, depth: depth + 1 }));
            }
        }
    }

    /// Returns a job's own urgency combined with the urgency inherited from all dependents that are not withdrawn.
    fn urgency_from_dependents(&self, index: NodeIndex) -> Urgency {
        let dependents = self.dependents_of(index).map(|dependent| &self.graph[dependent]);
        let inherited = dependents
            .filter(|dependent| !dependent.is_withdrawn())
            .map(|dependent| dependent.inherited_urgency.for_prerequisites(dependent.own_urgency.expected_run_ms));
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
