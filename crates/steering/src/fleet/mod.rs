//! How the instances hear of one another.

pub(crate) mod domain_silence;
pub(crate) mod heartbeat_routes;
pub(crate) mod peer_contacts;
