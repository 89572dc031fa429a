//! Description of a machine type in the cloud's catalog.

use super::{Name, Resources};
use crate::time::Span;

/// Machine type in the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: Name,
    /// Total resources of a machine of this type.
    pub capacity: Resources,
    /// Size of the image cache of a machine in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    pub price: f64,
    /// Current price of a spot machine per hour.
    pub spot_price: f64,
    /// Nominal boot time.
    pub boot: Span,
    /// Zones that offer machines of this type.
    pub zones: Vec<Name>,
}
