//! Tests of the core's readiness, its shutdown and the event queue.

mod dispatcher_harness;

use dispatcher_harness::{deployment, metadata, profile, request_arrived, CoreHarness, MS};
use quartzhall::dispatcher::{self, Core, DrainSchedule, Event, Outcome, Readiness};
use quartzhall::routing::api::AttemptStatus;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot::error::TryRecvError;

/// Returns the start of a drain in which every request is admitted, and answered within this time.
fn drain(respond_within_ms: u64) -> Event {
    let respond_within = Duration::from_millis(respond_within_ms);
    Event::Drain(DrainSchedule {
        admit_within: respond_within,
        respond_within,
    })
}

#[test]
fn readiness_is_draining_while_requests_are_still_served() {
    let mut harness = CoreHarness::new(10);
    harness.handle(drain(3_000));
    assert_eq!(harness.core.readiness(), Readiness::Draining);
    assert!(
        harness.submit(1, 0, "a").try_recv().is_err(),
        "a request that still arrives is served"
    );
    assert_eq!(harness.attempt_count(), 1);
}

/// Events sent while the queue is full are delivered later. A lost disconnect would leave its request running.
#[tokio::test]
async fn a_full_event_queue_drops_nothing() {
    let deployment = Arc::new(deployment(profile::SETTINGS));
    let (handle, receiver) = dispatcher::channel(deployment.clone());
    for _ in 0..10_000 {
        handle.send_detached(Event::EndpointListFailed);
    }
    let clock = dispatcher::Clock::start();
    let core = Core::new(deployment, 10, 7, clock.now(), Logger::root(Discard, o!()));
    handle.send_detached(drain(3_000));
    let (commands, _command_receiver) = mpsc::channel(16);
    tokio::spawn(dispatcher::run(core, clock, receiver, commands, None, None));
    handle.wait_for_readiness(Readiness::Draining).await;
}

/// The shutdown deadline, half a second before the process may be killed, overrides later deadlines of clients. By then
/// every request without a stream has its final outcome, and the release of its KV cache has started.
#[test]
fn every_request_but_streams_is_closed_when_the_process_ends() {
    let mut harness = CoreHarness::new(10);
    let (mut prefilled, mut in_prefill, mut streaming) = (
        harness.submit(1, 0, "prefilled"),
        harness.submit(2, 1, "in-prefill"),
        harness.submit(3, 0, "streaming"),
    );
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.end_attempt(3, 0, AttemptStatus::PrefillDone);
    let _chunks = harness.start_stream(3, 1);
    assert!(matches!(streaming.try_recv(), Ok(Outcome::Stream(_))));
    harness.handle(drain(700));
    let mut late = harness.submit(4, 0, "late");
    harness.advance(600 * MS);
    assert!(
        prefilled.try_recv().is_err() && in_prefill.try_recv().is_err() && late.try_recv().is_err()
    );
    harness.advance(100 * MS);
    assert!(matches!(
        prefilled.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    // A prefill has no side effects, so the request may be shed.
    assert!(matches!(
        in_prefill.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    assert!(matches!(
        late.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
    for (id, attempt) in harness.cancelled_attempts() {
        harness.end_attempt(id, attempt, AttemptStatus::Cancelled);
    }
    assert_eq!(harness.release_count(), 3);
    for id in [1, 2, 4] {
        harness.complete_release(id);
    }
    harness.advance(120 * MS);
    assert_eq!(
        (harness.core.open_requests(), harness.release_count()),
        (4, 6),
        "each release is repeated"
    );
    for id in [1, 2, 4] {
        harness.complete_release(id);
    }
    assert_eq!(harness.core.open_requests(), 1, "the stream continues");
    harness.advance(5_000 * MS);
    assert_eq!(harness.core.open_requests(), 1);
}

/// In an upgrade, the new process stays on standby until it accepts clients. A process that drains never becomes ready
/// again.
#[test]
fn accepting_clients_ends_the_standby_and_not_the_draining() {
    let mut harness = CoreHarness::new(10);
    harness.core.start_in_standby();
    assert_eq!(harness.core.readiness(), Readiness::Standby);
    harness.handle(Event::AcceptClients);
    assert_eq!(harness.core.readiness(), Readiness::Ready);
    harness.handle(drain(3_000));
    harness.handle(Event::AcceptClients);
    assert_eq!(harness.core.readiness(), Readiness::Draining);
    harness.core.start_in_standby();
    assert_eq!(harness.core.readiness(), Readiness::Draining);
}

/// Starts a drain that admits requests for 550 ms and answers them within 3,200 ms.
fn start_drain(harness: &mut CoreHarness) {
    harness.handle(Event::Drain(DrainSchedule {
        admit_within: Duration::from_millis(550),
        respond_within: Duration::from_millis(3_200),
    }));
}

fn is_shed_at_once(outcome: Result<Outcome, TryRecvError>) -> bool {
    matches!(outcome, Ok(Outcome::Shed { retry_after }) if retry_after.is_zero())
}

/// A request whose stream the kill would cut is shed before its first attempt. It used to be started, and a request that
/// must not run twice had run when the kill cut its stream (review/2).
#[test]
fn a_request_that_arrives_late_in_a_shutdown_is_shed_and_never_runs() {
    let mut harness = CoreHarness::new(10);
    start_drain(&mut harness);
    harness.advance(549 * MS);
    assert!(
        harness.submit(1, 1, "in-time").try_recv().is_err(),
        "admitted"
    );
    assert_eq!(harness.attempt_count(), 1);
    harness.advance(MS);
    for class in [0, 1] {
        let mut outcome = harness.submit(2, class, "late");
        assert!(is_shed_at_once(outcome.try_recv()), "class {class}");
    }
    // New settings don't begin the admission anew.
    harness.apply_settings(profile::SETTINGS).unwrap();
    assert!(is_shed_at_once(harness.submit(3, 1, "later").try_recv()));
    assert_eq!(
        (harness.attempt_count(), harness.core.open_requests()),
        (1, 1),
        "nothing of the late requests was sent or is kept"
    );
}

/// While another process serves, it finishes the streams of late requests. A request whose stream can't migrate is shed all
/// the same, and so is every one after that process has ceased to serve.
#[test]
fn a_late_request_is_served_while_its_stream_can_migrate() {
    let mut harness = CoreHarness::new(10);
    start_drain(&mut harness);
    harness.handle(Event::StreamReceiverChanged { is_available: true });
    harness.advance(1_000 * MS);
    assert!(harness.submit(1, 1, "moves").try_recv().is_err(), "served");
    assert_eq!(harness.attempt_count(), 1);
    let (mut event, mut stays) = request_arrived(metadata(2), "stays");
    if let Event::RequestArrived { upstream, .. } = &mut event {
        upstream.stream_can_migrate = false;
    }
    harness.handle(event);
    assert!(is_shed_at_once(stays.try_recv()));
    harness.handle(Event::StreamReceiverChanged {
        is_available: false,
    });
    assert!(is_shed_at_once(harness.submit(3, 1, "alone").try_recv()));
    assert_eq!(harness.attempt_count(), 1);
}

/// A client that submits an id again late in a shutdown is not told that a retry is harmless if that id may have run.
#[test]
fn a_late_request_that_may_have_run_is_not_shed() {
    let mut harness = CoreHarness::new(10);
    let _first = harness.submit(1, 1, "again");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    start_drain(&mut harness);
    harness.advance(600 * MS);
    assert!(matches!(
        harness.submit(2, 1, "again").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
    drop(harness.start_stream(1, 1));
    harness.end_attempt(1, 1, AttemptStatus::Served);
    assert_eq!(harness.core.open_requests(), 0);
    assert!(matches!(
        harness.submit(3, 1, "again").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
}
