//! The dispatcher core: request state, endpoint state and timers around the [`Router`](crate::routing::Router), without
//! any I/O.
//!
//! [`Core`] is a state machine that turns events into commands. [`run`] is the only task that owns it; all other code
//! reaches it through the bounded queue behind a [`DispatcherHandle`]. Whatever the router decides, the core enforces the
//! protocol rules: one final outcome per request, deadlines, the limit of attempts and the release of reservations.

pub mod bans;
mod clock;
mod core;
mod endpoint_table;
mod endpoint_target;
mod guard;
mod handle;
mod messages;
mod reasons;
mod report;
mod request;
mod request_table;
mod reservation;
mod rules;
mod settings_error;

pub use self::clock::Clock;
pub use self::core::Core;
pub use self::handle::{channel, DispatcherHandle, EventReceiver, PendingRequest};
pub use self::messages::{
    Command, DiscoveredEndpoint, DrainSchedule, Event, Outcome, Readiness, ReceivedAttempt,
    ReceivedRequest, StreamChunk, UpstreamRequest, MAX_QUEUED_CHUNKS, MAX_UNREAD_BYTES,
};
pub use self::reasons::{CloseReason, EndReason, ReleaseReason};
pub use self::rules::Rule;
pub use self::settings_error::SettingsError;

use bytes::Bytes;
use quartzhall_recording::Recorder;
use tokio::sync::mpsc;

/// Runs the core until every handle has been dropped or the receiver of `commands` has been. Trace records go to
/// `recorder` and gossip messages to `gossip`; either is off when `None`.
pub async fn run(
    mut core: Core,
    clock: Clock,
    mut receiver: EventReceiver,
    commands: mpsc::Sender<Command>,
    recorder: Option<Recorder>,
    gossip: Option<mpsc::Sender<Bytes>>,
) {
    loop {
        let wakeup = core.next_wakeup().map(|time| clock.instant(time));
        let sleep = async {
            match wakeup {
                Some(instant) => tokio::time::sleep_until(instant).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = receiver.recv() => match event {
                Some(event) => core.handle_event(clock.now(), event),
                None => break,
            },
            () = sleep => {}
        }
        // Handle all queued events as one batch before any command is sent.
        let now = clock.now();
        while let Some(event) = receiver.try_recv() {
            core.handle_event(now, event);
        }
        core.on_timer(now);
        for command in core.take_commands() {
            if commands.send(command).await.is_err() {
                return;
            }
        }
        if let Some(gossip) = &gossip {
            if let Some(message) = core.next_gossip_message(now) {
                let _ = gossip.try_send(message); // a full channel drops it: a delayed message has no value
            }
        }
        if let Some(recorder) = &recorder {
            for record in core.take_records() {
                recorder.record(record);
            }
        }
        publish_changes(&mut core, &receiver);
    }
}

/// Publishes the state that has changed since the last call on the watch channels.
fn publish_changes(core: &mut Core, receiver: &EventReceiver) {
    if let Some(deployment) = core.take_changed_deployment() {
        receiver.deployment.send_replace(deployment);
    }
    if let Some(records) = core.take_changed_bans() {
        receiver.ban_records.send_replace(records);
    }
    let readiness = core.readiness();
    let has_changed = receiver
        .readiness
        .send_if_modified(|published| std::mem::replace(published, readiness) != readiness);
    if has_changed {
        core.log_readiness(readiness);
    }
    let open_requests = core.open_requests();
    if readiness == Readiness::Draining && open_requests == 0 {
        core.log_summary();
    }
    receiver
        .open_requests
        .send_if_modified(|published| std::mem::replace(published, open_requests) != open_requests);
}
