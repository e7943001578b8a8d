//! A discrete-event simulation: routers in front of modelled replicas, on a simulated clock.
//!
//! The routers are those of the program. Each has a stream of requests of its own; a simple model of prefill and decode gives
//! the time that replicas take. Every call of a router is also timed on the real clock, by [`Step`].
//!
//! The routers see simulated time only. The same options give the same decisions on every machine, unless the limit of real time
//! ends the simulation first. [`Simulation`] owns the routers, the replicas and the event queue.

mod attempts;
mod digest;
mod replica;
mod step;
mod traffic;

use crate::fleet::{self, FleetShape};
use attempts::SimulatedRequest;
use digest::DecisionDigest;
use hdrhistogram::Histogram;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use replica::SimulatedReplica;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};
use traffic::Conversation;

pub use replica::PREFILL_TOKENS_PER_S;
pub use step::Step;

/// One millisecond in the unit of [`Time`], microseconds.
const MS: Time = 1_000;
/// One second in the unit of [`Time`].
const SECOND: Time = 1_000_000;
/// Simulated time at the start of a simulation.
const START_TIME: Time = 1_000 * SECOND;

/// Time from a probe to its response.
const PROBE_RESPONSE_TIME: Time = 1_500;
/// Time between two full endpoint lists, for each router.
const FULL_LIST_INTERVAL: Time = 4 * SECOND;
/// Time between two changes of a replica's status.
const ENDPOINT_CHANGE_INTERVAL: Time = SECOND / 2;
/// Time between two load reports of other dispatchers, for each router.
const PEER_REPORT_INTERVAL: Time = 20 * MS;
/// Time between two deliveries of the settings, for each router.
const SETTINGS_INTERVAL: Time = 5 * SECOND;

/// The histograms count tenths of microseconds.
pub const UNITS_PER_MICROSECOND: f64 = 10.0;
/// Significant decimal digits of the histograms.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// The fleet, the traffic and the limits of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Shape of the fleet, which is drawn at random.
    pub shape: FleetShape,
    /// Number of simulated routers.
    pub routers: usize,
    /// Number of dispatchers in the fleet, as configured at each router.
    pub dispatchers: u32,
    /// Mean arrival rate at each router, in requests per second.
    pub rate_per_router: f64,
    /// Whether replicas also carry load of dispatchers that are not simulated.
    pub has_background_load: bool,
    /// Prompt tokens per second that a prefill replica processes after its slow start.
    pub prefill_tokens_per_s: f64,
    /// Seed of the fleet, the traffic and the routers' random choices.
    pub seed: u64,
    /// Number of arrivals after which the simulation ends.
    pub max_arrivals: usize,
    /// Real time after which the simulation ends, however many requests have arrived.
    pub max_duration: Duration,
}

/// The result of a simulation.
pub struct SimulationResult {
    /// Real time of the routers' calls by step, in the unit of [`UNITS_PER_MICROSECOND`].
    pub steps: BTreeMap<Step, Histogram<u64>>,
    /// Number of requests that arrived.
    pub arrivals: usize,
    /// Number of requests whose first token met the TTFT objective.
    pub served_in_time: usize,
    /// Number of requests that were shed or failed.
    pub shed_or_failed: usize,
    /// Priority weight of the requests that met the TTFT objective, as a share of the weight of all arrivals.
    pub served_weight_share: f64,
    /// Digest of all actions of the routers in order; equal digests mean equal decisions.
    pub digest: u64,
}

/// An event that happens at a simulated time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// A request arrives at a router.
    Arrival { router: usize },
    /// A router's timer fires.
    Timer { router: usize },
    /// A prefill attempt completes.
    PrefillDone {
        id: RequestId,
        attempt: u32,
        cached_tokens: u64,
    },
    /// A decode attempt sends its first token.
    FirstToken { id: RequestId, attempt: u32 },
    /// A decode attempt has sent its whole output.
    DecodeDone { id: RequestId, attempt: u32 },
    /// The response to a probe reaches a router.
    ProbeResponse { router: usize, endpoint: EndpointId },
    /// A load report from another dispatcher reaches a router.
    PeerReport { router: usize },
    /// A full endpoint list reaches a router.
    FullList { router: usize },
    /// A replica's status changes, and all routers are notified.
    EndpointChange,
    /// The settings reach a router again, unchanged.
    SettingsChange { router: usize },
}

/// An entry of the event queue: time, sequence number, event. Events at the same time are handled in scheduling order.
type QueueEntry = Reverse<(Time, u64, ScheduledEvent)>;

/// The routers, the replicas, and the events that are still to happen.
pub struct Simulation {
    options: SimulationOptions,
    settings: RoutingSettings,
    now: Time,
    rng: Pcg32,
    routers: Vec<Router>,
    conversations: Vec<Vec<Conversation>>, // by router
    replicas: Vec<SimulatedReplica>,
    requests: HashMap<RequestId, SimulatedRequest>,
    queue: BinaryHeap<QueueEntry>,
    scheduled_events: u64, // also the sequence number of the last one
    draining_endpoint: Option<EndpointId>,
    arrived_weight: f64,
    served_weight: f64,
    digest: DecisionDigest,
    result: SimulationResult,
}

/// Returns the routing settings of a fleet of `dispatchers`, with two classes and the TTFT objectives of the target fleet.
pub fn routing_settings(dispatchers: u32) -> RoutingSettings {
    let class = |priority_weight, ttft_objective| RequestClass {
        ttft_objective,
        ttft_objective_per_1000_tokens: 20 * MS,
        inter_token_objective: 60 * MS,
        priority_weight,
        idempotency: Idempotency::Idempotent,
        is_active: true,
    };
    RoutingSettings {
        dispatchers,
        zone: 0,
        classes: vec![class(3.0, 510 * MS), class(1.0, 2 * SECOND)],
        tenants: vec![],
        over_quota_weight: 0.2,
        load_reporting: LoadReporting::WithResponses,
        must_poll_endpoints: false,
        probes_allowed: true,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 500 * MS,
        max_attempts: 5,
        tick: 2 * MS,
        response_slack: 8 * MS,
        drain_grace: 250 * MS,
        reservation_ttl: SECOND,
        slow_start_initial_share: 0.3,
        slow_start_duration: 30 * SECOND,
        overload_threshold: 2.5,
        overload_window: 1500 * MS,
        cross_zone_cost: 0.01,
        kv_transfer_cost: 0.01,
    }
}

impl Simulation {
    /// Draws the fleet and sends the routers their first list. `prepare` can configure each router before that.
    pub fn new(options: SimulationOptions, prepare: impl Fn(&mut Router)) -> Simulation {
        let mut rng = Pcg32::seed_from_u64(options.seed);
        let now = START_TIME;
        let records = fleet::draw(&options.shape, now, &mut rng);
        let settings = routing_settings(options.dispatchers);
        let create_router = |number: usize| {
            let own_settings = RoutingSettings {
                zone: router_zone(&options, number),
                ..settings.clone()
            };
            let seed = options.seed.wrapping_add(number as u64);
            let mut router = Router::new(own_settings, seed, now);
            prepare(&mut router);
            router
        };
        let mut simulation = Simulation {
            routers: (0..options.routers).map(create_router).collect(),
            conversations: (0..options.routers).map(|_| Vec::new()).collect(),
            replicas: records
                .iter()
                .map(|record| SimulatedReplica::new(record.clone(), now))
                .collect(),
            settings,
            now,
            rng,
            requests: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled_events: 0,
            draining_endpoint: None,
            arrived_weight: 0.0,
            served_weight: 0.0,
            digest: DecisionDigest::new(),
            result: SimulationResult {
                steps: BTreeMap::new(),
                arrivals: 0,
                served_in_time: 0,
                shed_or_failed: 0,
                served_weight_share: 0.0,
                digest: 0,
            },
            options,
        };
        simulation.start_routers(&records);
        simulation
    }

    fn start_routers(&mut self, records: &[EndpointRecord]) {
        for router in 0..self.options.routers {
            self.notify(router, Step::Timer, Event::TimerFired);
            let first_list = Event::EndpointsChanged {
                is_full: true,
                endpoints: records.to_vec(),
            };
            self.notify(router, Step::FirstList, first_list);
            let gap = self.draw_arrival_gap();
            self.schedule(gap, ScheduledEvent::Arrival { router });
            self.schedule(FULL_LIST_INTERVAL, ScheduledEvent::FullList { router });
            self.schedule(SETTINGS_INTERVAL, ScheduledEvent::SettingsChange { router });
            self.schedule(PEER_REPORT_INTERVAL, ScheduledEvent::PeerReport { router });
        }
        self.schedule(ENDPOINT_CHANGE_INTERVAL, ScheduledEvent::EndpointChange);
    }

    /// Simulates until one of the limits in the options is reached.
    pub fn run(mut self) -> SimulationResult {
        let started = Instant::now();
        while self.result.arrivals < self.options.max_arrivals
            && started.elapsed() < self.options.max_duration
        {
            let Some(Reverse((time, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = time;
            self.handle_event(event);
        }
        self.result.served_weight_share =
            self.served_weight / self.arrived_weight.max(f64::MIN_POSITIVE);
        self.result.digest = self.digest.value();
        self.result
    }

    fn schedule(&mut self, after: Time, event: ScheduledEvent) {
        self.scheduled_events += 1;
        self.queue
            .push(Reverse((self.now + after, self.scheduled_events, event)));
    }

    /// Notifies a router of an event, measures the call as `step`, and applies the router's actions.
    fn notify(&mut self, router: usize, step: Step, event: Event) {
        let mut actions = Vec::new();
        let started = Instant::now();
        self.routers[router].handle(self.now, event, &mut actions);
        let duration = started.elapsed().as_nanos() as f64 / 1e3 * UNITS_PER_MICROSECOND;
        if let Ok(empty) = Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS) {
            let histogram = self.result.steps.entry(step).or_insert(empty);
            let _ = histogram.record(duration as u64); // cannot fail: the histogram resizes itself
        }
        for action in actions {
            self.digest.update(router, self.now, &action);
            self.apply_action(router, action);
        }
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival { router } => {
                let gap = self.draw_arrival_gap();
                self.schedule(gap, event);
                self.on_arrival(router);
            }
            ScheduledEvent::Timer { router } => self.notify(router, Step::Timer, Event::TimerFired),
            ScheduledEvent::PrefillDone {
                id,
                attempt,
                cached_tokens,
            } => self.on_prefill_done(id, attempt, cached_tokens as f64),
            ScheduledEvent::FirstToken { id, attempt } => self.on_first_token(id, attempt),
            ScheduledEvent::DecodeDone { id, attempt } => self.on_decode_done(id, attempt),
            ScheduledEvent::ProbeResponse { router, endpoint } => {
                let probe_completed = Event::ProbeCompleted {
                    endpoint,
                    is_healthy: true,
                    load: Some(self.load_report(endpoint)),
                };
                self.notify(router, Step::ProbeResponse, probe_completed);
            }
            ScheduledEvent::PeerReport { router } => {
                let endpoint = self.rng.gen_range(0..self.replicas.len()) as EndpointId;
                let report = Event::PeerLoadReport {
                    endpoint,
                    load: Some(self.load_report(endpoint)),
                };
                self.notify(router, Step::PeerReport, report);
                self.schedule(PEER_REPORT_INTERVAL, event);
            }
            ScheduledEvent::FullList { router } => {
                self.send_full_list(router);
                self.schedule(FULL_LIST_INTERVAL, event);
            }
            ScheduledEvent::EndpointChange => {
                self.change_endpoint();
                self.schedule(ENDPOINT_CHANGE_INTERVAL, event);
            }
            ScheduledEvent::SettingsChange { router } => {
                let settings = RoutingSettings {
                    zone: router_zone(&self.options, router),
                    ..self.settings.clone()
                };
                self.notify(
                    router,
                    Step::SettingsChange,
                    Event::SettingsChanged(settings),
                );
                self.schedule(SETTINGS_INTERVAL, event);
            }
        }
    }

    fn send_full_list(&mut self, router: usize) {
        let full_list = Event::EndpointsChanged {
            is_full: true,
            endpoints: self
                .replicas
                .iter()
                .map(|replica| replica.record.clone())
                .collect(),
        };
        self.notify(router, Step::FullList, full_list);
    }

    /// Drains a random replica, makes the previously drained one ready again, and notifies all routers.
    fn change_endpoint(&mut self) {
        let next = self.rng.gen_range(0..self.replicas.len()) as EndpointId;
        let previous = self.draining_endpoint.replace(next);
        let mut changed = Vec::new();
        for (endpoint, status) in [
            (previous, EndpointStatus::Ready),
            (Some(next), EndpointStatus::Draining),
        ] {
            let Some(endpoint) = endpoint else { continue };
            let record = &mut self.replicas[endpoint as usize].record;
            record.status = status;
            changed.push(record.clone());
        }
        for router in 0..self.routers.len() {
            let change = Event::EndpointsChanged {
                is_full: false,
                endpoints: changed.clone(),
            };
            self.notify(router, Step::EndpointChange, change);
        }
    }

    /// Returns a replica's load report, with a random amount of background load if the options ask for it.
    fn load_report(&mut self, endpoint: EndpointId) -> LoadReport {
        let background = if self.options.has_background_load {
            self.rng.gen_range(0.0..2.0)
        } else {
            0.0
        };
        let replica = &self.replicas[endpoint as usize];
        replica.load_report(self.now, self.options.prefill_tokens_per_s, background)
    }
}

/// Returns a router's zone: routers are assigned to the zones in turn.
fn router_zone(options: &SimulationOptions, router: usize) -> u32 {
    router as u32 % options.shape.zones.max(1)
}
