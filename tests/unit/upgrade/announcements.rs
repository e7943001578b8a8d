use super::*;
use crate::config::fnv1a_hash;
use crate::upgrade::test_support::{TemporaryFolder, DISPATCHER_NAME};

fn publish(folder: &TemporaryFolder, now: u64) -> ProcessAnnouncements {
    ProcessAnnouncements::publish(folder.shared(), now).unwrap()
}

#[test]
fn live_processes_see_each_other_and_files_of_dead_ones_are_removed() {
    let folder = TemporaryFolder::new("live");
    let mut predecessor = publish(&folder, 1);
    assert_eq!(
        predecessor.peer_processes(),
        PeerProcesses {
            share: 1,
            processes: 1,
            predecessor: false,
            successor: None,
            serving: None,
        }
    );
    let successor = publish(&folder, 2);
    assert!(successor.peer_processes().predecessor);
    assert!(predecessor.needs_scan());
    predecessor.scan().unwrap();
    assert_eq!(predecessor.peer_processes().successor, Some(2));
    drop(successor);
    let prefix = format!("quartzhall-{:016x}", fnv1a_hash(DISPATCHER_NAME));
    let unlocked = folder.path.join(format!("{prefix}-{:020}-7.notice", 3));
    fs::write(&unlocked, "1 2 3").unwrap();
    predecessor.scan().unwrap();
    assert_eq!(
        predecessor.peer_processes().processes,
        1,
        "an unlocked announcement belongs to a dead process"
    );
    assert_eq!(fs::read_dir(&folder.path).unwrap().count(), 1);
}

/// The wall clock is set back by an hour between two starts. The process that starts second is the successor although the
/// clock shows an earlier time.
#[test]
fn process_that_starts_after_the_clock_was_set_back_is_the_successor() {
    let folder = TemporaryFolder::new("clock");
    let hour = 3_600_000_000;
    let mut predecessor = publish(&folder, 10 * hour);
    let successor = publish(&folder, 9 * hour);
    predecessor.scan().unwrap();
    let seen_by_successor = successor.peer_processes();
    assert!(seen_by_successor.predecessor && seen_by_successor.successor.is_none());
    let seen_by_predecessor = predecessor.peer_processes();
    assert!(!seen_by_predecessor.predecessor);
    assert_eq!(
        seen_by_predecessor.successor,
        Some(successor.own().started_at)
    );
}

#[test]
fn temporary_ban_file_of_a_killed_process_is_removed() {
    let folder = TemporaryFolder::new("temporary-bans");
    let mut announcements = publish(&folder, 1);
    let file_of_killed = folder.shared().temporary_bans(1, 1);
    let own_file = folder.shared().temporary_bans(1, std::process::id());
    fs::write(&file_of_killed, "{\"version\":1,\"ma").unwrap();
    fs::write(&own_file, "").unwrap();
    announcements.scan().unwrap();
    assert!(!file_of_killed.exists() && own_file.exists());
}

#[test]
fn announcement_that_could_not_be_finished_leaves_no_file() {
    let folder = TemporaryFolder::new("unfinished");
    // A folder has the announcement's name, so that the rename fails.
    fs::create_dir(folder.shared().announcement(1)).unwrap();
    assert!(ProcessAnnouncements::publish(folder.shared(), 1).is_err());
    assert!(!folder.shared().start_time_claim(1).exists());
}

/// Streams go to the youngest process that serves, even if it is older than the sender. Only if none serves do they go
/// to a successor that is starting or leaving.
#[test]
fn streams_go_to_a_process_that_serves() {
    let folder = TemporaryFolder::new("receiver");
    let mut first = publish(&folder, 1);
    let mut second = publish(&folder, 2);
    let mut third = publish(&folder, 3);
    let set_state = |process: &mut ProcessAnnouncements, state| {
        let own = process.own();
        process
            .update(ProcessAnnouncement { state, ..own })
            .unwrap();
    };
    let receiver = |process: &mut ProcessAnnouncements| {
        process.scan().unwrap();
        process.peer_processes().stream_receiver()
    };
    assert_eq!(
        receiver(&mut first),
        Some(3),
        "none serves, so the youngest one receives"
    );
    assert_eq!(receiver(&mut third), None);
    set_state(&mut second, ProcessState::Serving);
    assert_eq!(receiver(&mut first), Some(2));
    assert_eq!(receiver(&mut third), Some(2), "an older process serves");
    set_state(&mut third, ProcessState::Serving);
    assert_eq!(receiver(&mut first), Some(3));
    set_state(&mut third, ProcessState::Leaving);
    assert_eq!(receiver(&mut first), Some(2));
}
