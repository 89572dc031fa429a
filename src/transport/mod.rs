//! Network input and output on a `calloop` event loop: the HTTP server for users and workers, HTTP clients with pooled
//! connections to the services, and framed connections between controllers. Independent of scheduling.

pub mod http;
mod reactor;
mod request_kind;

pub use reactor::{CallId, MAX_FRAME, NetEvent, RequestId, Transport, TransportStatistics};
pub use request_kind::RequestKind;
