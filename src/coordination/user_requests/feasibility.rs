//! Feasibility check: rejects jobs that could never run, even on an otherwise empty cluster.

use super::super::controller::Controller;
use crate::model::{JobKind, JobSpec, MachineType, Quantity};

/// The reason why a job can never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Infeasible {
    /// The job's team is not configured.
    UnknownTeam,
    /// No machine type that the job allows and that is offered in the job's zone, if it names one, has room for one of
    /// its tasks.
    NoMachineType,
    /// The tasks that have to run at the same time need more than the team's quota.
    OverQuota,
}

impl Infeasible {
    /// Returns the text of the reason in replies to users.
    pub fn reason(self) -> &'static str {
        match self {
            Infeasible::UnknownTeam => "unknown team",
            Infeasible::NoMachineType => "fits no allowed machine type",
            Infeasible::OverQuota => "needs more than the team's limit",
        }
    }
}

impl Controller {
    /// Returns an error if a job can never run.
    pub(super) fn check_feasibility(&self, spec: &JobSpec) -> Result<(), Infeasible> {
        let Some(quota) = self.settings.teams.get(&spec.team) else { return Err(Infeasible::UnknownTeam) };
        if !self.cloud.catalog().any(|machine_type| fits_type(spec, machine_type)) {
            return Err(Infeasible::NoMachineType);
        }
        // The tasks of a service all run at the same time.
        let count = if spec.kind == JobKind::Service { u64::from(spec.tasks) } else { 1 };
        let exceeds = |need: Quantity, quota: Option<Quantity>| quota.is_some_and(|quota| need.0 * count > quota.0);
        if exceeds(spec.needs.cpus, quota.cpus_max) || exceeds(spec.needs.gpus, quota.gpus_max) {
            return Err(Infeasible::OverQuota);
        }
        Ok(())
    }
}

/// Returns `true` if the job allows the machine type, one of its tasks fits on a machine of that type, and the type is
/// offered in the job's zone if the job names one.
fn fits_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.allows_type(&machine_type.name)
        && spec.needs.fits_in(&machine_type.capacity)
        && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
}
