//! Sends and receives the datagrams between entry instances.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootkeel_protocol::FleetHeartbeat;
use prost::Message;
use tokio::net::UdpSocket;

use crate::control_event::ControlEvent;
use crate::shared_state::SharedState;

/// The longest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives messages for as long as the process runs.
pub async fn receive_heartbeats(shared: Arc<SharedState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A datagram to an instance that is gone comes back as an error of the socket.
                log::debug!("peers: Receiving failed: {error}.");
                continue;
            }
        };
        match FleetHeartbeat::decode(&buffer[..length]) {
            Ok(message) => shared.send_event(ControlEvent::Heartbeat {
                message: Box::new(message),
                from,
            }),
            Err(error) => log::warn!("peers: {from} sent a malformed message: {error}."),
        }
    }
}

/// Sends a message, or drops it if the socket is full: the next one tells the same.
pub fn send_heartbeat(socket: &UdpSocket, message: &FleetHeartbeat, to: SocketAddr) {
    if let Err(error) = socket.try_send_to(&message.encode_to_vec(), to) {
        log::debug!("peers: Sending to {to} failed: {error}.");
    }
}
