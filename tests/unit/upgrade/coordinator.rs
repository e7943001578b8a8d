use super::*;
use crate::config::{Deployment, SettingsObject};
use crate::dispatcher::EventReceiver;
use crate::upgrade::ban_file::parse_records;
use crate::upgrade::test_support::{single_ban, TemporaryFolder};
use miniserde::json;
use std::sync::Arc;

/// Limits on which no test depends.
struct UnusedLimits;

impl ResourceLimits for UnusedLimits {
    fn apply_share(&self, _: u32) -> u32 {
        0
    }
}

struct RunningCoordinator {
    events: EventReceiver,
    _set_state: watch::Sender<ProcessState>,
    _peer_processes: watch::Receiver<PeerProcesses>,
}

/// Runs the coordinator. The caller receives the events that it sends to the dispatcher.
fn spawn_coordinator(coordinator: UpgradeCoordinator, state: ProcessState) -> RunningCoordinator {
    let settings: SettingsObject = json::from_str("{}").unwrap();
    let deployment = Arc::new(Deployment::new(&settings).unwrap());
    let (dispatcher, events) = crate::dispatcher::channel(deployment);
    let (set_state, process_state) = watch::channel(state);
    let (set_peers, peer_processes) = watch::channel(PeerProcesses::default());
    tokio::spawn(run(
        coordinator,
        UnusedLimits,
        dispatcher,
        process_state,
        set_peers,
    ));
    RunningCoordinator {
        events,
        _set_state: set_state,
        _peer_processes: peer_processes,
    }
}

/// The predecessor writes the ban file after the successor has read it at startup and before the successor's
/// coordinator runs.
#[tokio::test(start_paused = true)]
async fn ban_recorded_while_a_process_starts_is_received() {
    let folder = TemporaryFolder::new("starting");
    let predecessor = folder.start_coordinator(1);
    let mut successor = folder.start_coordinator(2);
    fs::write(folder.shared().bans(), "{\"version\":").unwrap();
    assert_eq!(successor.read_changed_bans(), Some(BanRecords::new()));
    predecessor.ban_file.write(&single_ban(5)).unwrap();
    let mut running = spawn_coordinator(successor, ProcessState::Starting);
    let receive_bans = async {
        loop {
            if let Some(Event::BanRecordsReceived(records)) = running.events.recv().await {
                return records;
            }
        }
    };
    let received = tokio::time::timeout(Duration::from_secs(5), receive_bans).await;
    assert_eq!(received.expect("bans received"), single_ban(5));
}

#[tokio::test(start_paused = true)]
async fn ban_that_could_not_be_written_is_written_later() {
    let folder = TemporaryFolder::new("unwritable");
    let coordinator = folder.start_coordinator(1);
    let path = folder.shared().bans();
    // A non-empty folder can't be replaced by a file.
    fs::create_dir_all(path.join("full")).unwrap();
    let running = spawn_coordinator(coordinator, ProcessState::Serving);
    running.events.ban_records.send_replace(single_ban(5));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(path.is_dir());
    fs::remove_dir_all(&path).unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        parse_records(&fs::read_to_string(&path).unwrap()).unwrap(),
        single_ban(5)
    );
}

#[tokio::test]
async fn stream_socket_of_a_dead_process_is_replaced() {
    let folder = TemporaryFolder::new("socket");
    let coordinator = folder.start_coordinator(1);
    let path = coordinator.stream_socket_path()(coordinator.announcements.own().started_at);
    drop(UnixListener::bind(path).unwrap());
    assert!(coordinator.listen().is_ok());
}
