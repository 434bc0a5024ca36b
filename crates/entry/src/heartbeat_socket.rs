//! Sends and receives heartbeats of entry instances as datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootkeel_protocol::FleetHeartbeat;
use prost::Message;
use tokio::net::UdpSocket;

use crate::control_event::ControlEvent;
use crate::shared_state::SharedState;

/// The size of the receive buffer, which holds the longest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Receives heartbeats and sends them to the control thread, until the process ends.
pub async fn receive_heartbeats(shared: Arc<SharedState>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // The socket reports an error after a datagram was sent to an instance that has stopped.
                log::debug!("peers: Receiving failed: {error}.");
                continue;
            }
        };
        match FleetHeartbeat::decode(&buffer[..length]) {
            Ok(message) => shared.send_event(ControlEvent::Heartbeat {
                message: Box::new(message),
                from,
            }),
            Err(error) => log::warn!("peers: {from} sent a malformed heartbeat: {error}."),
        }
    }
}

/// Sends a heartbeat. If the send buffer is full, the heartbeat is dropped, because the next one carries the same
/// state.
pub fn send_heartbeat(socket: &UdpSocket, message: &FleetHeartbeat, to: SocketAddr) {
    if let Err(error) = socket.try_send_to(&message.encode_to_vec(), to) {
        log::debug!("peers: Sending to {to} failed: {error}.");
    }
}
