//! How the instances hear of one another.

pub(crate) mod heartbeat_routes;
pub(crate) mod peer_contacts;
