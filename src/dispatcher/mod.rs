//! The core: it owns the [`Router`](crate::routing::Router), the request table, the clock and the timers, and knows no wire.
//!
//! [`Core`] is a plain state machine: events in, commands out. [`run`] is the one task that owns it; all else
//! reaches it through the bounded queue behind a [`DispatcherHandle`]. Here the rules are kept whatever the module says:
//! one final answer for each request, deadlines, attempt numbers, and the release of what is held.

pub mod bans;
mod clock;
mod core;
mod endpoint_table;
mod guard;
mod handle;
mod messages;
mod reasons;
mod report;
mod request;
mod request_table;
mod reservation;
mod rules;

pub use self::clock::Clock;
pub use self::core::Core;
pub use self::handle::{channel, DispatcherHandle, EventReceiver, PendingRequest};
pub use self::messages::{
    Command, DiscoveredEndpoint, Event, Outcome, Readiness, StreamChunk, UpstreamRequest,
};
pub use self::reasons::{CloseReason, EndReason, ReleaseReason};
pub use self::rules::Rule;

use bytes::Bytes;
use quartzhall_recording::Recorder;
use slog::info;
use tokio::sync::mpsc;

/// The task that owns the core: it ends when every door is gone. What the core notes goes to the recorder, what it has
/// to tell to `others`.
pub async fn run(
    mut core: Core,
    clock: Clock,
    mut inbox: EventReceiver,
    commands: mpsc::Sender<Command>,
    recorder: Option<Recorder>,
    others: Option<mpsc::Sender<Bytes>>,
) {
    loop {
        let due = core.next_wakeup().map(|at| clock.instant(at));
        let sleep = async {
            match due {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = inbox.recv() => match event {
                Some(event) => core.handle_event(clock.now(), event),
                None => break,
            },
            () = sleep => {}
        }
        // Everything that has come in by now is one batch, heard in the order in which it came.
        let now = clock.now();
        while let Some(event) = inbox.try_recv() {
            core.handle_event(now, event);
        }
        core.on_timer(now);
        for command in core.take_commands() {
            if commands.send(command).await.is_err() {
                return;
            }
        }
        if let (Some(others), Some(message)) = (&others, core.next_gossip_message(now)) {
            let _ = others.try_send(message); // where it would have to wait it is not worth it
        }
        if let Some(recorder) = &recorder {
            core.take_records()
                .into_iter()
                .for_each(|note| recorder.note(note));
        }
        if let Some(site) = core.take_changed_deployment() {
            inbox.site.send_replace(site);
        }
        if let Some(marks) = core.take_changed_bans() {
            inbox.marks.send_replace(marks);
        }
        let ready = core.readiness();
        if inbox
            .readiness
            .send_if_modified(|old| std::mem::replace(old, ready) != ready)
        {
            info!(core.log, "readiness"; "state" => ?ready);
        }
        let open = core.open_requests();
        if ready == Readiness::Draining && open == 0 {
            core.log_summary();
        }
        inbox
            .open
            .send_if_modified(|old| std::mem::replace(old, open) != open);
    }
}
