//! The UDP transport of gossip. [`GossipTransport`] owns the socket and doesn't interpret messages; that is up to
//! [`crate::gossip::Gossip`].

use crate::config::Config;
use crate::dispatcher::{DispatcherHandle, Event};
use crate::gossip::MAX_DATAGRAM_BYTES;
use bytes::Bytes;
use slog::{debug, info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};

/// The capacity of the send queue; further messages are dropped, as they would be stale.
const SEND_QUEUE_MESSAGES: usize = 16;
/// The delay after a receive error; prevents a busy loop if the error persists.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(100);
/// The delay between attempts to bind an address that a predecessor process still uses.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The gossip transport of one dispatcher. It drops datagrams whose source address is not a peer's.
pub struct GossipTransport {
    listen_address: String,
    /// The address that reaches all dispatchers.
    broadcast_address: SocketAddr,
    /// Peers' indexes in the configuration, by address; without this dispatcher's own.
    peer_indices: HashMap<SocketAddr, usize>,
}

impl GossipTransport {
    /// Creates the configured transport. `None`: gossip is not configured, or the broadcast address is invalid.
    pub fn new(config: &Config) -> Option<GossipTransport> {
        let listen_address = config.peer_listen.clone()?;
        let broadcast_address = config.peers_all.as_ref()?.parse().ok()?;
        let mut peer_indices = HashMap::new();
        for (index, address) in config.peers.iter().flatten().enumerate() {
            if Some(index) == config.settings.me {
                continue;
            }
            if let Ok(address) = address.parse() {
                peer_indices.insert(address, index);
            }
        }
        Some(GossipTransport {
            listen_address,
            broadcast_address,
            peer_indices,
        })
    }

    /// Returns the number of other dispatchers.
    pub fn peer_count(&self) -> usize {
        self.peer_indices.len()
    }

    /// Creates the queue of messages to all other dispatchers.
    pub fn queue() -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
        mpsc::channel(SEND_QUEUE_MESSAGES)
    }

    /// Binds the socket, then sends each queued message as one datagram to the broadcast address. Forwards messages
    /// from peers to the dispatcher's core. Ends when the queue's sender is dropped. A message that can't be sent is
    /// logged and lost.
    pub async fn run(
        self,
        mut outgoing: mpsc::Receiver<Bytes>,
        dispatcher: DispatcherHandle,
        log: Logger,
    ) {
        let Some(socket) = self.bind(&mut outgoing, &log).await else {
            return;
        };
        // One byte longer than a valid datagram, so that one that is too long isn't truncated to a valid length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                message = outgoing.recv() => {
                    let Some(message) = message else {
                        return;
                    };
                    if let Err(error) = socket.send_to(&message, self.broadcast_address).await {
                        debug!(log, "gossip send failed"; "error" => %error);
                    }
                },
                received = socket.recv_from(&mut buffer) => {
                    let Ok((length, sender)) = received else {
                        sleep(RECEIVE_ERROR_DELAY).await;
                        continue;
                    };
                    if let Some(index) = self.peer_indices.get(&sender) {
                        let message = Bytes::copy_from_slice(&buffer[..length]);
                        dispatcher.send(Event::GossipReceived { peer: *index, message }).await;
                    }
                }
            }
        }
    }

    /// Binds the address as soon as it is free. Messages that are queued meanwhile are dropped, as they would be stale.
    /// Returns `None` if the queue's sender was dropped.
    async fn bind(&self, outgoing: &mut mpsc::Receiver<Bytes>, log: &Logger) -> Option<UdpSocket> {
        let mut is_logged = false;
        loop {
            match UdpSocket::bind(&self.listen_address).await {
                Ok(socket) => return Some(socket),
                Err(error) if !is_logged => {
                    info!(log, "gossip address not free yet"; "listen" => &self.listen_address, "error" => %error);
                    is_logged = true;
                }
                Err(_) => {}
            }
            let next_attempt = Instant::now() + BIND_RETRY_DELAY;
            while let Ok(message) = timeout_at(next_attempt, outgoing.recv()).await {
                message?;
            }
        }
    }
}
