//! The core by itself: no wire, no clock but the numbers given to it.

use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::bans::BanError;
use quartzhall::dispatcher::{
    self, Command, Core, DiscoveredEndpoint, EndReason, Event, Outcome, Readiness, StreamChunk,
    UpstreamRequest,
};
use quartzhall::gossip::Gossip;
use quartzhall::recording::TraceRecorder;
use quartzhall::routing::api::{
    AttemptStatus, EndpointRecord, EndpointStatus, LoadReport, RequestMetadata, Role, Time,
};
use quartzhall_recording::{Key, Record, Table};
use slog::{o, Discard, Logger};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

#[path = "testbed/profile.rs"]
mod profile;

const START: Time = 1_700_000_000_000_000;
const MS: Time = 1000;

/// A core with its time, and what it commanded.
struct Bench {
    core: Core,
    now: Time,
    commands: Vec<Command>,
}

fn member(name: &str, role: Role, state: EndpointStatus) -> DiscoveredEndpoint {
    let entry = EndpointRecord {
        key: name.len() as u64,
        role,
        status: state,
        kv_capacity_tokens: 200_000.0,
        ..EndpointRecord::default()
    };
    let address = format!("127.0.0.1:{}", 7000 + name.len()).into();
    DiscoveredEndpoint {
        id: name.into(),
        address,
        record: entry,
        is_partial: false,
    }
}

fn site(profile: &str) -> Deployment {
    let profile: SettingsObject = miniserde::json::from_str(profile).unwrap();
    Deployment::new(&profile).unwrap()
}

impl Bench {
    fn new(most_held: usize) -> Bench {
        Bench::at(site(profile::PROFILE), most_held)
    }

    fn at(site: Deployment, most_held: usize) -> Bench {
        let site = Arc::new(site);
        let log = Logger::root(Discard, o!());
        let core = Core::new(site, most_held, 7, START, log);
        let mut bench = Bench {
            core,
            now: START,
            commands: Vec::new(),
        };
        assert_eq!(bench.core.readiness(), Readiness::Starting);
        let members = vec![
            member("r", Role::Prefill, EndpointStatus::Ready),
            member("ww", Role::Decode, EndpointStatus::Ready),
        ];
        bench.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: members,
        });
        assert_eq!(bench.core.readiness(), Readiness::Ready);
        bench
    }

    fn hear(&mut self, event: Event) {
        self.core.handle_event(self.now, event);
        self.commands.extend(self.core.take_commands());
    }

    /// Lets time pass, waking the core whenever it wants to.
    fn pass(&mut self, time: Time) {
        let until = self.now + time;
        while let Some(due) = self.core.next_wakeup().filter(|due| *due <= until) {
            self.now = due.max(self.now + 1);
            self.core.on_timer(self.now);
            self.commands.extend(self.core.take_commands());
        }
        self.now = until;
    }

    fn ask(&mut self, id: u64, class: usize, name: &str) -> oneshot::Receiver<Outcome> {
        let ask = RequestMetadata {
            id,
            class,
            time_left: 2_000 * MS,
            prompt_tokens: 500.0,
            max_output_tokens: 100.0,
            ..RequestMetadata::default()
        };
        let work = UpstreamRequest {
            client_request_id: name.into(),
            target: "/v1/chat/completions".into(),
            body: "{}".into(),
        };
        let (answer, answered) = oneshot::channel();
        self.hear(Event::RequestArrived {
            metadata: ask,
            upstream: work,
            outcome: answer,
        });
        answered
    }

    fn ended(&mut self, id: u64, attempt: u32, status: AttemptStatus) {
        let reason = EndReason::of(status);
        self.hear(Event::AttemptEnded {
            id,
            attempt,
            reason,
            cached_tokens: 0.0,
            completion_tokens: 0.0,
            load: None,
        });
    }

    fn sends(&self) -> usize {
        self.commands
            .iter()
            .filter(|command| matches!(command, Command::StartAttempt { .. }))
            .count()
    }

    fn releases(&self) -> usize {
        self.commands
            .iter()
            .filter(|command| matches!(command, Command::ReleaseReservation { .. }))
            .count()
    }

    /// The release of a request whose attempt was given up just now is taken; it is repeated when the close of that attempt
    /// has arrived, and taken again.
    fn released_twice(&mut self, id: u64) {
        let before = self.releases();
        self.hear(Event::ReleaseCompleted {
            id,
            confirmed: true,
        });
        assert_eq!(self.releases(), before, "the repeat comes later");
        self.pass(120 * MS);
        assert!(self.releases() > before, "it is repeated");
        self.hear(Event::ReleaseCompleted {
            id,
            confirmed: true,
        });
    }

    fn cancels(&self) -> Vec<(u64, u32)> {
        let cancel = |command: &Command| match command {
            Command::CancelAttempt { id, attempt } => Some((*id, *attempt)),
            _ => None,
        };
        self.commands.iter().filter_map(cancel).collect()
    }
}

#[test]
fn a_request_goes_through_both_stages_and_leaves_the_table() {
    let mut bench = Bench::new(10);
    let mut answered = bench.ask(1, 1, "a");
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    assert_eq!(bench.sends(), 2);
    let (pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 1,
        attempt: 1,
        stream,
    });
    let Ok(Outcome::Stream(mut stream)) = answered.try_recv() else {
        panic!("not served")
    };
    pieces.try_send(StreamChunk::End).unwrap();
    assert_eq!(stream.try_recv(), Ok(StreamChunk::End));
    // A stream has no deadline.
    bench.pass(60_000 * MS);
    assert_eq!((bench.core.open_requests(), bench.cancels()), (1, vec![]));
    bench.ended(1, 1, AttemptStatus::Served);
    assert_eq!((bench.core.open_requests(), bench.releases()), (0, 0));
}

#[test]
fn a_deadline_brings_one_final_answer_and_ends_all_attempts() {
    for class in [0, 1] {
        let mut bench = Bench::new(10);
        let mut answered = bench.ask(1, class, "a");
        bench.pass(1_980 * MS);
        assert!(answered.try_recv().is_err(), "not before its time");
        bench.pass(40 * MS);
        assert!(matches!(
            answered.try_recv(),
            Ok(Outcome::Shed { .. } | Outcome::Failed)
        ));
        for (id, attempt) in bench.cancels() {
            bench.ended(id, attempt, AttemptStatus::Cancelled);
        }
        // The read may have ended well as it was cancelled: its state is let go, and then all is forgotten.
        assert_eq!((bench.core.open_requests(), bench.releases()), (1, 1));
        bench.released_twice(1);
        assert_eq!((bench.core.open_requests(), bench.releases()), (0, 2));
    }
}

/// An attempt was given up this moment, and its server may not have seen the close: to it the attempt is still out. Where a
/// second copy does harm, its client is not told that it may come again.
#[test]
fn what_must_not_run_twice_is_not_refused_right_after_an_attempt_was_given_up() {
    for (class, refused) in [(0, true), (1, false)] {
        let mut bench = Bench::new(10);
        let mut answered = bench.ask(1, class, "a");
        bench.pass(1_985 * MS);
        // The attempt's time and the request's are up together, and the end of the attempt is heard first.
        bench.now += 8 * MS;
        bench.ended(1, 0, AttemptStatus::Timeout);
        bench.pass(2 * MS);
        let answer = answered.try_recv().expect("its time is up");
        assert_eq!(
            matches!(answer, Outcome::Shed { .. }),
            refused,
            "{answer:?}"
        );
    }
}

#[test]
fn a_name_in_flight_is_no_second_request() {
    let mut bench = Bench::new(10);
    let mut first = bench.ask(1, 0, "same");
    assert!(matches!(
        bench.ask(2, 0, "same").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
    assert_eq!((bench.core.open_requests(), bench.sends()), (1, 1));
    assert!(first.try_recv().is_err());
    // While the client's leaving is being cleaned up, the name is still in use at the nodes.
    bench.hear(Event::ClientDisconnected {
        id: 1,
        may_have_run: None,
    });
    assert!(matches!(
        bench.ask(3, 0, "same").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
    bench.ended(1, 0, AttemptStatus::Cancelled);
    bench.released_twice(1);
    assert!(bench.ask(4, 0, "same").try_recv().is_err(), "taken");
}

#[test]
fn more_than_may_be_held_is_refused_at_once() {
    let mut bench = Bench::new(1);
    let _first = bench.ask(1, 0, "a");
    assert!(matches!(
        bench.ask(2, 1, "b").try_recv(),
        Ok(Outcome::Shed { .. })
    ));
    assert_eq!(bench.sends(), 1);
}

#[test]
fn a_state_that_a_broken_read_may_have_left_is_let_go_in_time() {
    let mut bench = Bench::new(10);
    let _answered = bench.ask(1, 1, "a");
    // Nobody can take the request any more: it waits without an attempt.
    let members = vec![member("r", Role::Prefill, EndpointStatus::Draining)];
    bench.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: members,
    });
    bench.ended(1, 0, AttemptStatus::Reset);
    assert_eq!((bench.sends(), bench.releases()), (1, 0));
    bench.pass(1_000 * MS);
    assert_eq!(bench.releases(), 1);
}

/// While connections fail to come up the time runs on: a send that reached nobody has not taken the state.
#[test]
fn a_send_that_reached_nobody_gives_a_state_no_new_time() {
    // A state that the module knows of, and one that only the core does: a read that broke may have ended well.
    for (read, within) in [
        (AttemptStatus::PrefillDone, 900),
        (AttemptStatus::Reset, 750),
    ] {
        let mut bench = Bench::new(10);
        let _answered = bench.ask(1, 0, "a");
        bench.ended(1, 0, read);
        assert_eq!(bench.sends(), 2);
        bench.pass(700 * MS);
        let members = vec![
            member("r", Role::Prefill, EndpointStatus::Draining),
            member("ww", Role::Decode, EndpointStatus::Draining),
        ];
        bench.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: members,
        });
        bench.ended(1, 1, AttemptStatus::ConnectFailed);
        bench.pass((within - 700) * MS);
        assert_eq!(bench.releases(), 1, "{read:?}");
    }
}

/// A read broke, and the reads that follow it at once find nobody: there is no moment without an attempt.
#[test]
fn a_state_that_may_be_left_is_let_go_between_sends_that_reach_nobody() {
    let mut bench = Bench::new(10);
    let _answered = bench.ask(1, 0, "a");
    bench.ended(1, 0, AttemptStatus::Reset);
    for attempt in 1..3 {
        assert_eq!((bench.sends(), bench.releases()), (attempt as usize + 1, 0));
        bench.pass(250 * MS);
        bench.ended(1, attempt, AttemptStatus::ConnectFailed);
    }
    assert_eq!((bench.sends(), bench.releases()), (4, 1));
}

/// A send that has not arrived is not out: nothing that is known here tells it from one that has, so that the state is
/// released in time. A server that did take the send keeps what it waits for.
#[test]
fn a_state_is_released_in_time_while_nothing_is_heard_of_its_send() {
    let mut bench = Bench::new(10);
    let mut answered = bench.ask(1, 1, "a");
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.pass(700 * MS);
    assert_eq!((bench.sends(), bench.releases()), (2, 0));
    bench.pass(220 * MS); // 0.9 of the time, and the core's look over its table
    assert_eq!((bench.sends(), bench.releases()), (2, 1));
    // The attempt goes on: it may have arrived.
    assert_eq!(bench.cancels(), vec![]);
    assert!(answered.try_recv().is_err());
    bench.hear(Event::ReleaseCompleted {
        id: 1,
        confirmed: true,
    });
    let (_pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 1,
        attempt: 1,
        stream,
    });
    assert!(matches!(answered.try_recv(), Ok(Outcome::Stream(_))));
    bench.ended(1, 1, AttemptStatus::Served);
    assert_eq!((bench.core.open_requests(), bench.releases()), (0, 1));
}

#[test]
fn nothing_is_sent_to_a_node_that_leaves() {
    let mut bench = Bench::new(10);
    let _answered = bench.ask(1, 0, "a");
    let members = vec![member("ww", Role::Decode, EndpointStatus::Draining)];
    bench.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: members,
    });
    let barred = |command: &Command| {
        matches!(
            command,
            Command::BlockAddress {
                is_blocked: true,
                ..
            }
        )
    };
    assert!(
        bench.commands.iter().any(barred),
        "what waits for a connection is told"
    );
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.pass(500 * MS);
    assert_eq!(bench.sends(), 1);
    assert_eq!(bench.core.readiness(), Readiness::Starting);
}

#[test]
fn who_leaves_is_told_whether_the_request_may_have_run() {
    for (reads, status, ran) in [
        (true, AttemptStatus::Cancelled, false),
        (false, AttemptStatus::Overloaded, false),
        (false, AttemptStatus::ConnectFailed, false),
        (false, AttemptStatus::Cancelled, true),
        (false, AttemptStatus::Reset, true),
        (false, AttemptStatus::StaleConnection, true),
    ] {
        let mut bench = Bench::new(10);
        let _answered = bench.ask(1, 1, "a");
        let attempt = u32::from(!reads);
        if !reads {
            bench.ended(1, 0, AttemptStatus::PrefillDone);
        }
        let (fate, mut told) = oneshot::channel();
        bench.hear(Event::ClientDisconnected {
            id: 1,
            may_have_run: Some(fate),
        });
        bench.ended(1, attempt, status);
        match status {
            AttemptStatus::Cancelled => bench.released_twice(1),
            _ => bench.hear(Event::ReleaseCompleted {
                id: 1,
                confirmed: true,
            }),
        }
        assert_eq!(told.try_recv(), Ok(ran), "{status:?}");
    }
}

#[test]
fn only_a_write_that_must_not_run_twice_goes_alone() {
    for (class, alone) in [(0, [false, false]), (1, [false, true])] {
        let mut bench = Bench::new(10);
        let _answered = bench.ask(1, class, "a");
        bench.ended(1, 0, AttemptStatus::PrefillDone);
        let sent = bench.commands.iter().filter_map(|command| match command {
            Command::StartAttempt {
                needs_new_connection: alone,
                ..
            } => Some(*alone),
            _ => None,
        });
        assert_eq!(sent.collect::<Vec<_>>(), alone);
    }
}

#[test]
fn an_answer_that_comes_after_the_end_is_nobodys() {
    let mut bench = Bench::new(10);
    let mut answered = bench.ask(1, 1, "a");
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.pass(2_100 * MS);
    assert!(matches!(answered.try_recv(), Ok(Outcome::Failed)));
    let (pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 1,
        attempt: 1,
        stream,
    });
    assert!(pieces.is_closed(), "its node is read no further");
    // Outcomes of attempts that never were, or ended before, change nothing.
    bench.ended(1, 7, AttemptStatus::Served);
    bench.ended(9, 0, AttemptStatus::Served);
    assert_eq!(bench.sends(), 2);
}

#[test]
fn draining_is_told_until_the_end() {
    let mut bench = Bench::new(10);
    bench.hear(Event::Drain(std::time::Duration::from_secs(3)));
    assert_eq!(bench.core.readiness(), Readiness::Draining);
    assert!(
        bench.ask(1, 0, "a").try_recv().is_err(),
        "what still comes is served"
    );
    assert_eq!(bench.sends(), 1);
}

/// A full queue loses nothing: a client that leaves then is told of all the same.
#[tokio::test]
async fn a_full_queue_drops_nothing() {
    let site = Arc::new(site(profile::PROFILE));
    let (door, inbox) = dispatcher::channel(site.clone());
    for _ in 0..10_000 {
        door.send_detached(Event::EndpointListFailed);
    }
    let clock = dispatcher::Clock::start();
    let core = Core::new(site, 10, 7, clock.now(), Logger::root(Discard, o!()));
    door.send_detached(Event::Drain(std::time::Duration::from_secs(3)));
    let (commands, _commanded) = mpsc::channel(16);
    tokio::spawn(dispatcher::run(core, clock, inbox, commands, None, None));
    door.wait_for_readiness(Readiness::Draining).await;
}

/// What one node finds bad the others would too: the request ends there, and the node is not held to blame.
#[test]
fn a_request_that_a_node_finds_bad_goes_to_no_other_node() {
    let mut bench = Bench::new(10);
    for id in 1..20 {
        let mut answered = bench.ask(id, (id % 2) as usize, &format!("bad{id}"));
        assert_eq!(bench.sends(), id as usize, "the reader is still trusted");
        bench.ended(id, 0, AttemptStatus::InvalidRequest);
        assert!(matches!(answered.try_recv(), Ok(Outcome::InvalidRequest)));
        assert_eq!(bench.core.open_requests(), 0);
    }
    bench.pass(5_000 * MS);
    assert_eq!((bench.sends(), bench.releases()), (19, 0));
}

/// Nodes come and go under ever new names and addresses: what is known of them goes with them, but for one that
/// still has an attempt out, and a bar never outlives its node nor falls while another node there drains.
#[test]
fn tables_are_bounded_while_nodes_are_replaced() {
    let mut bench = Bench::new(10);
    let _answered = bench.ask(1, 0, "long");
    let mut barred = std::collections::HashSet::new();
    for round in 0..500 {
        let place = |name: &str, port: usize, role, state| {
            let address = format!("127.0.{}.{}:{port}", round / 200, round % 200).into();
            DiscoveredEndpoint {
                id: format!("{name}{round}").into(),
                address,
                ..member(name, role, state)
            }
        };
        let old = [
            place("r", 1, Role::Prefill, EndpointStatus::Removed),
            place("w", 2, Role::Decode, EndpointStatus::Removed),
        ];
        let members = vec![
            place("r", 1, Role::Prefill, EndpointStatus::Ready),
            place("w", 2, Role::Decode, EndpointStatus::Ready),
            // It drains where the old writer was.
            place("d", 2, Role::Decode, EndpointStatus::Draining),
        ];
        bench.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: members,
        });
        bench.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: old.into(),
        });
        for command in bench.commands.drain(..) {
            match command {
                Command::BlockAddress {
                    address,
                    is_blocked: true,
                } => barred.insert(address),
                Command::BlockAddress { address, .. } => barred.remove(&address),
                _ => continue,
            };
        }
        assert!(
            barred.contains(&*format!("127.0.{}.{}:2", round / 200, round % 200)),
            "{barred:?}"
        );
        // The list's, and the reader that the request is out at.
        assert!(
            bench.core.endpoint_count() <= 3 + 2 && barred.len() <= 4,
            "{}, {barred:?}",
            bench.core.endpoint_count()
        );
        bench.pass(1_100 * MS);
    }
}

impl Bench {
    fn ban(&mut self, name: &str, banned: bool) -> Result<(), BanError> {
        let (answer, mut answered) = oneshot::channel();
        self.hear(Event::BanRequested {
            endpoint_id: name.into(),
            banned,
            reply: answer,
        });
        answered.try_recv().unwrap()
    }

    fn bars(&self) -> Vec<(&str, bool)> {
        let bar = |command| match command {
            &Command::BlockAddress {
                ref address,
                is_blocked: barred,
            } => Some((&**address, barred)),
            _ => None,
        };
        self.commands.iter().filter_map(bar).collect()
    }

    /// What is barred by all that was commanded.
    fn barred(&self) -> Vec<&str> {
        let mut barred = BTreeSet::new();
        for (address, is_barred) in self.bars() {
            let _ = if is_barred {
                barred.insert(address)
            } else {
                barred.remove(address)
            };
        }
        barred.into_iter().collect()
    }
}

#[test]
fn a_ban_holds_whatever_discovery_says_until_the_call_back() {
    let mut bench = Bench::new(10);
    assert_eq!(bench.ban("never", true), Err(BanError::Unknown));
    assert_eq!(bench.ban("r", true), Ok(()));
    assert_eq!(bench.bars().last(), Some(&("127.0.0.1:7001", true)));
    assert_eq!(bench.ban("r", true), Ok(()));
    let told = |state, complete| {
        let mut members = vec![member("ww", Role::Decode, EndpointStatus::Ready)];
        members
            .extend((state != EndpointStatus::Removed).then(|| member("r", Role::Prefill, state)));
        Event::EndpointsChanged {
            is_full: complete,
            endpoints: members,
        }
    };
    // It leaves the list and its node is forgotten, comes back, drains, is ready again, and moves.
    bench.commands.clear();
    for state in [
        EndpointStatus::Ready,
        EndpointStatus::Removed,
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Ready,
    ] {
        bench.hear(told(state, true));
        bench.pass(100 * MS);
        assert_eq!(bench.core.readiness(), Readiness::Starting);
    }
    assert!(
        !bench.bars().contains(&("127.0.0.1:7001", false))
            || bench.bars().contains(&("127.0.0.1:7001", true))
    );
    let moved = DiscoveredEndpoint {
        address: "127.0.0.1:7999".into(),
        ..member("r", Role::Prefill, EndpointStatus::Ready)
    };
    bench.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![moved],
    });
    assert_eq!(
        bench.barred(),
        ["127.0.0.1:7001", "127.0.0.1:7999"],
        "where it was, where it is, no writer"
    );
    let _waits = bench.ask(1, 0, "a");
    bench.pass(200 * MS);
    assert_eq!(bench.sends(), 0);
    // While it is gone from the list too, it is known.
    bench.hear(told(EndpointStatus::Removed, true));
    assert_eq!(bench.ban("r", true), Ok(()));
    bench.hear(told(EndpointStatus::Ready, true));
    assert_eq!(bench.ban("r", false), Ok(()));
    bench.pass(200 * MS);
    assert_eq!(
        (bench.sends(), bench.core.readiness()),
        (1, Readiness::Ready)
    );
    // Discovery drains it by itself: the ban's end does not hide that.
    bench.hear(told(EndpointStatus::Draining, true));
    assert_eq!(bench.core.readiness(), Readiness::Starting);
}

#[test]
fn another_process_is_heard_and_told() {
    let mut bench = Bench::new(10);
    assert_eq!(bench.core.take_changed_bans(), None);
    bench.ban("r", true).unwrap();
    let marks = bench.core.take_changed_bans().unwrap();
    assert_eq!(bench.core.take_changed_bans(), None);
    let mut other = Bench::new(10);
    other.hear(Event::BanRecordsReceived(marks.clone()));
    assert_eq!(other.core.readiness(), Readiness::Starting);
    assert_eq!(other.core.take_changed_bans().as_ref(), Some(&marks));
    other.hear(Event::BanRecordsReceived(marks));
    assert_eq!(other.core.take_changed_bans(), None, "nothing new");
    other.ban("r", false).unwrap();
    bench.hear(Event::BanRecordsReceived(
        other.core.take_changed_bans().unwrap(),
    ));
    assert_eq!(bench.core.readiness(), Readiness::Ready);
}

impl Bench {
    fn settings(&mut self, profile: &str) -> Result<(), dispatcher::SettingsError> {
        let (answer, mut answered) = oneshot::channel();
        self.hear(Event::SettingsChanged {
            deployment: Box::new(site(profile)),
            reply: answer,
        });
        answered.try_recv().unwrap()
    }
}

const STRICTER: (&str, &str) = (
    r#""aim":1500.0,"repeat":"free""#,
    r#""aim":1500.0,"repeat":"single_shot""#,
);

/// What is under way keeps the effect with which it came, and what comes later has the new one.
#[test]
fn requests_under_way_keep_their_class() {
    let mut bench = Bench::new(10);
    assert!(
        bench.core.take_changed_deployment().is_some()
            && bench.core.take_changed_deployment().is_none()
    );
    let mut safe = bench.ask(1, 0, "before");
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench
        .settings(&profile::PROFILE.replace(STRICTER.0, STRICTER.1))
        .unwrap();
    let site = bench.core.take_changed_deployment().unwrap();
    let number = site.classes.known("status-query").unwrap() as usize;
    assert_ne!(number, 0, "another meaning has another number");
    assert_eq!(site.classes.known("return-request"), Some(1));
    let mut unsafe_now = bench.ask(2, number, "after");
    bench.ended(2, 0, AttemptStatus::PrefillDone);
    // A write that may have run: the old request may be tried again, the new one is given up.
    bench.ended(1, 1, AttemptStatus::Error);
    bench.ended(2, 1, AttemptStatus::Error);
    assert!(safe.try_recv().is_err());
    assert!(matches!(unsafe_now.try_recv(), Ok(Outcome::Failed)));
}

/// Fewer attempts bind what is not yet sent, also of requests under way.
#[test]
fn fewer_attempts_bind_at_once() {
    let mut bench = Bench::new(10);
    let mut answered = bench.ask(1, 0, "a");
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    assert_eq!(bench.sends(), 2);
    bench
        .settings(&profile::PROFILE.replace(r#""most_tries":5"#, r#""most_tries":2"#))
        .unwrap();
    bench.ended(1, 1, AttemptStatus::Error);
    bench.pass(100 * MS);
    assert_eq!(bench.sends(), 2);
    assert!(matches!(
        answered.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
}

/// The number of a class that is gone is another's only when its requests are over and a minute has passed; so the
/// table is bounded however often settings change.
#[test]
fn numbers_of_classes_are_used_again_in_time() {
    let mut bench = Bench::new(10);
    let mut largest = 0;
    let _first = bench.ask(1, 0, "long");
    let (_pieces, stream) = mpsc::channel(4);
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.hear(Event::FirstEvent {
        id: 1,
        attempt: 1,
        stream,
    });
    for round in 0..300 {
        let aim = format!(r#""aim":{}.0,"repeat":"free""#, 1000 + round);
        bench
            .settings(&profile::PROFILE.replace(STRICTER.0, &aim))
            .unwrap();
        let site = bench.core.take_changed_deployment().unwrap();
        largest = largest.max(site.classes.known("status-query").unwrap());
        assert_ne!(
            site.classes.known("status-query"),
            Some(0),
            "a request of it is open"
        );
        bench.pass(10_000 * MS);
    }
    assert!(largest < 12, "{largest}");
    // Without the time between, the bound turns the change down, and what held goes on holding.
    let mut taken = 0;
    while bench
        .settings(
            &profile::PROFILE.replace(STRICTER.0, &format!(r#""aim":{taken}.5,"repeat":"free""#)),
        )
        .is_ok()
    {
        taken += 1;
    }
    assert!((200..260).contains(&taken), "{taken}");
    let aim = bench.core.take_changed_deployment().unwrap();
    let number = aim.classes.known("status-query").unwrap() as usize;
    assert_eq!(
        aim.settings.classes[number].ttft_objective,
        (taken - 1) * 1000 + 500
    );
}

/// UpstreamHalf a second before the process is killed nothing is held any more, whatever the clients would have waited.
#[test]
fn all_but_streams_is_over_when_the_process_ends() {
    let mut bench = Bench::new(10);
    let (mut read, mut reads, mut waits) = (
        bench.ask(1, 0, "read"),
        bench.ask(2, 1, "reads"),
        bench.ask(3, 0, "writes"),
    );
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.ended(3, 0, AttemptStatus::PrefillDone);
    let (_pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 3,
        attempt: 1,
        stream,
    });
    assert!(matches!(waits.try_recv(), Ok(Outcome::Stream(_))));
    bench.hear(Event::Drain(std::time::Duration::from_millis(700)));
    let mut late = bench.ask(4, 0, "late");
    bench.pass(600 * MS);
    assert!(read.try_recv().is_err() && reads.try_recv().is_err() && late.try_recv().is_err());
    bench.pass(100 * MS);
    assert!(matches!(
        read.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    // What was only read has had no effect.
    assert!(matches!(
        reads.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    assert!(matches!(
        late.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    for (id, attempt) in bench.cancels() {
        bench.ended(id, attempt, AttemptStatus::Cancelled);
    }
    assert_eq!(bench.releases(), 3);
    for id in [1, 2, 4] {
        bench.hear(Event::ReleaseCompleted {
            id,
            confirmed: true,
        });
    }
    bench.pass(120 * MS);
    assert_eq!(
        (bench.core.open_requests(), bench.releases()),
        (4, 6),
        "each is repeated"
    );
    for id in [1, 2, 4] {
        bench.hear(Event::ReleaseCompleted {
            id,
            confirmed: true,
        });
    }
    assert_eq!(bench.core.open_requests(), 1, "the stream goes on");
    bench.pass(5_000 * MS);
    assert_eq!(bench.core.open_requests(), 1);
}

/// A line of one that leaves may tell nothing but that: what was told before holds for the rest, and an unknown one
/// is none of the fleet.
#[test]
fn nothing_is_sent_to_one_of_which_only_its_leaving_could_be_read() {
    for state in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut bench = Bench::new(10);
        let partial = |name: &str| {
            let entry = EndpointRecord {
                status: state,
                ..EndpointRecord::default()
            };
            DiscoveredEndpoint {
                id: name.into(),
                address: "".into(),
                record: entry,
                is_partial: true,
            }
        };
        bench.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![partial("r"), partial("never")],
        });
        let barred: &[&str] = if state == EndpointStatus::Removed {
            &[]
        } else {
            &["127.0.0.1:7001"]
        };
        assert_eq!(
            bench.barred(),
            barred,
            "one that is gone with nothing out is forgotten, with its bar"
        );
        assert_eq!(bench.core.readiness(), Readiness::Starting, "{state:?}");
        let _waits = bench.ask(1, 0, "a");
        bench.pass(200 * MS);
        assert_eq!(bench.sends(), 0, "{state:?}");
    }
}

/// A node that moves leaves an address that others may have: what waits for a connection there was meant for it, and
/// the bar went to the new address only. Two entries with one address: one that may be used is there.
#[test]
fn the_address_that_a_node_has_left_is_barred_until_one_that_may_be_used_is_there() {
    let mut bench = Bench::new(10);
    let at = |name: &str, port: u32, state| DiscoveredEndpoint {
        address: format!("127.0.0.1:{port}").into(),
        ..member(name, Role::Prefill, state)
    };
    let steps: [(&[DiscoveredEndpoint], &[&str]); 9] = [
        (&[at("r", 7999, EndpointStatus::Ready)], &["127.0.0.1:7001"]),
        (
            &[at("r", 7999, EndpointStatus::Draining)],
            &["127.0.0.1:7001", "127.0.0.1:7999"],
        ),
        (
            &[at("new", 7999, EndpointStatus::Ready)],
            &["127.0.0.1:7001"],
        ),
        (&[at("old", 7001, EndpointStatus::Ready)], &[]),
        (
            &[at("old", 7001, EndpointStatus::Draining)],
            &["127.0.0.1:7001"],
        ),
        (&[at("r", 7001, EndpointStatus::Ready)], &[]),
        (
            &[at("r", 7998, EndpointStatus::Draining)],
            &["127.0.0.1:7001", "127.0.0.1:7998"],
        ),
        (
            &[
                at("old", 7001, EndpointStatus::Removed),
                at("r", 7001, EndpointStatus::Removed),
            ],
            &[],
        ),
        (&[at("new", 7999, EndpointStatus::Removed)], &[]),
    ];
    for (members, barred) in steps {
        bench.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: members.into(),
        });
        assert_eq!(bench.barred(), barred, "{members:?}");
    }
}

/// Repeats are dropped for 2 s. One may wait for a place and for its connection, 250 ms each, so that none is commanded
/// that may come later; also after new settings.
#[test]
fn a_repeat_comes_within_the_window_though_its_connection_is_slow() {
    let keyed = profile::PROFILE.replace(
        r#""repeat":"single_shot","group":"all","key_ttl":0.0"#,
        r#""repeat":"guarded","group":"all","key_ttl":2000.0"#,
    );
    for renewed in [false, true] {
        for (after, again) in [(1_200, true), (1_450, false), (1_900, false)] {
            let mut bench = Bench::at(site(&keyed), 10);
            if renewed {
                let (answer, _taken) = oneshot::channel();
                bench.hear(Event::SettingsChanged {
                    deployment: Box::new(site(&keyed)),
                    reply: answer,
                });
            }
            let ask = RequestMetadata {
                id: 1,
                class: 1,
                time_left: 9_000 * MS,
                prompt_tokens: 500.0,
                max_output_tokens: 9.0,
                ..RequestMetadata::default()
            };
            let work = UpstreamRequest {
                client_request_id: "a".into(),
                target: "/".into(),
                body: "{}".into(),
            };
            let (answer, _waits) = oneshot::channel();
            bench.hear(Event::RequestArrived {
                metadata: ask,
                upstream: work,
                outcome: answer,
            });
            bench.ended(1, 0, AttemptStatus::PrefillDone);
            assert_eq!(bench.sends(), 2);
            bench.pass(after * MS);
            let before = bench.sends();
            bench.ended(1, 1, AttemptStatus::Reset);
            bench.pass(50 * MS);
            bench.ended(1, 2, AttemptStatus::PrefillDone);
            bench.pass(50 * MS);
            let writes = bench.commands.iter().filter(
                |it| matches!(it, Command::StartAttempt { address, .. } if address.ends_with('2')),
            );
            let writes = writes.count();
            assert_eq!(
                writes > 1,
                again,
                "after {after} ms: {before} sends before, {} then",
                bench.sends()
            );
        }
    }
}

/// A bar is put up before what was commanded earlier is sent: it stood behind that.
#[test]
fn bars_come_before_what_was_commanded_earlier() {
    let mut bench = Bench::new(10);
    let ask = |id| RequestMetadata {
        id,
        time_left: 2_000 * MS,
        prompt_tokens: 500.0,
        max_output_tokens: 9.0,
        ..RequestMetadata::default()
    };
    let work = UpstreamRequest {
        client_request_id: "a".into(),
        target: "/".into(),
        body: "{}".into(),
    };
    let (answer, _waits) = oneshot::channel();
    bench.core.handle_event(
        START,
        Event::RequestArrived {
            metadata: ask(1),
            upstream: work,
            outcome: answer,
        },
    );
    bench.core.handle_event(
        START,
        Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![member("r", Role::Prefill, EndpointStatus::Draining)],
        },
    );
    let commands = bench.core.take_commands();
    assert!(
        matches!(
            commands[..],
            [
                Command::BlockAddress {
                    is_blocked: true,
                    ..
                },
                Command::StartAttempt { .. },
                ..
            ]
        ),
        "{commands:?}"
    );
}

/// A recording says of each request how it came, where it went, and how it ended, once; and names no session.
#[test]
fn a_recording_tells_each_request_once_and_no_session() {
    let mut bench = Bench::new(10);
    let site = site(profile::PROFILE);
    bench.core.set_trace_recorder(TraceRecorder::new(
        Key::from_secret(b"test"),
        START,
        "n1",
        &site,
    ));
    bench.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![member("ww", Role::Decode, EndpointStatus::Draining)],
    });
    bench.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![member("ww", Role::Decode, EndpointStatus::Ready)],
    });
    let (secret, mut waiting) = (0x7f3a_9c21_e0b4_d655, Vec::new());
    for (id, session) in [
        (1, Some(secret)),
        (2, Some(secret)),
        (3, Some(5)),
        (4, None),
    ] {
        let ask = RequestMetadata {
            id,
            session,
            time_left: 2_000 * MS,
            prompt_tokens: 500.0,
            max_output_tokens: 9.0,
            ..RequestMetadata::default()
        };
        let work = UpstreamRequest {
            client_request_id: format!("r{id}").into(),
            target: "/".into(),
            body: "{}".into(),
        };
        let (answer, answered) = oneshot::channel();
        waiting.push(answered);
        bench.hear(Event::RequestArrived {
            metadata: ask,
            upstream: work,
            outcome: answer,
        });
        bench.ended(id, 0, AttemptStatus::PrefillDone);
    }
    // One is served, one breaks after its client has left, one is given up, one's client leaves.
    let (_pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 1,
        attempt: 1,
        stream,
    });
    bench.hear(Event::AttemptEnded {
        id: 1,
        attempt: 1,
        reason: EndReason::Served,
        cached_tokens: 4096.0,
        completion_tokens: 200.0,
        load: None,
    });
    let (_pieces, stream) = mpsc::channel(4);
    bench.hear(Event::FirstEvent {
        id: 2,
        attempt: 1,
        stream,
    });
    bench.hear(Event::ClientDisconnected {
        id: 2,
        may_have_run: None,
    });
    bench.ended(2, 1, AttemptStatus::Reset);
    bench.hear(Event::ClientDisconnected {
        id: 3,
        may_have_run: None,
    });
    bench.pass(3_000 * MS);
    let mut records = bench.core.take_records();
    assert!(bench.core.take_records().is_empty());
    let names = |wanted| {
        let name = |record: &Record| match record {
            Record::Name {
                table,
                number,
                name,
            } if *table == wanted => Some((*number, name.clone())),
            _ => None,
        };
        records.iter().filter_map(name).collect::<Vec<_>>()
    };
    assert_eq!(
        names(Table::Class),
        [(0, "status-query".into()), (1, "return-request".into())]
    );
    assert_eq!(names(Table::Tenant), [(0, "acme".into())]);
    assert_eq!(
        names(Table::Node).len(),
        1,
        "once, however often it is told of"
    );
    let sessions = |record: &Record| match record {
        Record::Arrival { session, .. } => Some(*session),
        _ => None,
    };
    let sessions: Vec<_> = records.iter().filter_map(sessions).collect();
    assert!(sessions[0] == sessions[1] && sessions[0] != sessions[2] && sessions[3].is_none());
    assert!(!format!("{records:?}").contains(&secret.to_string()));
    let ended = Record::Ended {
        at: bench.now,
        request: 1,
        attempt: 1,
        status: quartzhall_recording::RecordedStatus::Served,
        kept: 4096,
        written: 200,
    };
    let at = |record: &Record| {
        format!("{record:?}")
            .split_once("request")
            .map(|it| it.1.to_owned())
    };
    assert!(
        records.iter().any(|record| at(record) == at(&ended)),
        "{records:?}"
    );
    records.retain(|record| matches!(record, Record::Final { .. }));
    let finals = records.iter().map(|record| match record {
        Record::Final {
            request, answer, ..
        } => (*request, *answer),
        _ => unreachable!(),
    });
    let mut finals: Vec<_> = finals.collect();
    finals.sort_by_key(|it| it.0);
    use quartzhall_recording::RecordedOutcome::{ClientDisconnected, Served, Shed};
    assert_eq!(
        finals,
        [
            (1, Served),
            (2, ClientDisconnected),
            (3, ClientDisconnected),
            (4, Shed)
        ]
    );
}

/// What one dispatcher has seen of a server, another believes; what can't be a message, and servers that it does not know,
/// change nothing.
#[test]
fn dispatchers_hear_of_each_others_servers() {
    let load = |in_flight| {
        Some(LoadReport {
            in_flight: Some(in_flight),
            ..LoadReport::default()
        })
    };
    let told = |bench: &mut Bench, in_flight| {
        for id in 100..110 {
            let _left = bench.ask(id, 0, &format!("{in_flight}-{id}"));
        }
        let server = 0;
        bench.hear(Event::ProbeCompleted {
            endpoint: server,
            is_healthy: true,
            load: load(in_flight),
        });
        bench.core.next_gossip_message(bench.now)
    };
    let pair = || {
        let mut bench = Bench::new(1_000);
        bench.core.set_gossip(Gossip::new(100, 0.0028));
        bench
    };
    let (mut one, mut other) = (pair(), pair());
    let message = told(&mut one, 40.0).expect("forty requests are a surprise");
    for cut in 0..message.len() {
        other.hear(Event::GossipReceived {
            from: 3,
            message: message.slice(..cut),
        });
    }
    let unknown = [&message[..3], &[9, 9, 9, 40, 0]].concat().into();
    other.hear(Event::GossipReceived {
        from: 4,
        message: unknown,
    });
    assert!(
        told(&mut other, 40.0).is_some(),
        "that was no news of it yet"
    );
    let mut third = pair();
    third.hear(Event::GossipReceived {
        from: 3,
        message: message.clone(),
    });
    third.hear(Event::GossipReceived { from: 3, message });
    assert_eq!(told(&mut third, 40.0), None, "all know that by now");
    // Requests pay for what is told.
    (200..210).for_each(|id| drop(one.ask(id, 0, &format!("later-{id}"))));
    one.hear(Event::ProbeCompleted {
        endpoint: 0,
        is_healthy: true,
        load: load(2.0),
    });
    assert!(
        one.core.next_gossip_message(one.now).is_some(),
        "and that it has changed is news again"
    );
}

/// However many servers there are, a lease call names a bounded number of them, the one that holds the state first.
#[test]
fn a_lease_call_names_a_bounded_number_of_servers() {
    let mut bench = Bench::new(10);
    let address = |at: usize| Arc::<str>::from(format!("127.0.0.1:{}", 10_000 + at));
    let members = (0..500).map(|at| {
        let role = if at % 2 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let member = member("x", role, EndpointStatus::Ready);
        DiscoveredEndpoint {
            id: format!("n{at}").into(),
            address: address(at),
            ..member
        }
    });
    bench.hear(Event::EndpointsChanged {
        is_full: true,
        endpoints: members.collect(),
    });
    let _answer = bench.ask(1, 0, "a");
    let sent = bench.commands.iter().find_map(|it| match it {
        Command::StartAttempt { address, .. } => Some(address.clone()),
        _ => None,
    });
    bench.ended(1, 0, AttemptStatus::PrefillDone);
    bench.hear(Event::ClientDisconnected {
        id: 1,
        may_have_run: None,
    });
    for (id, attempt) in bench.cancels() {
        bench.ended(id, attempt, AttemptStatus::Cancelled);
    }
    let released = bench.commands.iter().find_map(|it| match it {
        Command::ReleaseReservation { addresses, .. } => Some(addresses.clone()),
        _ => None,
    });
    let (sent, released) = (sent.expect("it is read"), released.expect("it is let go"));
    assert!(
        released.contains(&sent) && released.len() <= 64,
        "{} addresses",
        released.len()
    );
    let distinct: BTreeSet<&Arc<str>> = released.iter().collect();
    assert_eq!(distinct.len(), released.len());
}

/// A client that comes again with an id of which something may have run is neither served nor refused, where repeats do harm:
/// a refusal would say that trying again is harmless. What only was read may be refused; and ids are forgotten in time.
#[test]
fn an_id_that_may_have_run_is_not_refused_when_it_comes_again() {
    for (class, harmful) in [(0, false), (1, true)] {
        let mut bench = Bench::new(1);
        let _served = bench.ask(1, class, "again");
        bench.ended(1, 0, AttemptStatus::PrefillDone);
        bench.hear(Event::FirstEvent {
            id: 1,
            attempt: 1,
            stream: mpsc::channel(1).1,
        });
        bench.ended(1, 1, AttemptStatus::Served);
        assert_eq!(bench.core.open_requests(), 0);
        // As much is held as may be: another one is refused.
        let _other = bench.ask(2, class, "other");
        assert!(matches!(
            bench.ask(3, class, "third").try_recv(),
            Ok(Outcome::Shed { .. })
        ));
        let again = bench.ask(4, class, "again").try_recv();
        assert_eq!(
            matches!(again, Ok(Outcome::DuplicateId)),
            harmful,
            "{again:?}"
        );
        assert_eq!(
            matches!(again, Ok(Outcome::Shed { .. })),
            !harmful,
            "{again:?}"
        );
    }
    let mut bench = Bench::new(1);
    let run = |bench: &mut Bench, id: u64, name: &str| {
        let answered = bench.ask(id, 1, name);
        bench.ended(id, 0, AttemptStatus::PrefillDone);
        bench.hear(Event::FirstEvent {
            id,
            attempt: 1,
            stream: mpsc::channel(1).1,
        });
        bench.ended(id, 1, AttemptStatus::Served);
        drop(answered);
    };
    run(&mut bench, 1, "old");
    bench.pass(31_000 * MS);
    run(&mut bench, 2, "new");
    let mut again = bench.ask(3, 1, "old");
    assert!(again.try_recv().is_err(), "a request as any other, by then");
}
