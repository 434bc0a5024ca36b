//! Listeners and connections that the programs share: HTTP for callers, connections to upstreams that tell whether a
//! request was sent, and calls to the platform that tell whether a write may have taken effect.

mod call_error;
mod connection_set;
mod hop_headers;
mod http_listener;
mod in_flight;
mod prefixed_body;
mod process_clock;
mod upstream_link;

pub use call_error::{AnswerFailure, CallError, UnsentReason};
pub use connection_set::{CallAnswer, ConnectionPool};
pub use hop_headers::remove_hop_by_hop_headers;
pub use http_listener::{HttpService, ListenerLimits, ListenerStop, RouterService, serve};
pub use in_flight::InFlightGuard;
pub use prefixed_body::PrefixedBody;
pub use process_clock::ProcessClock;
pub use upstream_link::{
    ReusePolicy, SendFailure, UpstreamBody, UpstreamClient, UpstreamConnection,
};
