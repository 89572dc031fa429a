//! Parsing and validation of submitted jobs.

use super::parse_job_id;
use crate::model::{JobId, JobKind, JobSpec, Name, Priority, Quantity, Resources};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// Maximum of all amounts: resources of a task, sizes in GB and times in seconds.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum length in bytes of a class, a team, an image, a machine type or a zone.
const MAX_NAME_BYTES: usize = 200;
/// Maximum number of machine types and zones, taken together, to which a job may be restricted.
const MAX_ALLOWED_PLACES: usize = 64;

/// Error for an invalid submission.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{reason}")]
pub struct InvalidJob {
    /// Id of the job; `None` if it is missing or malformed. A submission with the id of an accepted job is a retry and
    /// must be answered with the job's state, even if the rest is invalid.
    pub id: Option<JobId>,
    /// Reason for which the submission is invalid.
    pub reason: InvalidReason,
}

/// Reason for which a submission is invalid. The text is sent to the user and contains the protocol's field names.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidReason {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The body is not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// The id is missing or malformed.
    #[error("id: missing or not of the form")]
    Id,
    /// A field is missing or has the wrong type.
    #[error("{0}")]
    Field(String),
    /// The named field is negative, too large or not finite.
    #[error("{0}: not an amount")]
    Amount(&'static str),
    /// A task requests no CPUs.
    #[error("cores: a task needs some")]
    NoCpus,
    /// The number of tasks is not between 1 and 100,000.
    #[error("clutch: not from 1 to {MAX_TASKS}")]
    TaskCount,
    /// The class, team or image is empty or too long.
    #[error("a name is empty or longer than {MAX_NAME_BYTES} bytes")]
    Name,
    /// A name among the allowed machine types and the zone is empty or too long, or there are too many names.
    #[error("breeds, roost: a name is empty or too long, or there are too many")]
    AllowedPlaces,
    /// A prerequisite is not a valid job id.
    #[error("awaits: not a job's id")]
    Prerequisite,
}

/// Body of `POST /v1/jobs` without the id. If several fields are missing, the error names the one declared first.
#[derive(Deserialize)]
struct WireSubmission {
    /// `brood`: class.
    #[serde(rename = "brood")]
    class: String,
    /// `flock`: team.
    #[serde(rename = "flock")]
    team: String,
    /// `gait`: kind of the job.
    #[serde(rename = "gait")]
    kind: WireKind,
    /// `pecking`: priority.
    #[serde(rename = "pecking")]
    priority: WirePriority,
    /// `clutch`: number of tasks.
    #[serde(rename = "clutch")]
    tasks: u32,
    /// CPUs of each task.
    cores: f64,
    /// GPUs of each task.
    gpus: f64,
    /// Memory of each task in GB.
    ram_gb: f64,
    /// `breeds`: names of the allowed machine types; `None` allows all.
    #[serde(rename = "breeds")]
    machine_types: Option<Vec<String>>,
    /// `roost`: only allowed zone; `None` allows all.
    #[serde(rename = "roost")]
    zone: Option<String>,
    /// `together`: `true` if all tasks have to run in one zone.
    #[serde(rename = "together")]
    one_zone: bool,
    /// `true` if at most half of the tasks may run in one zone.
    spread: bool,
    /// `scavenged`: `true` if spot machines are allowed.
    #[serde(rename = "scavenged")]
    spot: bool,
    /// `plumage`: name of the image.
    #[serde(rename = "plumage")]
    image: String,
    /// Size of the image in GB.
    image_gb: f64,
    /// `flight_s`: estimated run time of a task in seconds.
    #[serde(rename = "flight_s")]
    estimate_s: f64,
    /// `cache_s`: checkpoint interval in seconds.
    #[serde(rename = "cache_s")]
    checkpoint_s: f64,
    /// `stash_s`: time in seconds that a stopped task needs to save its progress.
    #[serde(rename = "stash_s")]
    save_s: f64,
    /// `dusk_s`: deadline in seconds after the submission.
    #[serde(rename = "dusk_s")]
    deadline_s: Option<f64>,
    /// `awaits`: ids of the prerequisites.
    #[serde(rename = "awaits")]
    prerequisites: Option<Vec<String>>,
}

/// `gait`: kind of a job.
#[derive(Deserialize)]
enum WireKind {
    /// `sweep`: independent tasks.
    #[serde(rename = "sweep")]
    Array,
    /// `daemon`: replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// `pecking`: priority of a job.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WirePriority {
    Production,
    High,
    Normal,
    BestEffort,
}

/// Parses and validates the body of a submission.
pub(super) fn parse(body: &[u8]) -> Result<JobSpec, InvalidJob> {
    let (id, value) = parse_body_and_id(body).map_err(|reason| InvalidJob { id: None, reason })?;
    parse_description(&id, &value).map_err(|reason| InvalidJob { id: Some(id), reason })
}

/// Parses the JSON body and the id of the job.
fn parse_body_and_id(body: &[u8]) -> Result<(JobId, Value), InvalidReason> {
    let value: Value = serde_json::from_slice(body).map_err(|error| InvalidReason::NotJson(error.to_string()))?;
    let object = value.as_object().ok_or(InvalidReason::NotAnObject)?;
    let id = object.get("id").and_then(Value::as_str).and_then(parse_job_id).ok_or(InvalidReason::Id)?;
    Ok((id, value))
}

/// Parses and validates all fields except the id.
fn parse_description(id: &JobId, value: &Value) -> Result<JobSpec, InvalidReason> {
    let submission = WireSubmission::deserialize(value).map_err(|error| InvalidReason::Field(error.to_string()))?;
    submission.check()?;
    let prerequisites = submission.prerequisites()?;
    Ok(submission.into_spec(id.clone(), prerequisites))
}

impl WireSubmission {
    /// Validates all fields except the prerequisites.
    fn check(&self) -> Result<(), InvalidReason> {
        self.check_amounts()?;
        if self.cores <= 0.0 {
            return Err(InvalidReason::NoCpus);
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(InvalidReason::TaskCount);
        }
        self.check_names()
    }

    fn check_amounts(&self) -> Result<(), InvalidReason> {
        let amounts = [
            ("cores", Some(self.cores)),
            ("gpus", Some(self.gpus)),
            ("ram_gb", Some(self.ram_gb)),
            ("image_gb", Some(self.image_gb)),
            ("flight_s", Some(self.estimate_s)),
            ("cache_s", Some(self.checkpoint_s)),
            ("stash_s", Some(self.save_s)),
            ("dusk_s", self.deadline_s),
        ];
        let is_amount = |amount: f64| (0.0..=MAX_AMOUNT).contains(&amount);
        match amounts.iter().find(|(_, amount)| amount.is_some_and(|amount| !is_amount(amount))) {
            Some((field, _)) => Err(InvalidReason::Amount(field)),
            None => Ok(()),
        }
    }

    fn check_names(&self) -> Result<(), InvalidReason> {
        let is_name = |text: &&String| (1..=MAX_NAME_BYTES).contains(&text.len());
        if ![&self.class, &self.team, &self.image].iter().all(is_name) {
            return Err(InvalidReason::Name);
        }
        let places: Vec<&String> = self.machine_types.iter().flatten().chain(&self.zone).collect();
        if !places.iter().all(is_name) || places.len() > MAX_ALLOWED_PLACES {
            return Err(InvalidReason::AllowedPlaces);
        }
        Ok(())
    }

    /// Returns the prerequisites without duplicates, in ascending order.
    fn prerequisites(&self) -> Result<Vec<JobId>, InvalidReason> {
        let texts = self.prerequisites.iter().flatten();
        let ids = texts.map(|text| parse_job_id(text).ok_or(InvalidReason::Prerequisite));
        Ok(ids.collect::<Result<BTreeSet<JobId>, InvalidReason>>()?.into_iter().collect())
    }

    fn into_spec(self, id: JobId, prerequisites: Vec<JobId>) -> JobSpec {
        JobSpec {
            id,
            class: Name::new(&self.class),
            team: Name::new(&self.team),
            kind: self.kind.into(),
            priority: self.priority.into(),
            tasks: self.tasks,
            needs: Resources {
                cpus: Quantity::new(self.cores),
                gpus: Quantity::new(self.gpus),
                memory: Quantity::new(self.ram_gb),
            },
            image: Name::new(&self.image),
            image_gb: self.image_gb,
            types: self.machine_types.map(|types| types.iter().map(|name| Name::new(name)).collect()),
            zone: self.zone.map(|zone| Name::new(&zone)),
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            estimate_s: self.estimate_s,
            checkpoint_s: self.checkpoint_s,
            save_s: self.save_s,
            deadline_s: self.deadline_s,
            prerequisites,
        }
    }
}

impl From<WireKind> for JobKind {
    fn from(kind: WireKind) -> JobKind {
        match kind {
            WireKind::Array => JobKind::Array,
            WireKind::Service => JobKind::Service,
        }
    }
}

impl From<WirePriority> for Priority {
    fn from(priority: WirePriority) -> Priority {
        match priority {
            WirePriority::Production => Priority::Production,
            WirePriority::High => Priority::High,
            WirePriority::Normal => Priority::Normal,
            WirePriority::BestEffort => Priority::BestEffort,
        }
    }
}
