//! Routing in fleets that are too large for all endpoints to be candidates of each placement.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

const PREFILL_ENDPOINTS: EndpointId = 200;
const DECODE_ENDPOINTS: EndpointId = 400;
const FIRST_DECODE_ENDPOINT: EndpointId = 1_000;

/// A fleet whose prefill endpoints are each in a cell of their own, and whose decode endpoints share cells of
/// four.
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

fn cell_of(decode_index: EndpointId) -> u32 {
    FIRST_DECODE_ENDPOINT + decode_index / 4
}

/// A request that may have run in one cell may be repeated only there, and the decode endpoint that ran it
/// drains. The sample of a first query rarely includes one of the three other endpoints of the cell. The query
/// must be widened until one is found, while the KV cache is still reserved.
#[test]
fn an_endpoint_outside_the_first_query_is_found() {
    for seed in 0..10 {
        let idempotency = Idempotency::IdempotencyKey {
            scope: DeduplicationScope::Cell,
            window: 3 * SECOND,
        };
        let mut harness =
            RouterHarness::seeded(settings(vec![class(1.0, idempotency)]), fleet(), seed);
        let actions = harness.submit(request(1, seed));
        let prefill = started_endpoint(&actions, 1).expect("sent to a prefill endpoint");
        harness.advance(20 * MS);
        let actions = harness.end_attempt(1, 0, prefill, AttemptStatus::PrefillDone);
        let first = started_endpoint(&actions, 1).expect("sent to a decode endpoint");
        harness.advance(5 * MS);
        let draining = EndpointRecord {
            status: EndpointStatus::Draining,
            cell: cell_of(first - FIRST_DECODE_ENDPOINT),
            ..endpoint(first, Role::Decode)
        };
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![draining],
        });
        let mut actions = harness.end_attempt(1, 1, first, AttemptStatus::Reset);
        actions.extend(harness.advance(200 * MS));
        let second =
            started_endpoint(&actions, 1).expect("sent to a second decode endpoint in time");
        assert_eq!(
            cell_of(second - FIRST_DECODE_ENDPOINT),
            cell_of(first - FIRST_DECODE_ENDPOINT),
            "seed {seed}"
        );
        assert_eq!(count_final_responses(&actions, 1), 0);
    }
}

/// All prefill endpoints but one are overloaded. A request must go to that one, and must not be shed because the
/// candidates of the first query are all overloaded.
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
            let load_factor = if endpoint_id == idle { 0.0 } else { 1.0 };
            let load = LoadReport {
                in_flight: Some(400.0 * load_factor),
                pending_prefill_kilotokens: Some(4_000.0 * load_factor),
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

/// While endpoints join, leave, drain and move, nothing is sent to one that isn't listed as ready.
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
        let records: Vec<EndpointRecord> = changes.collect();
        // If an endpoint has several records, the last one applies.
        for record in &records {
            match record.status {
                EndpointStatus::Ready => unavailable.remove(&record.endpoint),
                _ => unavailable.insert(record.endpoint),
            };
        }
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: records,
        });
        let id = u64::from(step) + 1;
        let actions = harness.submit(request(id, id));
        let prefill = started_endpoint(&actions, id).expect("a prefill endpoint is ready");
        assert!(!unavailable.contains(&prefill), "step {step}");
        harness.advance(10 * MS);
        let actions = harness.end_attempt(id, 0, prefill, AttemptStatus::PrefillDone);
        let decode = started_endpoint(&actions, id).expect("a decode endpoint is ready");
        assert!(!unavailable.contains(&decode), "step {step}");
        harness.handle(Event::FirstEvent { id, attempt: 1 });
        harness.end_attempt(id, 1, decode, AttemptStatus::Served);
    }
}
