//! Slow start: what recently started endpoints are sent, by one router and by many.

mod router_harness;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use router_harness::*;

#[test]
fn a_burst_does_not_overload_an_endpoint_in_slow_start() {
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    for id in 0..40 {
        harness.serve(request(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let in_slow_start = EndpointRecord {
        started_at: Some(harness.now),
        ..endpoint(1, Role::Prefill)
    };
    harness.handle(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![in_slow_start],
    });
    let sends = (100..150)
        .filter(|id| started_endpoint(&harness.submit(request(*id, *id)), *id).is_some())
        .count();
    // The warm endpoint served about 16 prefills a second. One in slow start may get 0.3 x 2.5 of that in a
    // second.
    assert!(
        (1..=12).contains(&sends),
        "{sends} sent to an endpoint in slow start at once"
    );
}

/// A slow-start budget is computed from the endpoints that serve the load. Guards against counting draining
/// ones as well: their successors were then idle during a deployment while the other endpoints were
/// overloaded.
#[test]
fn draining_endpoints_do_not_reduce_a_slow_start_budget() {
    let prefill_endpoints = (1..=6).map(|id| endpoint(id, Role::Prefill));
    let mut harness = harness_with(
        Idempotency::Idempotent,
        prefill_endpoints
            .chain([endpoint(12, Role::Decode)])
            .collect(),
    );
    let draining = (2..=6)
        .map(|id| EndpointRecord {
            status: EndpointStatus::Draining,
            ..endpoint(id, Role::Prefill)
        })
        .collect();
    harness.handle(Event::EndpointsChanged {
        is_full: false,
        endpoints: draining,
    });
    for id in 0..300 {
        harness.serve(request(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let in_slow_start = EndpointRecord {
        started_at: Some(harness.now),
        ..endpoint(7, Role::Prefill)
    };
    harness.handle(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![in_slow_start],
    });
    let sent = (1_000..1_100).filter(|id| {
        let prefill = started_endpoint(&harness.submit(request(*id, *id)), *id).expect("sent");
        harness.handle(Event::ClientDisconnected { id: *id });
        harness.end_attempt(*id, 0, prefill, AttemptStatus::Cancelled);
        prefill == 7
    });
    let sent = sent.count();
    // Endpoint 1 served about 16 prefills a second. 0.3 x 2.5 of that is 12 in a second, and a sixth of it
    // is 2.
    assert!(
        (8..=12).contains(&sent),
        "{sent} sent to the endpoint in slow start"
    );
}

/// Sends a hundred requests a second to a fleet of routers, and restarts half of eight prefill endpoints
/// after 20 s. Returns how many requests each restarted endpoint was sent in each second from then on.
fn sends_in_slow_start(dispatchers: u32) -> Vec<[usize; 4]> {
    let settings = RoutingSettings {
        dispatchers,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let fleet: Vec<_> = (1..=8)
        .map(|id| endpoint(id, Role::Prefill))
        .chain([endpoint(12, Role::Decode)])
        .collect();
    let router = |seed| {
        let mut harness = RouterHarness::new(settings.clone(), fleet.clone());
        harness.router = Router::new(settings.clone(), u64::from(seed), 0);
        harness.handle(Event::TimerFired);
        harness.handle(Event::EndpointsChanged {
            is_full: true,
            endpoints: fleet.clone(),
        });
        harness
    };
    let mut harnesses: Vec<RouterHarness> = (0..dispatchers).map(router).collect();
    let mut sent = vec![[0; 4]; 8];
    for id in 0..2_800 {
        let now = id * 10 * MS;
        let router_index =
            (quartzhall::config::fnv1a_hash(&id.to_string()) % u64::from(dispatchers)) as usize;
        if now == 20 * SECOND {
            let in_slow_start = |id| EndpointRecord {
                started_at: Some(now),
                ..endpoint(id, Role::Prefill)
            };
            let entries: Vec<_> = (1..=4).map(in_slow_start).collect();
            harnesses.iter_mut().for_each(|harness| {
                harness.now = harness.now.max(now);
                harness.handle(Event::EndpointsChanged {
                    is_full: false,
                    endpoints: entries.clone(),
                });
            });
        }
        let harness = &mut harnesses[router_index];
        harness.advance(now.saturating_sub(harness.now));
        let without_session = RequestMetadata {
            session: None,
            ..request(id, id)
        };
        let prefill = harness.serve(without_session, 4 * MS, 4 * MS, 4 * MS)[0];
        if now >= 20 * SECOND && prefill <= 4 {
            sent[((now - 20 * SECOND) / SECOND) as usize][prefill as usize - 1] += 1;
        }
    }
    sent
}

/// A fraction of one send is drawn at random, so that a hundred routers neither all send nor all wait.
/// Guards against draws that hold for a whole overload window: where requests were few, most draws lapsed,
/// and endpoints in slow start were idle while warm ones were overloaded.
#[test]
fn routers_together_use_slow_start_budgets_and_no_more() {
    for dispatchers in [2, 20, 200] {
        let sent = sends_in_slow_start(dispatchers);
        // A warm endpoint served 12 to 13 prefills a second. One in slow start may get 0.3 x 2.5 of its
        // warm capacity.
        let max = sent.iter().flatten().max();
        assert!(
            max <= Some(&16),
            "{dispatchers} routers: {sent:?} in a second each"
        );
        let all: usize = sent.iter().flatten().sum();
        assert!(
            all >= 100,
            "{dispatchers} routers sent {all} requests to endpoints in slow start in 8 s: {sent:?}"
        );
    }
}

/// Instant at which the fleet's first four prefill endpoints restart.
const RESTART_AT: Time = 20 * SECOND;

/// A fleet of routers with eight prefill endpoints, of which the first four restart, and one decode
/// endpoint.
struct RestartedFleet {
    settings: RoutingSettings,
    seed: u64,
    initial_endpoints: Vec<EndpointRecord>,
    restarted: Vec<EndpointRecord>,
}

impl RestartedFleet {
    fn new(dispatchers: u32, seed: u64) -> RestartedFleet {
        let prefill_endpoints = (1..=8).map(|id| endpoint(id, Role::Prefill));
        let restarted = (1..=4).map(|id| EndpointRecord {
            started_at: Some(RESTART_AT),
            ..endpoint(id, Role::Prefill)
        });
        RestartedFleet {
            settings: RoutingSettings {
                dispatchers,
                ..settings(vec![class(1.0, Idempotency::Idempotent)])
            },
            seed,
            initial_endpoints: prefill_endpoints
                .chain([endpoint(12, Role::Decode)])
                .collect(),
            restarted: restarted.collect(),
        }
    }

    fn hash(&self, number: u64) -> u64 {
        quartzhall::config::fnv1a_hash(&format!("{}, {number}", self.seed))
    }

    fn router(&self, now: Time, number: u32) -> RouterHarness {
        let mut harness = RouterHarness::new(self.settings.clone(), Vec::new());
        harness.now = now;
        let seed = self.hash(u64::from(number) + now);
        harness.router = Router::new(self.settings.clone(), seed, now);
        harness.handle(Event::TimerFired);
        harness.handle(Event::EndpointsChanged {
            is_full: true,
            endpoints: self.initial_endpoints.clone(),
        });
        harness
    }

    /// Returns the router that receives a request: a quarter of the routers receive two thirds of the
    /// traffic.
    fn router_of(&self, id: RequestId) -> usize {
        let draw = self.hash(1_000_000 + id);
        let all = u64::from(self.settings.dispatchers);
        if draw % 3 < 2 {
            (draw / 3 % all.div_ceil(4)) as usize
        } else {
            (draw / 3 % all) as usize
        }
    }

    /// Returns when a router is notified of the restart: a third of the routers a second late.
    fn notified_at(&self, router: usize) -> Time {
        if self.hash(2_000_000 + router as u64).is_multiple_of(3) {
            RESTART_AT + SECOND
        } else {
            RESTART_AT
        }
    }

    /// Returns when notified routers sent requests to each restarted endpoint, at a hundred requests a
    /// second in all. Seven in ten routers restart at the same instant as the endpoints.
    fn sends_after_restart(&self) -> Vec<Vec<Time>> {
        let dispatchers = self.settings.dispatchers;
        let mut harnesses: Vec<(RouterHarness, bool)> = (0..dispatchers)
            .map(|number| (self.router(0, number), false))
            .collect();
        let mut sent: Vec<Vec<Time>> = vec![Vec::new(); 4];
        for id in 0..3_000 {
            let now = id * 10 * MS;
            if now == RESTART_AT {
                for number in 0..dispatchers {
                    if self.hash(u64::from(number)) % 10 < 7 {
                        harnesses[number as usize] = (self.router(now, number), false);
                    }
                }
            }
            let router = self.router_of(id);
            let (harness, is_notified) = &mut harnesses[router];
            harness.advance(now.saturating_sub(harness.now));
            if now >= self.notified_at(router) && !*is_notified {
                *is_notified = true;
                harness.handle(Event::EndpointsChanged {
                    is_full: false,
                    endpoints: self.restarted.clone(),
                });
            }
            let without_session = RequestMetadata {
                session: None,
                ..request(id, id)
            };
            let prefill = harness.serve(without_session, 4 * MS, 4 * MS, 4 * MS)[0];
            if *is_notified && prefill <= 4 {
                sent[prefill as usize - 1].push(now);
            }
        }
        sent
    }

    /// Returns the overload threshold times the capacity that a restarted endpoint has in the overload
    /// window from `start`.
    fn budget(&self, start: Time) -> f64 {
        let settings = &self.settings;
        let age = ((start - RESTART_AT) as f64 / settings.slow_start_duration as f64).min(1.0);
        // Eight warm prefill endpoints share a hundred requests a second.
        let capacity = 100.0 / 8.0
            * (settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age);
        settings.overload_threshold * capacity * settings.overload_window as f64 / SECOND as f64
    }
}

/// Returns the maximum excess over `N + 2 sqrt(N) + 2` of the requests that notified routers sent to a
/// restarted endpoint in an overload window. `N` is the endpoint's budget in that window.
fn max_excess_in_slow_start(dispatchers: u32, seed: u64) -> f64 {
    let fleet = RestartedFleet::new(dispatchers, seed);
    let mut max_excess = f64::MIN;
    for times in fleet.sends_after_restart() {
        for (index, start) in times.iter().enumerate() {
            let sent = times[index..]
                .iter()
                .take_while(|time| **time < start + fleet.settings.overload_window)
                .count() as f64;
            let budget = fleet.budget(*start);
            max_excess = max_excess.max(sent - budget - 2.0 * budget.sqrt() - 2.0);
        }
    }
    max_excess
}

/// Holds for any number of routers and for uneven traffic, also when most of the routers have just
/// restarted.
#[test]
fn no_endpoint_in_slow_start_is_overloaded_by_all_routers_together() {
    for (dispatchers, seeds) in [(2, 12), (5, 12), (30, 4), (300, 1)] {
        for seed in 0..seeds {
            let max_excess = max_excess_in_slow_start(dispatchers, seed);
            assert!(
                max_excess <= 0.0,
                "{dispatchers} routers, seed {seed}: {max_excess} requests too many"
            );
        }
    }
}
