//! Purposes of calls in flight to the cloud and to workers, by which their outcomes are handled.

use super::leadership_term::LeadershipTerm;
use crate::model::MachineId;
use crate::protocol::cloud::ListedMachine;

/// Purpose of a call to the cloud.
pub(super) enum CloudOperation {
    /// Reads the catalog of machine types.
    Catalog,
    /// Reads the next page of the list of machines. `listed` contains the machines of the earlier pages.
    List { listed: Vec<ListedMachine> },
    /// Rents machines for a shard. `request` is the name of the rental request, its idempotency key.
    Rent { leadership: LeadershipTerm, request: String },
    /// Deletes machines of a shard.
    Delete { leadership: LeadershipTerm, machines: Vec<MachineId> },
    /// Deletes machines that belong to no known shard.
    DeleteUnknown,
}

/// Direct call to a worker that is in flight.
pub(super) struct PendingWorkerCall {
    /// Shard of the machine, and the leadership term in which the call was sent.
    pub leadership: LeadershipTerm,
    /// Machine that was called.
    pub machine: MachineId,
}
