//! The reasons for which this node stops leading a shard.

use super::operation::ReleaseReason;
use std::fmt;

/// Reason for which this node stops leading a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::coordination) enum StepDownReason {
    /// Another controller has acquired leadership.
    TermReplaced,
    /// The node lease to which the shard's leadership record is attached has expired.
    NodeLeaseExpired,
    /// Leadership was handed over to a peer.
    HandedOver,
    /// Leadership was released because this node is isolated.
    Isolated,
}

impl From<&ReleaseReason> for StepDownReason {
    fn from(reason: &ReleaseReason) -> StepDownReason {
        match reason {
            ReleaseReason::HandOver { .. } => StepDownReason::HandedOver,
            ReleaseReason::Isolated => StepDownReason::Isolated,
        }
    }
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::TermReplaced => "another controller has acquired leadership",
            StepDownReason::NodeLeaseExpired => "the node lease has expired",
            StepDownReason::HandedOver => "leadership was handed over to a peer",
            StepDownReason::Isolated => "this controller is isolated from its peers and workers",
        })
    }
}
