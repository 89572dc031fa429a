//! Pagination of the lists in peer heartbeats that grow with the fleet.
//!
//! A heartbeat is one frame, and a connection is closed on a frame that is too large: heartbeats would no longer
//! arrive, and their sender would be replaced as a leader. A heartbeat therefore carries at most one page of each list,
//! and consecutive heartbeats carry the pages in turn. Receivers accumulate the rented machines and request idle
//! machines from the page that offers them, so no information is lost.

use super::peers::MachineOffer;
use crate::model::{MachineId, ShardId};

/// Maximum size of a page of rented machines in bytes. Older versions accept frames of up to 1 MiB; a page of rented
/// and a page of idle machines leave space for the rest of the heartbeat in such a frame.
const MAX_RENTED_BYTES: usize = 256 * 1024;
/// Maximum size of a page of idle machines in bytes.
const MAX_SPARE_BYTES: usize = 512 * 1024;

/// Upper bound of the size in bytes of a rented machine's entry in CBOR, not counting the id: headers and numbers.
const RENTED_OVERHEAD_BYTES: usize = 12;
/// Upper bound of the size in bytes of an offered machine's entry in CBOR, not counting id, type and zone: headers and
/// field names.
const OFFER_OVERHEAD_BYTES: usize = 40;

/// Returns the page of rented, not yet registered machines for the heartbeat with the given number.
pub fn rented_page(rented: Vec<(MachineId, ShardId)>, heartbeat: u64) -> Vec<(MachineId, ShardId)> {
    select_page(rented, |(machine, _)| RENTED_OVERHEAD_BYTES + machine.as_str().len(), MAX_RENTED_BYTES, heartbeat)
}

/// Returns the page of idle machines for the heartbeat with the given number.
pub fn spare_page(spare: Vec<MachineOffer>, heartbeat: u64) -> Vec<MachineOffer> {
    let bytes_of = |offer: &MachineOffer| {
        OFFER_OVERHEAD_BYTES + offer.machine.as_str().len() + offer.kind.as_str().len() + offer.zone.as_str().len()
    };
    select_page(spare, bytes_of, MAX_SPARE_BYTES, heartbeat)
}

/// Divides the entries into pages of at most `max_bytes` and returns the page with the number `heartbeat` modulo the
/// number of pages.
fn select_page<T>(entries: Vec<T>, bytes_of: impl Fn(&T) -> usize, max_bytes: usize, heartbeat: u64) -> Vec<T> {
    let mut pages: Vec<Vec<T>> = Vec::new();
    let mut used_bytes = 0;
    for entry in entries {
        let bytes = bytes_of(&entry);
        if let Some(page) = pages.last_mut().filter(|_| used_bytes + bytes <= max_bytes) {
            used_bytes += bytes;
            page.push(entry);
        } else {
            used_bytes = bytes;
            pages.push(vec![entry]);
        }
    }
    let page_count = pages.len().max(1) as u64;
    pages.into_iter().nth((heartbeat % page_count) as usize).unwrap_or_default()
}
