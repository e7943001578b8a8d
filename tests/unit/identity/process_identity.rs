use super::*;
use crate::frontend::identifiers::is_valid_name;
use std::collections::HashSet;

/// All processes of a test have the same configuration.
const CONFIGURED_SEED: u64 = 0x8c1f;
const IDS_PER_PROCESS: usize = 1_000;

fn ids(generator: &RequestIdGenerator) -> Vec<String> {
    (0..IDS_PER_PROCESS).map(|_| generator.next_id()).collect()
}

/// Guards against ids that follow from the configuration and the number of earlier requests (review/6): several
/// processes that start at the same time, with the same configuration, give out different ones.
#[test]
fn processes_that_start_together_give_out_different_request_ids() {
    let processes: Vec<_> = (0..4)
        .map(|_| ProcessIdentity::draw(CONFIGURED_SEED).unwrap())
        .collect();
    let mut distinct = HashSet::new();
    for process in &processes {
        distinct.extend(ids(&process.request_ids()));
    }
    assert_eq!(distinct.len(), processes.len() * IDS_PER_PROCESS);
}

/// Two users of one process's generator, such as two sessions, give out different ids.
#[test]
fn clones_of_a_generator_share_its_sequence() {
    let process = ProcessIdentity::draw(CONFIGURED_SEED).unwrap();
    let mut distinct: HashSet<String> = HashSet::new();
    distinct.extend(ids(&process.request_ids()));
    distinct.extend(ids(&process.request_ids()));
    assert_eq!(distinct.len(), 2 * IDS_PER_PROCESS);
}

/// Ids stand in the paths of release calls.
#[test]
fn request_ids_need_no_escapes_in_a_path() {
    let id = ProcessIdentity::draw(CONFIGURED_SEED)
        .unwrap()
        .request_ids()
        .next_id();
    assert!(is_valid_name(&id), "{id}");
}

/// Guards against random choices that follow from the configuration: processes of one configuration have different
/// seeds, and so have the uses of one process.
#[test]
fn each_process_and_each_use_has_a_seed_of_its_own() {
    let mut distinct = HashSet::from([CONFIGURED_SEED]);
    for _ in 0..4 {
        let process = ProcessIdentity::draw(CONFIGURED_SEED).unwrap();
        let routing = process.seed(RandomSource::Routing);
        assert_eq!(routing, process.seed(RandomSource::Routing));
        distinct.insert(routing);
        distinct.insert(process.seed(RandomSource::Discovery));
    }
    assert_eq!(distinct.len(), 1 + 4 * 2);
}
