//! The module in fleets that are too large for all servers to be looked at.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

const READERS: EndpointId = 200;
const WRITERS: EndpointId = 400;
const FIRST_WRITER: EndpointId = 1_000;

/// Readers in cells of their own, and writers in cells of four.
fn fleet() -> Vec<EndpointRecord> {
    let readers = (0..READERS).map(|id| EndpointRecord {
        cell: id,
        ..server(id, Role::Prefill)
    });
    let writers = (0..WRITERS).map(|at| EndpointRecord {
        cell: cell_of(at),
        ..server(FIRST_WRITER + at, Role::Decode)
    });
    readers.chain(writers).collect()
}

fn cell_of(writer: EndpointId) -> u32 {
    FIRST_WRITER + writer / 4
}

/// What may have run in one cell may only be sent again there, and the writer that had it drains. A first look has writers
/// that are drawn, seldom one of the three that are left: looks are widened until one is found, while the state is held.
#[test]
fn a_server_that_no_first_look_has_is_found() {
    for seed in 0..10 {
        let keyed = Idempotency::IdempotencyKey {
            scope: DeduplicationScope::Cell,
            window: 3 * SECOND,
        };
        let mut desk = RouterHarness::seeded(settings(vec![class(1.0, keyed)]), fleet(), seed);
        let actions = desk.ask(ask(1, seed));
        let reader = sent_to(&actions, 1).expect("it is read");
        desk.pass(20 * MS);
        let actions = desk.outcome(1, 0, reader, AttemptStatus::PrefillDone);
        let first = sent_to(&actions, 1).expect("it is written");
        desk.pass(5 * MS);
        let drains = EndpointRecord {
            status: EndpointStatus::Draining,
            cell: cell_of(first - FIRST_WRITER),
            ..server(first, Role::Decode)
        };
        desk.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![drains],
        });
        let mut actions = desk.outcome(1, 1, first, AttemptStatus::Reset);
        actions.extend(desk.pass(200 * MS));
        let second = sent_to(&actions, 1).expect("it is sent again, in time");
        assert_eq!(
            cell_of(second - FIRST_WRITER),
            cell_of(first - FIRST_WRITER),
            "seed {seed}"
        );
        assert_eq!(finals(&actions, 1), 0);
    }
}

/// All readers but one are jammed. A request is not refused by what a first look shows, and goes to that one.
#[test]
fn nothing_is_refused_that_a_server_not_looked_at_would_serve() {
    for seed in 0..10 {
        let mut desk = RouterHarness::seeded(
            settings(vec![class(1.0, Idempotency::Idempotent)]),
            fleet(),
            seed,
        );
        for id in 1..=40 {
            desk.serve(ask(id, 1_000 * id), 200 * MS, 10 * MS, 50 * MS);
        }
        let idle = (seed * 17 + 3) as EndpointId % READERS;
        for server in 0..READERS {
            let part = if server == idle { 0.0 } else { 1.0 };
            let load = LoadReport {
                in_flight: Some(400.0 * part),
                pending_prefill_kilotokens: Some(4_000.0 * part),
                ..LoadReport::default()
            };
            desk.hear(Event::PeerLoadReport {
                endpoint: server,
                load: Some(load),
            });
        }
        let actions = desk.ask(ask(100, 7_777 + seed));
        assert_eq!(
            (sent_to(&actions, 100), finals(&actions, 100)),
            (Some(idle), 0),
            "seed {seed}"
        );
    }
}

/// Whatever joins, leaves, drains or moves: nothing is sent to a server that is not in the list as ready.
#[test]
fn nothing_is_sent_to_what_has_left() {
    let mut desk = RouterHarness::new(settings(vec![class(1.0, Idempotency::Idempotent)]), fleet());
    let mut left = std::collections::BTreeSet::new();
    for step in 0..300_u32 {
        let changes = (0..12).map(|number| {
            let at = (step * 37 + number * 61) % (READERS + WRITERS);
            let id = if at < READERS {
                at
            } else {
                FIRST_WRITER + at - READERS
            };
            let role = if at < READERS {
                Role::Prefill
            } else {
                Role::Decode
            };
            let state = [
                EndpointStatus::Ready,
                EndpointStatus::Draining,
                EndpointStatus::Removed,
            ][(step + number) as usize % 3];
            match state {
                EndpointStatus::Ready => left.remove(&id),
                _ => left.insert(id),
            };
            EndpointRecord {
                status: state,
                cell: (step + number) % 50,
                zone: step % 2,
                ..server(id, role)
            }
        });
        let entries: Vec<EndpointRecord> = changes.collect();
        // The last word on a server is the one that counts.
        for entry in &entries {
            match entry.status {
                EndpointStatus::Ready => left.remove(&entry.endpoint),
                _ => left.insert(entry.endpoint),
            };
        }
        desk.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: entries,
        });
        let id = u64::from(step) + 1;
        let sends = desk.ask(ask(id, id));
        let reader = sent_to(&sends, id).expect("a reader is left");
        assert!(!left.contains(&reader), "step {step}");
        desk.pass(10 * MS);
        let sends = desk.outcome(id, 0, reader, AttemptStatus::PrefillDone);
        let writer = sent_to(&sends, id).expect("a writer is left");
        assert!(!left.contains(&writer), "step {step}");
        desk.hear(Event::FirstEvent { id, attempt: 1 });
        desk.outcome(id, 1, writer, AttemptStatus::Served);
    }
}
