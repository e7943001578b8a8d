use super::*;
use quickcheck::{Gen, QuickCheck};

const START: Time = 1_700_000_000_000_000;

fn load(in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        kv_memory_share: Some(0.5),
        ..LoadReport::default()
    }
}

fn gossip() -> Gossip {
    Gossip::new(100, 0.0028)
}

fn told(of: &mut Gossip, now: Time) -> Vec<u8> {
    (0..20).for_each(|_| of.on_request());
    of.next_message(now).unwrap_or_default()
}

#[test]
fn a_surprise_is_told_and_what_is_as_believed_is_not() {
    let (mut one, mut other) = (gossip(), gossip());
    one.record_load(START, 7, 0xabcdef12, &load(1.0));
    assert_eq!(told(&mut one, START), []);
    one.record_load(START, 7, 0xabcdef12, &load(30.0));
    let message = told(&mut one, START);
    let observations = other.receive(START + 30_000, 4, &message).unwrap();
    assert_eq!(
        observations,
        [Observation {
            key: 0xcdef12,
            load: Some(load(30.0))
        }]
    );
    other.accept(START + 30_000, 3, &observations[0]);
    other.record_load(START + 40_000, 3, 0xabcdef12, &load(29.0));
    assert_eq!(told(&mut other, START + 40_000), [], "all have heard that");
    one.record_load(START + BELIEVED + 1, 7, 0xabcdef12, &load(30.0));
    assert_ne!(
        told(&mut one, START + BELIEVED + 1),
        [],
        "what was told long ago is told again"
    );
}

#[test]
fn failures_come_first_where_not_all_can_be_afforded() {
    let (mut one, mut other) = (gossip(), gossip());
    (0..20).for_each(|server| one.record_load(START, server, u64::from(server), &load(50.0)));
    one.record_failure(99);
    (0..4).for_each(|_| one.on_request());
    let observations = other
        .receive(START, 0, &one.next_message(START).unwrap())
        .unwrap();
    assert!(
        observations.len() < 10
            && observations[0]
                == Observation {
                    key: 99,
                    load: None
                },
        "{observations:?}"
    );
    (0..60).for_each(|server| one.record_failure(server));
    let observations = other
        .receive(
            START + 20_000,
            0,
            &one.next_message(START + 20_000).unwrap(),
        )
        .unwrap();
    assert!(
        observations.len() < 10
            && observations
                .iter()
                .all(|observation| observation.load.is_none()),
        "{observations:?}"
    );
    one.record_failure(99);
    assert_eq!(one.next_message(START), None, "nothing is left to spend");
}

#[test]
fn telling_costs_no_more_than_its_part_of_the_requests() {
    for (failures, least, most) in [(false, 0.001, 0.0021), (true, 0.005, 0.0101)] {
        let mut one = gossip();
        let mut bytes = 0;
        for request in 0..1000 {
            one.on_request();
            (0..50).for_each(|server| {
                one.record_load(
                    START + request,
                    server,
                    server.into(),
                    &load((request % 2 * 80) as f64),
                )
            });
            (0..50)
                .filter(|_| failures)
                .for_each(|server| one.record_failure(server));
            bytes += one
                .next_message(START + request)
                .map_or(0, |message| message.len());
        }
        let cost = bytes as f64 * 99.0 / 256.0 * 0.0028 / 1000.0;
        assert!(
            (least..=most).contains(&cost),
            "{cost} a request, failures {failures}"
        );
    }
}

#[test]
fn what_is_spoilt_stale_or_repeated_is_dropped_and_counted() {
    let (mut one, mut other) = (gossip(), gossip());
    one.record_failure(5);
    let message = told(&mut one, START);
    assert_eq!(
        other.receive(START + 3_000_000, 1, &message),
        Err(DropReason::Stale)
    );
    assert_eq!(
        other.receive(START - 1_000_000, 1, &message),
        Err(DropReason::Stale)
    );
    assert!(other.receive(START + 1_000_000, 1, &message).is_ok());
    assert_eq!(
        other.receive(START + 1_100_000, 1, &message),
        Err(DropReason::Repeated)
    );
    assert!(
        other.receive(START + 1_100_000, 2, &message).is_ok(),
        "another has the same time"
    );
    assert_eq!(
        other.receive(START, 100, &message),
        Err(DropReason::Malformed),
        "an unknown sender"
    );
    for cut in 0..message.len() {
        assert_eq!(
            other.receive(START, 3, &message[..cut]),
            Err(DropReason::Malformed)
        );
    }
    assert_eq!(other.dropped(), 4 + message.len() as u64);
}

#[test]
fn garbage_is_dropped_or_read_within_bounds() {
    fn holds(bytes: Vec<u8>, stamp: u16) -> bool {
        let mut message = vec![MARK];
        message.extend(stamp.to_be_bytes());
        message.extend(&bytes);
        let all = |message: &[u8]| {
            gossip()
                .receive(START, 1, message)
                .into_iter()
                .flatten()
                .all(|observation| {
                    let load = observation.load.unwrap_or_default();
                    observation.key <= 0x00ff_ffff
                        && load.in_flight.unwrap_or(0.0) <= MOST_IN_FLIGHT
                        && load.kv_memory_share.unwrap_or(0.0) <= 1.0
                })
        };
        all(&message) && all(&bytes)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 7))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, u16) -> bool);
}
