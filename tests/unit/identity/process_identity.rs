use super::*;
use crate::frontend::identifiers::is_valid_name;
use std::collections::HashSet;

const IDS_PER_PROCESS: usize = 1_000;

fn ids(generator: &RequestIdGenerator) -> Vec<String> {
    (0..IDS_PER_PROCESS).map(|_| generator.next_id()).collect()
}

/// Guards against ids that follow from the configuration and the number of earlier requests (review/6): several
/// processes that start at the same time, with the same configuration, give out different ones.
#[test]
fn processes_that_start_together_give_out_different_request_ids() {
    let processes: Vec<_> = (0..4).map(|_| ProcessIdentity::draw().unwrap()).collect();
    let mut distinct = HashSet::new();
    for process in &processes {
        distinct.extend(ids(&process.request_ids()));
    }
    assert_eq!(distinct.len(), processes.len() * IDS_PER_PROCESS);
}

/// Two users of one process's generator, such as two sessions, give out different ids.
#[test]
fn clones_of_a_generator_share_its_sequence() {
    let process = ProcessIdentity::draw().unwrap();
    let mut distinct: HashSet<String> = HashSet::new();
    distinct.extend(ids(&process.request_ids()));
    distinct.extend(ids(&process.request_ids()));
    assert_eq!(distinct.len(), 2 * IDS_PER_PROCESS);
}

/// Ids stand in the paths of release calls.
#[test]
fn request_ids_need_no_escapes_in_a_path() {
    let id = ProcessIdentity::draw().unwrap().request_ids().next_id();
    assert!(is_valid_name(&id), "{id}");
}
