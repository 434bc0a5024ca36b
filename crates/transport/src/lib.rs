//! Listeners and client connections shared by the programs: HTTP listeners for callers, connections to upstreams that
//! report whether a request was sent, and calls to the platform that report whether a write may have taken effect.

mod call_error;
mod caller_connection;
mod connection_pool;
mod frame_joining;
mod frame_turns;
mod head_limit;
mod hop_headers;
mod http_listener;
mod in_flight;
mod kept_bytes;
mod prefixed_body;
mod process_clock;
mod read_ahead;
mod request_head;
mod shared_stream;
mod upstream_client;

pub use call_error::{AnswerFailure, CallError, UnsentReason};
pub use connection_pool::{CallAnswer, ConnectionPool};
pub use hop_headers::remove_hop_by_hop_headers;
pub use http_listener::{
    EarlyEvent, HttpService, ListenerLimits, ListenerStop, RouterService, serve,
};
pub use in_flight::InFlightGuard;
pub use kept_bytes::BodyStart;
pub use prefixed_body::PrefixedBody;
pub use process_clock::ProcessClock;
pub use read_ahead::ReadAheadLimits;
pub use upstream_client::{
    ReusePolicy, SendFailure, UpstreamBody, UpstreamClient, UpstreamConnection,
};
