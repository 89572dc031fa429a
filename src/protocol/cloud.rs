//! Interface to the cloud: its catalog, and the rental, listing and deletion of machines.

use super::{CallError, Outgoing, from_json};
use crate::model::{MachineId, MachineType, Name, Quantity, Resources};
use crate::time::Span;
use serde::{Deserialize, Serialize};

/// Number of machines requested in one page of the list.
const PAGE_SIZE: usize = 500;

/// Maximum number of machines in one deletion request.
pub const MAX_MACHINES_PER_DELETION: usize = 100;

/// Maximum number of machines in one rental request.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Lower bound of the image fetch rate of a machine type in GB per second. Lower rates in the catalog are raised to it,
/// as fetch times are computed by division.
const MIN_FETCH_GB_PER_S: f64 = 0.001;

/// Text in the 503 answer to a rental request for which the cloud has no machine. Other 503 answers mean an outage.
const NO_CAPACITY: &str = "no capacity";

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Reads the machine types and their prices.
    Catalog,
    /// Rents machines.
    Rent {
        /// Idempotency key: a name that is used for this request and its retries only.
        request: String,
        /// Name of the machine type.
        kind: Name,
        /// Zone of the machines.
        zone: Name,
        /// `true` to rent spot machines.
        spot: bool,
        /// Number of machines to rent, at most [`MAX_MACHINES_PER_RENTAL`].
        count: u32,
    },
    /// Deletes machines, at most [`MAX_MACHINES_PER_DELETION`].
    Delete(Vec<MachineId>),
    /// Reads a page of the list of rented machines.
    List {
        /// Id of the machine after which the page starts; `None` for the first page.
        after: Option<MachineId>,
    },
}

/// An answer of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudAnswer {
    /// Machine types that the cloud offers.
    Catalog(Vec<MachineType>),
    /// Ids of the rented machines, possibly fewer than requested.
    Rented(Vec<MachineId>),
    /// No machine is available of this type, in this zone, as a spot or ordinary machine as requested.
    NoCapacity,
    /// The machines were deleted.
    Deleted,
    /// A page of the list of machines.
    Machines {
        /// Machines in ascending order of their ids.
        listed: Vec<ListedMachine>,
        /// `true` if there are further pages.
        more: bool,
    },
}

/// A machine in the cloud's list. The list may lag some seconds behind rentals and deletions.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Id of the machine.
    pub id: MachineId,
    /// Name of the machine type.
    pub kind: Name,
    /// Zone of the machine.
    pub zone: Name,
    /// `true` for a spot machine.
    pub spot: bool,
    /// State of the machine.
    pub state: MachineState,
    /// Time since the rental; zero if the cloud does not report it.
    pub age: Span,
}

/// `mood`: state of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// `starting`: the machine is booting, and may never come up.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up.
    Running,
    /// The machine has stopped without having been deleted.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// Body of the answer to `GET /catalog`.
#[derive(Deserialize)]
struct WireCatalog {
    /// `breeds`: machine types.
    #[serde(rename = "breeds")]
    machine_types: Vec<WireMachineType>,
}

/// A machine type in the catalog.
#[derive(Deserialize)]
struct WireMachineType {
    /// Name of the machine type.
    label: String,
    /// CPUs of a machine.
    cores: f64,
    /// GPUs of a machine.
    #[serde(default)]
    gpus: f64,
    /// Memory of a machine in GB.
    ram_gb: f64,
    /// Size of the image cache in GB.
    cache_gb: f64,
    /// `pull_gb_per_s`: rate of image fetches in GB per second.
    #[serde(rename = "pull_gb_per_s")]
    fetch_gb_per_s: f64,
    /// `hourly`: price per hour of an ordinary machine.
    #[serde(rename = "hourly")]
    price: f64,
    /// Price per hour of a spot machine; `None` if it equals the price of an ordinary one.
    spot_price: Option<f64>,
    /// `startup_s`: nominal boot time in seconds.
    #[serde(rename = "startup_s")]
    boot_s: f64,
    /// `roosts`: zones in which the type is offered.
    #[serde(rename = "roosts")]
    zones: Vec<String>,
}

/// Body of `POST /rentals`. The order of the fields is the one in which all versions serialize them.
#[derive(Serialize)]
struct WireRent<'a> {
    /// `bid`: idempotency key of the request.
    #[serde(rename = "bid")]
    request: &'a str,
    /// `breed`: name of the machine type.
    #[serde(rename = "breed")]
    machine_type: &'a Name,
    /// `number`: number of machines.
    #[serde(rename = "number")]
    count: u32,
    /// `roost`: zone.
    #[serde(rename = "roost")]
    zone: &'a Name,
    /// `scavenged`: `true` for spot machines.
    #[serde(rename = "scavenged")]
    spot: bool,
}

/// Body of the answer to `POST /rentals`.
#[derive(Deserialize)]
struct WireRented {
    /// `perches`: ids of the machines.
    #[serde(rename = "perches")]
    machines: Vec<String>,
}

/// Body of `POST /rentals/delete`.
#[derive(Serialize)]
struct WireDelete<'a> {
    /// `perches`: ids of the machines.
    #[serde(rename = "perches")]
    machines: &'a [MachineId],
}

/// Body of the answer to `GET /rentals`.
#[derive(Deserialize)]
struct WireList {
    /// `perches`: machines.
    #[serde(rename = "perches")]
    machines: Vec<WireListedMachine>,
    /// `true` if there are further pages.
    #[serde(default)]
    truncated: bool,
}

/// A machine in the answer to `GET /rentals`.
#[derive(Deserialize)]
struct WireListedMachine {
    /// Id of the machine.
    id: String,
    /// `breed`: name of the machine type.
    #[serde(rename = "breed")]
    machine_type: String,
    /// `roost`: zone.
    #[serde(rename = "roost")]
    zone: String,
    /// `scavenged`: `true` for a spot machine.
    #[serde(rename = "scavenged", default)]
    spot: bool,
    /// `mood`: state.
    #[serde(rename = "mood")]
    state: MachineState,
    /// `held_s`: time in seconds since the rental request.
    #[serde(rename = "held_s", default)]
    age_s: Option<f64>,
}

impl CloudCall {
    /// Returns the HTTP request for this call.
    pub fn request(&self) -> Outgoing {
        match self {
            CloudCall::Catalog => Outgoing::get("/catalog".into()),
            CloudCall::Rent { request, kind, zone, spot, count } => {
                let body = WireRent { request, machine_type: kind, count: *count, zone, spot: *spot };
                Outgoing::post("/rentals", &body)
            }
            CloudCall::Delete(machines) => Outgoing::post("/rentals/delete", &WireDelete { machines }),
            CloudCall::List { after: Some(after) } => Outgoing::get(format!("/rentals?after={after}&page={PAGE_SIZE}")),
            CloudCall::List { after: None } => Outgoing::get(format!("/rentals?page={PAGE_SIZE}")),
        }
    }

    /// Interprets the response to this call.
    pub fn answer(&self, status: u16, body: &[u8]) -> Result<CloudAnswer, CallError> {
        match status {
            200 => self.parse_success(status, body),
            429 => Err(CallError::Refused { over_limit: true }),
            503 if self.has_no_capacity(body) => Ok(CloudAnswer::NoCapacity),
            503 => Err(CallError::Refused { over_limit: false }),
            _ => Err(CallError::Unexpected(status)),
        }
    }

    /// Returns `true` if the body of a 503 answer says that the cloud has no machine for a rental.
    fn has_no_capacity(&self, body: &[u8]) -> bool {
        matches!(self, CloudCall::Rent { .. }) && String::from_utf8_lossy(body).contains(NO_CAPACITY)
    }

    /// Parses the body of an answer with status 200.
    fn parse_success(&self, status: u16, body: &[u8]) -> Result<CloudAnswer, CallError> {
        match self {
            CloudCall::Catalog => Ok(from_json::<WireCatalog>(status, body)?.into()),
            CloudCall::Rent { .. } => Ok(from_json::<WireRented>(status, body)?.into()),
            CloudCall::Delete(_) => Ok(CloudAnswer::Deleted),
            CloudCall::List { .. } => Ok(from_json::<WireList>(status, body)?.into()),
        }
    }
}

impl From<WireCatalog> for CloudAnswer {
    fn from(wire: WireCatalog) -> CloudAnswer {
        CloudAnswer::Catalog(wire.machine_types.iter().map(MachineType::from).collect())
    }
}

impl From<WireRented> for CloudAnswer {
    fn from(wire: WireRented) -> CloudAnswer {
        CloudAnswer::Rented(wire.machines.iter().map(|id| MachineId::new(id)).collect())
    }
}

impl From<WireList> for CloudAnswer {
    fn from(wire: WireList) -> CloudAnswer {
        let listed = wire.machines.iter().map(ListedMachine::from).collect();
        CloudAnswer::Machines { listed, more: wire.truncated }
    }
}

impl From<&WireListedMachine> for ListedMachine {
    fn from(wire: &WireListedMachine) -> ListedMachine {
        ListedMachine {
            id: MachineId::new(&wire.id),
            kind: Name::new(&wire.machine_type),
            zone: Name::new(&wire.zone),
            spot: wire.spot,
            state: wire.state,
            age: Span::secs(wire.age_s.unwrap_or(0.0)),
        }
    }
}

impl From<&WireMachineType> for MachineType {
    fn from(wire: &WireMachineType) -> MachineType {
        MachineType {
            name: Name::new(&wire.label),
            capacity: Resources {
                cpus: Quantity::new(wire.cores),
                gpus: Quantity::new(wire.gpus),
                memory: Quantity::new(wire.ram_gb),
            },
            cache_gb: wire.cache_gb,
            fetch_gb_per_s: wire.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            price: wire.price,
            spot_price: wire.spot_price.unwrap_or(wire.price),
            boot: Span::secs(wire.boot_s),
            zones: wire.zones.iter().map(|zone| Name::new(zone)).collect(),
        }
    }
}
