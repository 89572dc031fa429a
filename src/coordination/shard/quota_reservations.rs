//! Reservations of team quota for starved jobs.

use super::job::Job;
use crate::model::{JobId, Name, Resources};
use std::collections::HashMap;

/// Reservations of team quota for starved jobs. At most one job of each team has a reservation, for the needs of its
/// next task, so that tasks of the team's other jobs can't use up the quota before it.
#[derive(Default)]
pub(in crate::coordination) struct QuotaReservations {
    by_team: HashMap<Name, QuotaReservation>,
}

/// Reservation of a team's quota for one job.
struct QuotaReservation {
    /// Starved job that the quota is reserved for.
    job: JobId,
    /// Resources that the next task of the job needs.
    needs: Resources,
}

impl QuotaReservations {
    /// Reserves the needs of a job's next task, unless a job of the same team has a reservation already.
    pub fn reserve(&mut self, job: &Job) {
        let reservation = || QuotaReservation { job: job.spec.id.clone(), needs: job.spec.needs };
        self.by_team.entry(job.spec.team.clone()).or_insert_with(reservation);
    }

    /// Releases the reservation of a job, if there is one.
    pub fn release(&mut self, job: &JobId) {
        self.by_team.retain(|_, reservation| reservation.job != *job);
    }

    /// Returns `used`, the usage of a job's team, plus the reservation of another job of the team, if there is one.
    pub fn added_to(&self, used: Resources, job: &Job) -> Resources {
        match self.by_team.get(&job.spec.team) {
            Some(reservation) if reservation.job != job.spec.id => used.plus(&reservation.needs),
            _ => used,
        }
    }
}
