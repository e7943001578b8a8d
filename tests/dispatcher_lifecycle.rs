//! Tests of the core's readiness, its shutdown and the event queue.

mod dispatcher_harness;

use dispatcher_harness::{deployment, profile, CoreHarness, MS};
use quartzhall::dispatcher::{self, Core, Event, Outcome, Readiness};
use quartzhall::routing::api::AttemptStatus;
use slog::{o, Discard, Logger};
use std::sync::Arc;
use tokio::sync::mpsc;

#[test]
fn readiness_is_draining_while_requests_are_still_served() {
    let mut harness = CoreHarness::new(10);
    harness.handle(Event::Drain(std::time::Duration::from_secs(3)));
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
    handle.send_detached(Event::Drain(std::time::Duration::from_secs(3)));
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
    harness.handle(Event::Drain(std::time::Duration::from_millis(700)));
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
    harness.handle(Event::Drain(std::time::Duration::from_secs(3)));
    harness.handle(Event::AcceptClients);
    assert_eq!(harness.core.readiness(), Readiness::Draining);
    harness.core.start_in_standby();
    assert_eq!(harness.core.readiness(), Readiness::Draining);
}
