//! Datagrams between dispatchers. Only carries them: what they mean is [`crate::hearsay`]'s, and the core's.

use crate::dispatch::{Door, Event};
use crate::hearsay::LONGEST;
use crate::settings::Config;
use bytes::Bytes;
use slog::{debug, info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Messages that may wait to be sent; more are dropped, for they would be old.
const QUEUE: usize = 16;

/// Nothing is heard for so long after an error.
const AFTER_ERROR: Duration = Duration::from_millis(100);

/// Where dispatchers listen for each other.
pub struct Peers {
    socket: UdpSocket,
    all: SocketAddr,
    numbers: HashMap<SocketAddr, usize>,
}

impl Peers {
    /// Listens, where the configuration says so. Without it, or where another process has the address, nothing is told or
    /// heard: dispatchers do without.
    pub async fn open(config: &Config, log: &Logger) -> Option<Peers> {
        let (listen, all) = (config.peer_listen.as_ref()?, config.peers_all.as_ref()?.parse().ok()?);
        let me = config.settings.me;
        let others = config.peers.iter().flatten().enumerate().filter(|(at, _)| Some(*at) != me);
        let numbers = others.filter_map(|(at, address)| Some((address.parse().ok()?, at))).collect();
        match UdpSocket::bind(listen).await {
            Ok(socket) => Some(Peers { socket, all, numbers }),
            Err(error) => {
                info!(log, "dispatchers can't be heard"; "listen" => listen, "error" => %error);
                None
            }
        }
    }

    /// The queue of messages to all.
    pub fn queue() -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
        mpsc::channel(QUEUE)
    }

    /// Carries messages to all others, and theirs to the core, until nobody sends any more.
    pub async fn run(self, mut tell: mpsc::Receiver<Bytes>, door: Door, log: Logger) {
        // One byte more than allowed shows what is longer.
        let mut buffer = [0; LONGEST + 1];
        loop {
            tokio::select! {
                message = tell.recv() => match message {
                    Some(message) => {
                        if let Err(error) = self.socket.send_to(&message, self.all).await {
                            debug!(log, "dispatchers can't be told"; "error" => %error);
                        }
                    }
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, address)) = received else {
                        sleep(AFTER_ERROR).await;
                        continue;
                    };
                    if let Some(from) = self.numbers.get(&address) {
                        let message = Bytes::copy_from_slice(&buffer[..length]);
                        door.tell(Event::Peer { from: *from, message }).await;
                    }
                }
            }
        }
    }
}
