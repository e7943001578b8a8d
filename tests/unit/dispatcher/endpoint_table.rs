//! Tests of the endpoint table alone: gossip hashes, and start times under clock differences.

use super::*;
use crate::dispatcher::DiscoveredEndpoint;
use slog::{o, Discard, Logger};

/// Returns an endpoint whose port follows from the length of `name`.
fn discovered(name: &str, key: u64, status: EndpointStatus) -> DiscoveredEndpoint {
    let record = EndpointRecord {
        key,
        status,
        ..EndpointRecord::default()
    };
    DiscoveredEndpoint {
        id: name.into(),
        address: format!("127.0.0.1:{}", 7_000 + name.len()).into(),
        record,
        is_partial: false,
    }
}

/// Other dispatchers know an endpoint by a part of its key. A hash that two endpoints share must match neither. When one of
/// them has been removed, the hash must match the other one. It must never match a removed endpoint.
#[test]
fn an_endpoint_is_known_by_its_gossip_hash_while_no_other_shares_it() {
    let report = Report::new(0, Logger::root(Discard, o!()));
    let mut endpoints = EndpointTable::default();
    let replace_list = |endpoints: &mut EndpointTable, named: &[(&str, u64)]| {
        let list = named
            .iter()
            .map(|(name, key)| discovered(name, *key, EndpointStatus::Ready))
            .collect();
        endpoints.replace_list(0, list, &report);
        endpoints.forget_removed(&HashSet::new());
    };
    let name = |endpoints: &EndpointTable, hash| {
        endpoints
            .by_gossip_hash(hash)
            .and_then(|number| endpoints.get(number))
            .map(|endpoint| endpoint.id.to_string())
    };
    // Gossip sends only the lower 24 bits of a key.
    let colliding_key = 7 + (1 << 40);
    replace_list(&mut endpoints, &[("a", 7), ("bb", 9)]);
    assert_eq!(
        (
            name(&endpoints, 7).as_deref(),
            name(&endpoints, 9).as_deref()
        ),
        (Some("a"), Some("bb"))
    );
    assert_eq!(name(&endpoints, 8), None);
    replace_list(
        &mut endpoints,
        &[("a", 7), ("bb", 9), ("ccc", colliding_key)],
    );
    assert_eq!(
        (name(&endpoints, 7), name(&endpoints, 9).as_deref()),
        (None, Some("bb"))
    );
    replace_list(&mut endpoints, &[("bb", 9), ("ccc", colliding_key)]);
    assert_eq!(name(&endpoints, 7).as_deref(), Some("ccc"));
    replace_list(&mut endpoints, &[("bb", 9)]);
    assert_eq!(name(&endpoints, 7), None);
    replace_list(&mut endpoints, &[]);
    assert!(
        endpoints.by_gossip_hash.is_empty(),
        "the hash of a removed endpoint is still in the table"
    );
}

/// A wall clock is stepped by an hour, at the endpoint or here. An endpoint that has just started must not count as warm. One
/// that has run for long must not be in slow start for an hour.
#[test]
fn the_start_of_an_endpoint_is_bounded_by_when_it_was_reported() {
    const SECOND: Time = 1_000_000;
    const HOUR: Time = 3_600 * SECOND;
    let report = Report::new(0, Logger::root(Discard, o!()));
    let started = |endpoints: &EndpointTable| {
        endpoints
            .get(0)
            .and_then(|endpoint| endpoint.effective_record().started_at)
    };
    let update_list = |endpoints: &mut EndpointTable, now, started_at| {
        let mut discovered = discovered("a", 7, EndpointStatus::Ready);
        discovered.record.started_at = Some(started_at);
        endpoints.update_list(now, vec![discovered], &report);
    };
    let (mut endpoints, now) = (EndpointTable::default(), 100 * HOUR);
    // The first list may report any start in the past.
    update_list(&mut endpoints, now, 99 * HOUR);
    assert_eq!(started(&endpoints), Some(99 * HOUR));
    for reported in [99 * HOUR + 7, 101 * HOUR + 7] {
        let received = now + 10 * SECOND;
        update_list(&mut endpoints, received, reported);
        assert!(
            (received - 6 * SECOND..=received).contains(&started(&endpoints).unwrap()),
            "{reported}"
        );
        // The corrected start doesn't change when the list reports the same start again.
        let before = started(&endpoints);
        update_list(&mut endpoints, received + 5 * SECOND, reported);
        assert_eq!(started(&endpoints), before);
    }
    // When the clocks agree, the reported start counts.
    update_list(&mut endpoints, now + 30 * SECOND, now + 28 * SECOND);
    assert_eq!(started(&endpoints), Some(now + 28 * SECOND));
    // A start in the future counts as now, also in the first list.
    let mut first = EndpointTable::default();
    update_list(&mut first, now, 101 * HOUR);
    assert_eq!(started(&first), Some(now));
}
