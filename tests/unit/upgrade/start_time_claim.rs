//! Guards against two live processes with one start time. Each would take itself for the predecessor, so that both keep
//! the smallest share of the limits, and would remove the other's stream socket.

use super::*;
use crate::upgrade::announcements::ProcessAnnouncements;
use crate::upgrade::process_announcement::ProcessState;
use crate::upgrade::resource_shares;
use crate::upgrade::test_support::TemporaryFolder;

fn acquire(folder: &TemporaryFolder, now: u64) -> StartTimeClaim {
    StartTimeClaim::acquire(&folder.shared(), now).unwrap()
}

/// Two processes read the same time from the clock, and neither has announced itself when the other looks.
#[test]
fn processes_that_start_in_one_microsecond_have_different_start_times() {
    let folder = TemporaryFolder::new("claim-together");
    let first = acquire(&folder, 5);
    let second = acquire(&folder, 5);
    let third = acquire(&folder, 5);
    let started_at = [&first, &second, &third].map(StartTimeClaim::started_at);
    assert_eq!(started_at, [5, 6, 7]);
}

/// The other process announces itself after this one has listed the folder and before it creates its file.
#[test]
fn start_time_that_was_announced_meanwhile_is_not_claimed() {
    let folder = TemporaryFolder::new("claim-announced");
    let other = ProcessAnnouncements::publish(folder.shared(), 5).unwrap();
    for started_at in [4, 5] {
        let claim = StartTimeClaim::try_acquire(&folder.shared(), started_at).unwrap();
        assert!(claim.is_none(), "{started_at}");
        assert!(!folder.shared().start_time_claim(started_at).exists());
    }
    drop(other);
    assert_eq!(acquire(&folder, 5).started_at(), 5, "free after its end");
}

/// A process was killed while it had a claim; the next one starts after the clock was set back to the same time.
#[test]
fn claim_of_a_killed_process_is_passed_over() {
    let folder = TemporaryFolder::new("claim-killed");
    fs::write(folder.shared().start_time_claim(5), "").unwrap();
    let announced = ProcessAnnouncements::publish(folder.shared(), 5).unwrap();
    assert_eq!(announced.own().started_at, 6);
}

#[test]
fn claim_that_is_given_up_is_free_again() {
    let folder = TemporaryFolder::new("claim-dropped");
    drop(acquire(&folder, 5));
    assert_eq!(acquire(&folder, 5).started_at(), 5);
}

/// An announcement with the last possible start time, which no dispatcher writes, leaves no time free.
#[test]
fn claim_fails_if_no_start_time_is_left() {
    let folder = TemporaryFolder::new("claim-last");
    let path = folder.shared().announcement(u64::MAX);
    let file = File::create(path).unwrap();
    file.lock().unwrap();
    assert!(StartTimeClaim::acquire(&folder.shared(), 5).is_err());
}

/// Of two processes that start in one microsecond, one is the successor, so that together they use all of the limits.
#[test]
fn processes_that_start_in_one_microsecond_divide_the_limits() {
    let folder = TemporaryFolder::new("claim-shares");
    let mut first = ProcessAnnouncements::publish(folder.shared(), 5).unwrap();
    let second = ProcessAnnouncements::publish(folder.shared(), 5).unwrap();
    first.scan().unwrap();
    assert!(first.peer_processes().successor.is_some());
    assert!(second.peer_processes().predecessor);
    let mut own = second.own();
    own.state = ProcessState::Serving;
    let share = resource_shares::target_share(&own, second.others());
    assert!(share > resource_shares::STARTING_SHARE, "{share}");
}
