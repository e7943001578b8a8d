use super::*;
use crate::config::{Deployment, SettingsObject};
use slog::{o, Discard};

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn folder(name: &str) -> Folder {
    let path =
        std::env::temp_dir().join(format!("quartzhall-handover-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    Folder(path)
}

fn post(folder: &Folder, born: u64) -> UpgradeCoordinator {
    UpgradeCoordinator::start(&folder.0, "n1", born, Logger::root(Discard, o!())).unwrap()
}

fn marks(at: u64) -> BanRecords {
    BanRecords::from([(Arc::from("r1"), BanRecord { at, banned: true })])
}

struct Free;

impl ResourceLimits for Free {
    fn set(&self, _: u32) -> u32 {
        0
    }
}

/// A predecessor's word that comes between a successor's first look and its task is heard all the same.
#[tokio::test(start_paused = true)]
async fn a_ban_that_comes_as_a_process_starts_is_heard() {
    let folder = folder("starts");
    let (old, mut new) = (post(&folder, 1), post(&folder, 2));
    fs::write(old.bans_path(), "{\"version\":").unwrap();
    assert_eq!(new.read_changed_bans(), Some(BanRecords::new()));
    old.write_bans(&marks(5)).unwrap();
    let profile: SettingsObject = json::from_str("{}").unwrap();
    let (door, mut inbox) =
        crate::dispatcher::channel(Arc::new(Deployment::new(&profile).unwrap()));
    let (_phase, phase) = watch::channel(ProcessState::Starting);
    let (view, _seen) = watch::channel(PeerProcesses::default());
    tokio::spawn(run(new, Free, door, phase, view));
    let heard = async {
        loop {
            if let Some(Event::BanRecordsReceived(told)) = inbox.recv().await {
                return told;
            }
        }
    };
    assert_eq!(
        tokio::time::timeout(Duration::from_secs(5), heard)
            .await
            .expect("heard"),
        marks(5)
    );
}

#[test]
fn processes_see_each_other_and_not_the_dead() {
    let folder = folder("see");
    let mut old = post(&folder, 1);
    assert_eq!(
        old.peer_processes(),
        PeerProcesses {
            share: 1,
            processes: 1,
            predecessor: false,
            successor: None
        }
    );
    let new = post(&folder, 2);
    assert!(new.peer_processes().predecessor);
    assert!(old.needs_scan());
    old.scan_announcements().unwrap();
    assert_eq!(old.peer_processes().successor, Some(2));
    drop(new);
    fs::write(
        folder.0.join(format!("{}-{:020}-7.notice", old.name, 3)),
        "1 2 3",
    )
    .unwrap();
    old.scan_announcements().unwrap();
    assert_eq!(
        old.peer_processes().processes,
        1,
        "a notice that nobody holds is a dead one's"
    );
    assert_eq!(fs::read_dir(&folder.0).unwrap().count(), 1);
}

#[test]
fn the_file_of_bans_is_read_as_written_and_nothing_is_lifted_by_another() {
    let both = BanRecords::from([
        (
            Arc::from("a"),
            BanRecord {
                at: 5,
                banned: true,
            },
        ),
        (
            Arc::from("b \"x\""),
            BanRecord {
                at: 6,
                banned: false,
            },
        ),
    ]);
    assert_eq!(parse_marks(&marks_text(&both)), Ok(both.clone()));
    for bad in [
        "",
        "{}",
        "{\"version\":2,\"marks\":[]}",
        "{\"version\":1,\"marks\":[{\"id\":7}]}",
    ] {
        assert!(parse_marks(bad).is_err(), "{bad}");
    }
    // Who finds its word missing writes it again; who knows no more than the file says writes nothing.
    assert_eq!(merged(&both, &BanRecords::new()), Some(both.clone()));
    assert_eq!(merged(&both, &both), None);
    assert_eq!(merged(&BanRecords::new(), &marks(5)), None);
    let newer = BanRecords::from([(
        Arc::from("a"),
        BanRecord {
            at: 9,
            banned: false,
        },
    )]);
    assert_eq!(
        merged(&both, &newer).unwrap()["a"],
        BanRecord {
            at: 9,
            banned: false
        }
    );
}

/// The wall clock is set back by an hour between two starts: who comes later is the successor all the same.
#[test]
fn a_process_that_starts_after_the_clock_was_set_back_is_the_successor() {
    let folder = folder("back");
    let hour = 3_600_000_000;
    let mut old = post(&folder, 10 * hour);
    let new = post(&folder, 9 * hour);
    old.scan_announcements().unwrap();
    assert!(new.peer_processes().predecessor && new.peer_processes().successor.is_none());
    assert!(!old.peer_processes().predecessor);
    assert_eq!(old.peer_processes().successor, Some(new.own.started_at));
}

/// The file can't be written for a while: what operators were promised is written as soon as it can be.
#[tokio::test(start_paused = true)]
async fn a_ban_that_could_not_be_written_is_written_later() {
    let folder = folder("fails");
    let handover = post(&folder, 1);
    let path = handover.bans_path();
    // A folder with something in it can't be replaced by a file.
    fs::create_dir_all(path.join("full")).unwrap();
    let profile: SettingsObject = json::from_str("{}").unwrap();
    let (door, inbox) = crate::dispatcher::channel(Arc::new(Deployment::new(&profile).unwrap()));
    let (_phase, phase) = watch::channel(ProcessState::Serving);
    let (view, _seen) = watch::channel(PeerProcesses::default());
    tokio::spawn(run(handover, Free, door, phase, view));
    inbox.ban_records.send_replace(marks(5));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(path.is_dir());
    fs::remove_dir_all(&path).unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        parse_marks(&fs::read_to_string(&path).unwrap()),
        Ok(marks(5))
    );
}

/// What can't be read was not read: it is read when it can be.
#[test]
fn bans_that_could_not_be_read_are_read_later() {
    let folder = folder("unread");
    let (old, mut new) = (post(&folder, 1), post(&folder, 2));
    fs::create_dir_all(new.bans_path()).unwrap();
    assert_eq!(new.read_changed_bans(), None);
    fs::remove_dir(new.bans_path()).unwrap();
    old.write_bans(&marks(5)).unwrap();
    assert_eq!(new.read_changed_bans(), Some(marks(5)));
}

#[test]
fn what_a_killed_process_left_half_done_goes() {
    let folder = folder("half");
    let mut handover = post(&folder, 1);
    let left = folder.0.join(format!("{}-1{NEW_BANS}", handover.name));
    let own = folder.0.join(format!(
        "{}-{}{NEW_BANS}",
        handover.name,
        std::process::id()
    ));
    fs::write(&left, "{\"version\":1,\"ma").unwrap();
    fs::write(&own, "").unwrap();
    handover.scan_announcements().unwrap();
    assert!(!left.exists() && own.exists());
}

#[tokio::test]
async fn a_socket_that_a_dead_process_left_is_replaced() {
    let folder = folder("socket");
    let handover = post(&folder, 1);
    drop(UnixListener::bind(handover.stream_socket_path()(handover.own.started_at)).unwrap());
    assert!(handover.listen().is_ok());
}
