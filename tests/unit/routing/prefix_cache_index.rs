//! The prefix table, both ways.

use super::*;

fn ask(session: u64, prefix: u64) -> RequestMetadata {
    RequestMetadata {
        session: Some(session),
        prefix: Some(prefix),
        prompt_tokens: 1_000.0,
        prefix_tokens: 400.0,
        ..RequestMetadata::default()
    }
}

/// What a server keeps is found by server and by text, and goes by age, by room, and with the server.
#[test]
fn both_ways_agree() {
    let mut table = PrefixCacheIndex::default();
    for server in 0..8_u32 {
        table.record_prefill(u64::from(server), server, 1e9, &ask(u64::from(server), 77));
    }
    assert_eq!(table.cached_tokens(&ask(3, 77), 3), 1_000.0);
    assert_eq!(table.cached_tokens(&ask(3, 77), 4), 400.0);
    assert_eq!(table.cached_tokens(&ask(3, 78), 4), 0.0);
    // All that keep the conversation, and some that keep the shared text: others for another seed.
    let holders = |table: &PrefixCacheIndex, seed| table.holders(&ask(3, 77), seed);
    assert!(holders(&table, 0).contains(&3) && holders(&table, 0).len() <= 1 + HOLDERS);
    let all: BTreeSet<EndpointId> = (0..8).flat_map(|seed| holders(&table, seed)).collect();
    assert_eq!(all, (0..8).collect());

    table.expire(2);
    assert_eq!(table.cached_tokens(&ask(2, 77), 2), 0.0);
    table.forget_endpoint(5);
    let all: BTreeSet<EndpointId> = (0..8).flat_map(|seed| holders(&table, seed)).collect();
    assert_eq!(all, BTreeSet::from([3, 4, 6, 7]));

    // There is room for the tokens of one conversation that are in no shared text, and the oldest goes.
    table.record_prefill(20, 9, 1_100.0, &ask(30, 77));
    table.record_prefill(21, 9, 1_100.0, &ask(31, 77));
    assert_eq!(
        (
            table.cached_tokens(&ask(30, 0), 9),
            table.cached_tokens(&ask(31, 0), 9)
        ),
        (0.0, 1_000.0)
    );
    assert!(table.holders(&ask(30, 0), 0).is_empty());

    table.expire(100);
    assert!(
        table.by_server.is_empty() && table.by_text.is_empty(),
        "nothing is left behind"
    );
}

/// A shared text's part of the traffic is told from the last requests only.
#[test]
fn the_part_of_the_traffic_is_that_of_recent_requests() {
    let mut table = PrefixCacheIndex::default();
    (0..100).for_each(|_| table.on_arrival(&ask(1, 7)));
    assert_eq!(
        (
            table.traffic_share(&ask(2, 7)),
            table.traffic_share(&ask(2, 8))
        ),
        (1.0, 0.0)
    );
    (0..15).for_each(|_| table.on_arrival(&ask(1, 8)));
    assert_eq!(
        (
            table.traffic_share(&ask(2, 7)),
            table.traffic_share(&ask(2, 8))
        ),
        (0.5, 0.5)
    );
}
