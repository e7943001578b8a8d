//! The simulated side of a run: replicas, discovery and dispatchers in this process, and the scenario's events.
//!
//! [`Bench`] owns the tasks of all of them.

use super::RunError;
use crate::config;
use crate::fleet;
use crate::load;
use crate::scenario::{EventKind, Scenario, ScenarioEvent};
use crate::simulated::discovery::{DeliveryLog, Discovery, EndpointEntry};
use crate::simulated::peers::{self, SimulatedPeers};
use crate::simulated::replica::{DrainNotifications, Replica, ReplicaMetrics, SlowStartRule};
use quartzhall::routing::api::{EndpointRecord, EndpointStatus};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::{interval, Instant};

/// Interval of a rolling restart: random replicas drain for one interval and restart after it.
const ROLLING_RESTART_INTERVAL: Duration = Duration::from_secs(1);
/// Start time of the replicas in slow start, as drawn with the fleet. Only its presence matters.
const WARM_UP_START_TIME: u64 = 1;
/// Offset from the run's seed to those of the simulated dispatchers.
const PEER_SEED_OFFSET: u64 = 1_000;

/// The simulated side of a run, with the tasks that serve it.
pub(super) struct Bench {
    /// Metrics of all replicas.
    pub(super) metrics: Arc<ReplicaMetrics>,
    /// The replicas, by number.
    pub(super) replicas: Arc<Vec<Arc<Replica>>>,
    /// What discovery wrote to the real dispatchers, by dispatcher number.
    pub(super) delivery_logs: Arc<Vec<Arc<DeliveryLog>>>,
    discovery: Discovery,
    tasks: JoinSet<()>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns the loopback IP address of a replica's rack.
fn rack_address(record: &EndpointRecord) -> Ipv4Addr {
    let [_, _, high, low] = (record.cell + 1).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

fn slow_start_rule() -> SlowStartRule {
    SlowStartRule {
        window: config::OVERLOAD_WINDOW,
        max_requests: config::REPLICA_REQUESTS_PER_SECOND
            * config::OVERLOAD_WINDOW.as_secs_f64()
            * config::SLOW_START_INITIAL_SHARE
            * config::OVERLOAD_CAPACITY_MULTIPLE,
        duration: config::SLOW_START_DURATION,
    }
}

impl Bench {
    /// Draws the fleet, and binds and serves all replicas, each rack on a loopback IP address of its own.
    pub(super) async fn start(scenario: &Scenario, seed: u64) -> Result<Bench, RunError> {
        let metrics = Arc::new(ReplicaMetrics::new()?);
        let mut rng = Pcg32::seed_from_u64(seed);
        let records = fleet::draw(&scenario.fleet.shape(), WARM_UP_START_TIME, &mut rng);
        let delivery_logs: Vec<Arc<DeliveryLog>> = (0..scenario.dispatchers.real)
            .map(|_| Arc::default())
            .collect();
        let delivery_logs = Arc::new(delivery_logs);
        let logs = delivery_logs.clone();
        let drain_notifications: DrainNotifications = Arc::new(move |request_id, replica| {
            let dispatcher = load::dispatcher_of(request_id)?;
            logs.get(dispatcher)?.drain_notified_at(replica)
        });
        let mut tasks = JoinSet::new();
        let mut endpoints = Vec::new();
        let mut replicas = Vec::new();
        for (number, record) in records.into_iter().enumerate() {
            let listener = TcpListener::bind((rack_address(&record), 0)).await?;
            let address = listener.local_addr()?.to_string();
            let is_warming_up = record.started_at.is_some();
            let replica = Replica::new(
                number,
                record.role,
                metrics.clone(),
                drain_notifications.clone(),
                slow_start_rule(),
                is_warming_up.then(Instant::now),
            );
            tasks.spawn(replica.clone().serve(listener));
            replicas.push(replica);
            endpoints.push(EndpointEntry {
                record,
                address,
                up_since_ms: if is_warming_up { unix_ms() } else { 0 },
            });
        }
        Ok(Bench {
            metrics,
            replicas: Arc::new(replicas),
            delivery_logs,
            discovery: Discovery::new(endpoints),
            tasks,
        })
    }

    /// Starts a discovery agent for one dispatcher, and returns its address.
    pub(super) async fn start_agent(
        &mut self,
        delivery_log: Arc<DeliveryLog>,
    ) -> Result<String, RunError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        self.tasks
            .spawn(self.discovery.clone().serve(listener, delivery_log));
        Ok(address)
    }

    /// Starts a simulated dispatcher on each of the sockets, and returns the configuration and the counter that they share.
    pub(super) async fn start_peers(
        &mut self,
        scenario: &Scenario,
        seed: u64,
        sockets: Vec<UdpSocket>,
        real_dispatchers: &[String],
    ) -> Result<SimulatedPeers, RunError> {
        let agent = self.start_agent(Arc::default()).await?;
        let replica_keys = (0..self.replicas.len()).map(fleet::replica_key);
        let real_dispatchers = real_dispatchers
            .iter()
            .filter_map(|address| address.parse().ok());
        let peers = SimulatedPeers {
            dispatchers: scenario.dispatchers.configured,
            gossip_cost: config::GOSSIP_COST,
            rate_per_dispatcher: scenario.load.rate_per_dispatcher,
            replica_keys: Arc::new(replica_keys.collect()),
            real_dispatchers: Arc::new(real_dispatchers.collect()),
            sent_bytes: Arc::default(),
        };
        for (number, socket) in sockets.into_iter().enumerate() {
            let peer_seed = seed.wrapping_add(PEER_SEED_OFFSET + number as u64);
            self.tasks
                .spawn(peers::send_gossip(peers.clone(), socket, peer_seed));
            self.tasks.spawn(peers::poll_discovery(
                agent.clone(),
                peers.dispatchers,
                peer_seed,
            ));
        }
        Ok(peers)
    }

    /// Starts an event of the scenario.
    pub(super) fn start_event(&mut self, event: &ScenarioEvent, seed: u64) {
        let number = event.number;
        match event.kind {
            EventKind::DrainRack => self.drain(|endpoint| endpoint.record.cell == number),
            EventKind::DrainZone => self.drain(|endpoint| endpoint.record.zone == number),
            EventKind::RestartZone => {
                let in_zone = self
                    .discovery
                    .find(|endpoint| endpoint.record.zone == number);
                restart(&self.discovery, &self.replicas, &in_zone);
            }
            EventKind::FullList => self.discovery.send_full_list(),
            EventKind::RollingRestart => {
                self.tasks.spawn(restart_rolling(
                    self.discovery.clone(),
                    self.replicas.clone(),
                    number as usize,
                    seed,
                ));
            }
        }
    }

    /// Marks all matching endpoints as draining.
    fn drain(&self, matches: impl Fn(&EndpointEntry) -> bool) {
        let draining = self.discovery.find(matches);
        self.discovery.update(&draining, |endpoint| {
            endpoint.record.status = EndpointStatus::Draining;
        });
    }

    /// Aborts all tasks and waits for their end.
    pub(super) async fn shut_down(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Restarts replicas: they are ready, and in slow start.
fn restart(discovery: &Discovery, replicas: &[Arc<Replica>], numbers: &[usize]) {
    for number in numbers {
        replicas[*number].restart();
    }
    let now = unix_ms();
    discovery.update(numbers, |endpoint| {
        endpoint.record.status = EndpointStatus::Ready;
        endpoint.up_since_ms = now;
    });
}

/// Drains random replicas in each interval and restarts those of the interval before, until the task is aborted.
async fn restart_rolling(
    discovery: Discovery,
    replicas: Arc<Vec<Arc<Replica>>>,
    replicas_per_second: usize,
    seed: u64,
) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut ticks = interval(ROLLING_RESTART_INTERVAL);
    let mut draining: Vec<usize> = Vec::new();
    loop {
        ticks.tick().await;
        restart(&discovery, &replicas, &draining);
        draining = (0..replicas_per_second)
            .map(|_| rng.gen_range(0..replicas.len()))
            .collect();
        discovery.update(&draining, |endpoint| {
            endpoint.record.status = EndpointStatus::Draining;
        });
    }
}
