//! Routing in fleets that are too large for all endpoints to be candidates.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

const PREFILL_ENDPOINTS: EndpointId = 200;
const DECODE_ENDPOINTS: EndpointId = 400;
const FIRST_DECODE_ENDPOINT: EndpointId = 1_000;

/// Prefill endpoints in cells of their own, and decode endpoints in cells of four.
fn fleet() -> Vec<EndpointRecord> {
    let prefill_endpoints = (0..PREFILL_ENDPOINTS).map(|id| EndpointRecord {
        cell: id,
        ..endpoint(id, Role::Prefill)
    });
    let decode_endpoints = (0..DECODE_ENDPOINTS).map(|index| EndpointRecord {
        cell: cell_of(index),
        ..endpoint(FIRST_DECODE_ENDPOINT + index, Role::Decode)
    });
    prefill_endpoints.chain(decode_endpoints).collect()
}

fn cell_of(decode: EndpointId) -> u32 {
    FIRST_DECODE_ENDPOINT + decode / 4
}

/// What may have run in one cell may be repeated only there, and the decode endpoint that ran it drains. A
/// first query draws decode endpoints and seldom has one of the three that are left: queries are widened
/// until one is found, while the KV cache is reserved.
#[test]
fn an_endpoint_outside_the_first_query_is_found() {
    for seed in 0..10 {
        let keyed = Idempotency::IdempotencyKey {
            scope: DeduplicationScope::Cell,
            window: 3 * SECOND,
        };
        let mut harness = RouterHarness::seeded(settings(vec![class(1.0, keyed)]), fleet(), seed);
        let actions = harness.submit(request(1, seed));
        let prefill = started_endpoint(&actions, 1).expect("it is sent to a prefill endpoint");
        harness.advance(20 * MS);
        let actions = harness.end_attempt(1, 0, prefill, AttemptStatus::PrefillDone);
        let first = started_endpoint(&actions, 1).expect("it is sent to a decode endpoint");
        harness.advance(5 * MS);
        let drains = EndpointRecord {
            status: EndpointStatus::Draining,
            cell: cell_of(first - FIRST_DECODE_ENDPOINT),
            ..endpoint(first, Role::Decode)
        };
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![drains],
        });
        let mut actions = harness.end_attempt(1, 1, first, AttemptStatus::Reset);
        actions.extend(harness.advance(200 * MS));
        let second = started_endpoint(&actions, 1).expect("it is sent again, in time");
        assert_eq!(
            cell_of(second - FIRST_DECODE_ENDPOINT),
            cell_of(first - FIRST_DECODE_ENDPOINT),
            "seed {seed}"
        );
        assert_eq!(count_final_responses(&actions, 1), 0);
    }
}

/// All prefill endpoints but one are overloaded. A request is not shed by the candidates of the first query,
/// and goes to that one.
#[test]
fn nothing_is_shed_that_an_endpoint_outside_the_query_would_serve() {
    for seed in 0..10 {
        let mut harness = RouterHarness::seeded(
            settings(vec![class(1.0, Idempotency::Idempotent)]),
            fleet(),
            seed,
        );
        for id in 1..=40 {
            harness.serve(request(id, 1_000 * id), 200 * MS, 10 * MS, 50 * MS);
        }
        let idle = (seed * 17 + 3) as EndpointId % PREFILL_ENDPOINTS;
        for endpoint_id in 0..PREFILL_ENDPOINTS {
            let part = if endpoint_id == idle { 0.0 } else { 1.0 };
            let load = LoadReport {
                in_flight: Some(400.0 * part),
                pending_prefill_kilotokens: Some(4_000.0 * part),
                ..LoadReport::default()
            };
            harness.handle(Event::PeerLoadReport {
                endpoint: endpoint_id,
                load: Some(load),
            });
        }
        let actions = harness.submit(request(100, 7_777 + seed));
        assert_eq!(
            (
                started_endpoint(&actions, 100),
                count_final_responses(&actions, 100)
            ),
            (Some(idle), 0),
            "seed {seed}"
        );
    }
}

/// Whatever joins, leaves, drains or moves: nothing is sent to an endpoint that is not listed as ready.
#[test]
fn nothing_is_sent_to_endpoints_that_are_not_ready() {
    let mut harness =
        RouterHarness::new(settings(vec![class(1.0, Idempotency::Idempotent)]), fleet());
    let mut unavailable = std::collections::BTreeSet::new();
    for step in 0..300_u32 {
        let changes = (0..12).map(|number| {
            let index = (step * 37 + number * 61) % (PREFILL_ENDPOINTS + DECODE_ENDPOINTS);
            let id = if index < PREFILL_ENDPOINTS {
                index
            } else {
                FIRST_DECODE_ENDPOINT + index - PREFILL_ENDPOINTS
            };
            let role = if index < PREFILL_ENDPOINTS {
                Role::Prefill
            } else {
                Role::Decode
            };
            let status = [
                EndpointStatus::Ready,
                EndpointStatus::Draining,
                EndpointStatus::Removed,
            ][(step + number) as usize % 3];
            match status {
                EndpointStatus::Ready => unavailable.remove(&id),
                _ => unavailable.insert(id),
            };
            EndpointRecord {
                status,
                cell: (step + number) % 50,
                zone: step % 2,
                ..endpoint(id, role)
            }
        });
        let entries: Vec<EndpointRecord> = changes.collect();
        // The last record of an endpoint is the one that counts.
        for entry in &entries {
            match entry.status {
                EndpointStatus::Ready => unavailable.remove(&entry.endpoint),
                _ => unavailable.insert(entry.endpoint),
            };
        }
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: entries,
        });
        let id = u64::from(step) + 1;
        let sends = harness.submit(request(id, id));
        let prefill = started_endpoint(&sends, id).expect("a prefill endpoint is left");
        assert!(!unavailable.contains(&prefill), "step {step}");
        harness.advance(10 * MS);
        let sends = harness.end_attempt(id, 0, prefill, AttemptStatus::PrefillDone);
        let decode = started_endpoint(&sends, id).expect("a decode endpoint is left");
        assert!(!unavailable.contains(&decode), "step {step}");
        harness.handle(Event::FirstEvent { id, attempt: 1 });
        harness.end_attempt(id, 1, decode, AttemptStatus::Served);
    }
}
