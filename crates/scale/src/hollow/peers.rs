//! Hollow dispatchers, as the real ones meet them: each has an address from which it tells the others things, and calls
//! discovery. They have no clients and choose no servers.

use crate::hollow::discovery::FIRST_REVISION;
use quartzhall::discovery::backoff::Backoff;
use quartzhall::discovery::watch_state::WatchState;
use quartzhall::gossip::Gossip;
use quartzhall::routing::api::{LoadReport, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{sleep, timeout, Instant};

/// Between two batches of requests that a hollow dispatcher is taken to have served.
const TURN: Duration = Duration::from_millis(500);
/// A report of that many requests at a replica surprises the others.
const MOST_IN_FLIGHT: f64 = 60.0;

/// What all hollow dispatchers of a run are given.
#[derive(Clone)]
pub struct GossipTransport {
    /// Dispatchers of the fleet, as the settings tell.
    pub told: u32,
    /// What a full message costs for each receiver and request.
    pub price: f64,
    /// Requests a second of each.
    pub rate: f64,
    /// Keys of the replicas.
    pub keys: Arc<Vec<u64>>,
    /// Where the real dispatchers listen.
    pub real: Arc<Vec<SocketAddr>>,
    /// Bytes that were sent to each real one.
    pub bytes: Arc<AtomicU64>,
    /// Messages that were sent to each real one.
    pub messages: Arc<AtomicU64>,
}

fn now() -> Time {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_micros() as Time)
}

/// Tells the real dispatchers what one of its size would, for as long as the task runs. What it may spend on that is the
/// program's own budget; what it has to tell are random loads.
pub async fn tell(peers: GossipTransport, socket: UdpSocket, seed: u64) {
    let mut gossip = Gossip::new(peers.told as usize, peers.price);
    let mut rng = Pcg32::seed_from_u64(seed);
    sleep(TURN.mul_f64(rng.gen())).await;
    loop {
        for _ in 0..(peers.rate * TURN.as_secs_f64()) as usize {
            gossip.on_request();
            let number = rng.gen_range(0..peers.keys.len());
            let load = LoadReport {
                in_flight: Some(rng.gen_range(0.0..MOST_IN_FLIGHT)),
                ..LoadReport::default()
            };
            gossip.record_load(now(), number as u32, peers.keys[number], &load);
        }
        if let Some(message) = gossip.next_message(now()) {
            peers
                .bytes
                .fetch_add(message.len() as u64, Ordering::Relaxed);
            peers.messages.fetch_add(1, Ordering::Relaxed);
            for real in peers.real.iter() {
                let _ = socket.send_to(&message, real).await;
            }
        }
        sleep(TURN).await;
    }
}

/// Follows discovery with the program's own watch and pauses, and discards the lists, for as long as the task runs. It has
/// been running for long and knows the first list.
pub async fn follow(address: String, dispatchers: u32, seed: u64) {
    let mut watch = WatchState::starting_at(Some(FIRST_REVISION), false);
    let mut backoff = Backoff::new(dispatchers, seed);
    sleep(backoff.initial_delay()).await;
    loop {
        let call = watch.next_poll();
        let began = Instant::now();
        match timeout(call.patience, revision(&address, &call.target))
            .await
            .ok()
            .flatten()
        {
            Some(revision) => {
                backoff.reset();
                watch.on_response(revision);
            }
            None => sleep(backoff.next_delay_within(watch.max_backoff(began.elapsed()))).await,
        }
    }
}

/// The revision of the list that a call is answered with.
async fn revision(address: &str, target: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream
        .write_all(format!("GET {target} HTTP/1.1\r\nHost: scale\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut answer = Vec::new();
    let mut some = [0; 16 * 1024];
    loop {
        let read = stream.read(&mut some).await.ok().filter(|read| *read > 0)?;
        answer.extend_from_slice(&some[..read]);
        let text = String::from_utf8_lossy(&answer);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok())?;
        if body.len() >= length {
            let number = body.strip_prefix("{\"revision\":")?;
            return number.split(',').next()?.parse().ok();
        }
    }
}
