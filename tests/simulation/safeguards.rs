//! Safeguards that a test can disable, to show that the checker detects the resulting violations.

/// Safeguard that is disabled in a simulation, if any. Each variant describes the resulting fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledSafeguard {
    /// All safeguards are enabled.
    None,
    /// The state service applies transactions whose conditions do not hold.
    WriteConditions,
    /// Controllers are configured with a worker lease of 1 s instead of 10 s.
    WorkerLeaseDuration,
    /// Controllers are configured with a bound of 120 s instead of 30 s from a cancellation to the end of the tasks.
    CancellationBound,
    /// The controllers' settings contain a CPU quota of zero, which means none, for the limited team.
    CpuQuotas,
    /// The controllers' settings lack the CPU quotas of all teams except the limited one.
    OtherTeamsCpuQuotas,
    /// The controllers' settings lack the GPU quotas of the teams.
    GpuQuotas,
    /// Workers omit attempts whose number is divisible by three from their heartbeats.
    CompleteHeartbeats,
    /// Workers do not kill their tasks when their lease has expired.
    WorkerLeaseExpiry,
    /// Workers ignore stop commands.
    StopCommands,
    /// The steady clocks of controllers stop at times, so that their leases seem not to expire.
    RunningClocks,
    /// Workers report the wrong zone.
    ReportedZones,
    /// The records of leaders contain leadership bounds of zero, so that successors do not wait for former leaders.
    LeadershipBounds,
    /// Jobs are submitted without their prerequisites.
    Prerequisites,
    /// The state service drops the final records of cancelled jobs, so that dependent jobs are not cancelled.
    CancellationRecords,
    /// Deleted entries of the state service can still be read for one second.
    ConsistentReads,
    /// Workers ignore the start commands of jobs whose identifier ends with the digit 3.
    StartCommands,
    /// The worker lease of a hung machine does not expire.
    LeaseExpiryOfHungMachines,
    /// Invalid submissions are replaced by valid ones.
    RequestValidation,
    /// Workers execute second copies of answers to heartbeats that they have already handled.
    LateAnswersDropped,
}
