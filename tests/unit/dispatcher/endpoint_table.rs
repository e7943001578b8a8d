//! The nodes' table by itself.

use super::*;
use slog::{o, Discard};

fn member(name: &str, key: u64, state: EndpointStatus) -> DiscoveredEndpoint {
    let entry = EndpointRecord {
        key,
        status: state,
        ..EndpointRecord::default()
    };
    DiscoveredEndpoint {
        id: name.into(),
        address: format!("127.0.0.1:{}", 7_000 + name.len()).into(),
        record: entry,
        is_partial: false,
    }
}

/// Others know a server by a part of its key. Two that share it are not told apart; when one of them has gone, the other
/// one is meant; and one that has gone is never meant, whatever came before.
#[test]
fn a_server_is_known_by_its_hash_while_it_is_alone_in_it() {
    let log = Logger::root(Discard, o!());
    let mut nodes = EndpointTable::default();
    let list = |nodes: &mut EndpointTable, named: &[(&str, u64)]| {
        let members = named
            .iter()
            .map(|(name, key)| member(name, *key, EndpointStatus::Ready))
            .collect();
        nodes.list(0, true, members, &log);
        nodes.forget_gone(&HashSet::new());
    };
    let name = |nodes: &EndpointTable, hash| {
        nodes
            .by_hash(hash)
            .and_then(|it| nodes.get(it))
            .map(|it| it.name.to_string())
    };
    // The upper part of a key is not told.
    let same = 7 + (1 << 40);
    list(&mut nodes, &[("a", 7), ("bb", 9)]);
    assert_eq!(
        (name(&nodes, 7).as_deref(), name(&nodes, 9).as_deref()),
        (Some("a"), Some("bb"))
    );
    assert_eq!(name(&nodes, 8), None);
    list(&mut nodes, &[("a", 7), ("bb", 9), ("ccc", same)]);
    assert_eq!(
        (name(&nodes, 7), name(&nodes, 9).as_deref()),
        (None, Some("bb"))
    );
    list(&mut nodes, &[("bb", 9), ("ccc", same)]);
    assert_eq!(name(&nodes, 7).as_deref(), Some("ccc"));
    list(&mut nodes, &[("bb", 9)]);
    assert_eq!(name(&nodes, 7), None);
    list(&mut nodes, &[]);
    assert!(nodes.hashed.is_empty(), "nothing is left behind");
}

/// A wall clock was stepped by an hour, there or here: a server that has just started is not taken for warm, and one that runs
/// for long is not cold for an hour.
#[test]
fn the_age_of_a_server_is_bounded_by_when_its_start_was_heard_of() {
    const SECOND: Time = 1_000_000;
    const HOUR: Time = 3_600 * SECOND;
    let log = Logger::root(Discard, o!());
    let started = |nodes: &EndpointTable| nodes.get(0).and_then(|it| it.entry().started_at);
    let list = |nodes: &mut EndpointTable, now, at| {
        let mut member = member("a", 7, EndpointStatus::Ready);
        member.record.started_at = Some(at);
        nodes.list(now, false, vec![member], &log);
    };
    let (mut nodes, now) = (EndpointTable::default(), 100 * HOUR);
    // At first nothing but the list tells; a start to come is none.
    list(&mut nodes, now, 99 * HOUR);
    assert_eq!(started(&nodes), Some(99 * HOUR));
    for told in [99 * HOUR + 7, 101 * HOUR + 7] {
        let heard = now + 10 * SECOND;
        list(&mut nodes, heard, told);
        assert!(
            (heard - 6 * SECOND..=heard).contains(&started(&nodes).unwrap()),
            "{told}"
        );
        // It ages by this process's clock, however often the list tells of it.
        let before = started(&nodes);
        list(&mut nodes, heard + 5 * SECOND, told);
        assert_eq!(started(&nodes), before);
    }
    // Where the clocks agree, what is told holds.
    list(&mut nodes, now + 30 * SECOND, now + 28 * SECOND);
    assert_eq!(started(&nodes), Some(now + 28 * SECOND));
    let mut first = EndpointTable::default();
    list(&mut first, now, 101 * HOUR);
    assert_eq!(started(&first), Some(now));
}
