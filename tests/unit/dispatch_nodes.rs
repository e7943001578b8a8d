//! The nodes' table by itself.

use super::*;
use slog::{o, Discard};

fn member(name: &str, key: u64, state: State) -> Member {
    let entry = Entry { key, state, ..Entry::default() };
    Member {
        name: name.into(),
        address: format!("127.0.0.1:{}", 7_000 + name.len()).into(),
        entry,
        partial: false,
    }
}

/// Others know a server by a part of its key. Two that share it are not told apart; when one of them has gone, the other
/// one is meant; and one that has gone is never meant, whatever came before.
#[test]
fn a_server_is_known_by_its_hash_while_it_is_alone_in_it() {
    let log = Logger::root(Discard, o!());
    let mut nodes = Nodes::default();
    let list = |nodes: &mut Nodes, named: &[(&str, u64)]| {
        let members = named.iter().map(|(name, key)| member(name, *key, State::Ready)).collect();
        nodes.list(true, members, &log);
        nodes.forget_gone(&HashSet::new());
    };
    let name =
        |nodes: &Nodes, hash| nodes.by_hash(hash).and_then(|it| nodes.get(it)).map(|it| it.name.to_string());
    // The upper part of a key is not told.
    let same = 7 + (1 << 40);
    list(&mut nodes, &[("a", 7), ("bb", 9)]);
    assert_eq!((name(&nodes, 7).as_deref(), name(&nodes, 9).as_deref()), (Some("a"), Some("bb")));
    assert_eq!(name(&nodes, 8), None);
    list(&mut nodes, &[("a", 7), ("bb", 9), ("ccc", same)]);
    assert_eq!((name(&nodes, 7), name(&nodes, 9).as_deref()), (None, Some("bb")));
    list(&mut nodes, &[("bb", 9), ("ccc", same)]);
    assert_eq!(name(&nodes, 7).as_deref(), Some("ccc"));
    list(&mut nodes, &[("bb", 9)]);
    assert_eq!(name(&nodes, 7), None);
    list(&mut nodes, &[]);
    assert!(nodes.hashed.is_empty(), "nothing is left behind");
}
