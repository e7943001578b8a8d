//! Simulated dispatchers: each sends gossip to the real dispatchers from an address of its own, and polls discovery.
//!
//! Gossip, watches and backoff are the program's own code. Simulated dispatchers have no clients and select no endpoints.

use crate::simulated::discovery::FIRST_REVISION;
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

/// Time between two batches of requests that a simulated dispatcher counts as served, and between its gossip messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the random number of requests in flight in a load report. The range is wide enough for reports to differ from
/// what the receivers expect.
const MAX_IN_FLIGHT: f64 = 60.0;
/// Buffer size of a read from discovery, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The configuration and the counter that all simulated dispatchers of a run share.
#[derive(Clone)]
pub struct SimulatedPeers {
    /// Number of dispatchers in the fleet, as configured at each of them.
    pub dispatchers: u32,
    /// Cost of a full gossip message for each receiver and request.
    pub gossip_cost: f64,
    /// Requests per second of each simulated dispatcher.
    pub rate_per_dispatcher: f64,
    /// Keys of the replicas in gossip messages, by replica number.
    pub replica_keys: Arc<Vec<u64>>,
    /// Gossip addresses of the real dispatchers.
    pub real_dispatchers: Arc<Vec<SocketAddr>>,
    /// Bytes of gossip that were sent to each real dispatcher, by all simulated ones together.
    pub sent_bytes: Arc<AtomicU64>,
}

/// Returns the time in Unix microseconds.
fn unix_time() -> Time {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as Time)
}

/// Sends gossip to the real dispatchers at the rate of one dispatcher, until the task is aborted. The program's own gossip budget
/// limits the messages; the load reports in them are random.
pub async fn send_gossip(peers: SimulatedPeers, socket: UdpSocket, seed: u64) {
    let mut gossip = Gossip::new(peers.dispatchers as usize, peers.gossip_cost);
    let mut rng = Pcg32::seed_from_u64(seed);
    let requests_per_batch = (peers.rate_per_dispatcher * BATCH_INTERVAL.as_secs_f64()) as usize;
    sleep(BATCH_INTERVAL.mul_f64(rng.gen())).await;
    loop {
        for _ in 0..requests_per_batch {
            gossip.on_request();
            let number = rng.gen_range(0..peers.replica_keys.len());
            let load = LoadReport {
                in_flight: Some(rng.gen_range(0.0..MAX_IN_FLIGHT)),
                ..LoadReport::default()
            };
            let key = peers.replica_keys[number];
            gossip.record_load(unix_time(), number as u32, key, &load);
        }
        if let Some(message) = gossip.next_message(unix_time()) {
            peers
                .sent_bytes
                .fetch_add(message.len() as u64, Ordering::Relaxed);
            for address in peers.real_dispatchers.iter() {
                let _ = socket.send_to(&message, address).await;
            }
        }
        sleep(BATCH_INTERVAL).await;
    }
}

/// Polls discovery until the task is aborted, and discards the lists. The watch starts at [`FIRST_REVISION`], as that of a
/// dispatcher that already has the first list.
pub async fn poll_discovery(address: String, dispatchers: u32, seed: u64) {
    let mut watch = WatchState::starting_at(Some(FIRST_REVISION), false);
    let mut backoff = Backoff::new(dispatchers, seed);
    sleep(backoff.initial_delay()).await;
    loop {
        let poll = watch.next_poll();
        let started = Instant::now();
        let response = timeout(poll.timeout, fetch_revision(&address, &poll.target)).await;
        if let Ok(Some(revision)) = response {
            backoff.reset();
            watch.on_response(revision);
        } else {
            let max_backoff = watch.max_backoff(started.elapsed());
            sleep(backoff.next_delay_within(max_backoff)).await;
        }
    }
}

/// Sends one poll on a new connection, and returns the revision of the list in the response.
async fn fetch_revision(address: &str, target: &str) -> Option<u64> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream
        .write_all(format!("GET {target} HTTP/1.1\r\nHost: scale\r\n\r\n").as_bytes())
        .await
        .ok()?;
    let mut response = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        response.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&response);
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
