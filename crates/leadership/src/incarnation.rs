//! The identity of one run of a controller process.

use crowstall_model::model::NodeLabel;

/// One run of a controller process, which ends when the process exits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIncarnation {
    /// Label of the controller, which stays the same across restarts.
    pub node: NodeLabel,
    /// Number that differs between the runs of controllers with the same label; 0 if unknown.
    pub incarnation: u64,
}
