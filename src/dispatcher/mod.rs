//! The core: it owns the [`Router`](crate::routing::Router), the request table, the endpoint table and the timers, and knows
//! no wire.
//!
//! [`Core`] is a plain state machine: events in, commands out. [`run`] is the one task that owns it; everything else
//! reaches it through the bounded queue behind a [`DispatcherHandle`]. The core enforces the protocol's rules whatever the
//! router decides: one final outcome for each request, deadlines, attempt numbers, and the release of reservations.

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
    Command, DiscoveredEndpoint, Event, Outcome, Readiness, ReceivedAttempt, ReceivedRequest,
    StreamChunk, UpstreamRequest, MAX_QUEUED_CHUNKS,
};
pub use self::reasons::{CloseReason, EndReason, ReleaseReason};
pub use self::rules::Rule;
pub use self::settings_error::SettingsError;

use bytes::Bytes;
use quartzhall_recording::Recorder;
use tokio::sync::mpsc;

/// The task that owns the core: it ends when every handle has been dropped, or when the commands' receiver is. What the core
/// records goes to `recorder`, its gossip messages to `gossip`.
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
        // Everything that has arrived by now is one batch, handled in the order of its arrival.
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
                let _ = gossip.try_send(message); // a message that would have to wait is not worth sending
            }
        }
        if let Some(recorder) = &recorder {
            for record in core.take_records() {
                recorder.note(record);
            }
        }
        publish_changes(&mut core, &receiver);
    }
}

/// Publishes what has changed in the core to those who watch it.
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
