//! Datagrams between dispatchers. Only carries them: what they mean is [`crate::gossip`]'s, and the core's.

use crate::config::Config;
use crate::dispatcher::{DispatcherHandle, Event};
use crate::gossip::LONGEST;
use bytes::Bytes;
use slog::{debug, info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at, Instant};

/// Messages that may wait to be sent; more are dropped, for they would be old.
const QUEUE: usize = 16;

/// Nothing is heard for so long after an error.
const AFTER_ERROR: Duration = Duration::from_millis(100);

/// An address that is taken, by a predecessor that is about to end, is tried again after this.
const TAKEN: Duration = Duration::from_millis(500);

/// Where dispatchers listen for each other.
pub struct GossipTransport {
    listen: String,
    all: SocketAddr,
    numbers: HashMap<SocketAddr, usize>,
}

impl GossipTransport {
    /// Where the configuration says that dispatchers tell each other things. Without it they do without.
    pub fn new(config: &Config) -> Option<GossipTransport> {
        let (listen, all) = (
            config.peer_listen.clone()?,
            config.peers_all.as_ref()?.parse().ok()?,
        );
        let me = config.settings.me;
        let others = config
            .peers
            .iter()
            .flatten()
            .enumerate()
            .filter(|(at, _)| Some(*at) != me);
        let numbers = others
            .filter_map(|(at, address)| Some((address.parse().ok()?, at)))
            .collect();
        Some(GossipTransport {
            listen,
            all,
            numbers,
        })
    }

    /// How many dispatchers there are beside this one.
    pub fn peer_count(&self) -> usize {
        self.numbers.len()
    }

    /// Listens as soon as the address is free. What would be told meanwhile is not: it would be old.
    async fn bind(&self, tell: &mut mpsc::Receiver<Bytes>, log: &Logger) -> Option<UdpSocket> {
        let mut logged = false;
        loop {
            match UdpSocket::bind(&self.listen).await {
                Ok(socket) => return Some(socket),
                Err(error) if !logged => {
                    info!(log, "dispatchers can't be heard yet"; "listen" => &self.listen, "error" => %error);
                    logged = true;
                }
                Err(_) => {}
            }
            let until = Instant::now() + TAKEN;
            while let Ok(message) = timeout_at(until, tell.recv()).await {
                message?;
            }
        }
    }

    /// The queue of messages to all.
    pub fn queue() -> (mpsc::Sender<Bytes>, mpsc::Receiver<Bytes>) {
        mpsc::channel(QUEUE)
    }

    /// Carries messages to all others, and theirs to the core, until nobody sends any more.
    pub async fn run(self, mut tell: mpsc::Receiver<Bytes>, door: DispatcherHandle, log: Logger) {
        let Some(socket) = self.bind(&mut tell, &log).await else {
            return;
        };
        // One byte more than allowed shows what is longer.
        let mut buffer = [0; LONGEST + 1];
        loop {
            tokio::select! {
                message = tell.recv() => match message {
                    Some(message) => {
                        if let Err(error) = socket.send_to(&message, self.all).await {
                            debug!(log, "dispatchers can't be told"; "error" => %error);
                        }
                    }
                    None => return,
                },
                received = socket.recv_from(&mut buffer) => {
                    let Ok((length, address)) = received else {
                        sleep(AFTER_ERROR).await;
                        continue;
                    };
                    if let Some(from) = self.numbers.get(&address) {
                        let message = Bytes::copy_from_slice(&buffer[..length]);
                        door.send(Event::GossipReceived { from: *from, message }).await;
                    }
                }
            }
        }
    }
}
