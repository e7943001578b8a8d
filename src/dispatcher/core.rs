//! The dispatcher's state machine: events in, commands out.
//!
//! [`Core`] owns the router, the request table, the endpoint table, the settings in force, the timers and the report. This
//! file joins them; the handlers of each concern are in a module of their own: [`requests`], [`attempts`], [`received_streams`],
//! [`router_actions`], [`endpoints`], [`gossip`], [`settings`] and [`lifecycle`].

mod attempts;
mod endpoints;
mod gossip;
mod lifecycle;
mod received_streams;
mod requests;
mod router_actions;
mod settings;

use self::attempts::AttemptEnd;
use self::lifecycle::Lifecycle;
use self::settings::SettingsState;
use super::endpoint_table::EndpointTable;
use super::endpoint_target::EndpointTarget;
use super::guard::Guard;
use super::messages::{Command, Event};
use super::report::Report;
use super::request_table::RequestTable;
use crate::config::Deployment;
use crate::gossip::Gossip;
use crate::recording::TraceRecorder;
use crate::routing::api::{self, EndpointId, Time};
use crate::routing::Router;
use quartzhall_recording::Record;
use slog::Logger;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// While there are requests, their deadlines are checked this often (microseconds).
const DEADLINE_CHECK_INTERVAL: Time = 20_000;

/// The state machine. Its caller passes the time with each event and executes the commands.
pub struct Core {
    router: Router,
    settings: SettingsState,
    lifecycle: Lifecycle,
    endpoints: EndpointTable,
    requests: RequestTable,
    timers: BinaryHeap<Reverse<Time>>,
    next_deadline_check: Time,
    commands: Vec<Command>,
    recorder: Option<TraceRecorder>,
    gossip: Option<Gossip>,
    report: Report,
}

impl Core {
    /// A core that starts now. `now` is Unix time in microseconds, as are all times that the core receives.
    /// `max_connections`: the number of connections to endpoints bounds the number of open requests.
    pub fn new(
        deployment: Arc<Deployment>,
        max_connections: usize,
        seed: u64,
        now: Time,
        log: Logger,
    ) -> Self {
        let settings = SettingsState::new(deployment, max_connections, now);
        let mut core = Core {
            router: Router::new(settings.routing().clone(), seed, now),
            settings,
            lifecycle: Lifecycle::Serving,
            endpoints: EndpointTable::default(),
            requests: RequestTable::default(),
            timers: BinaryHeap::new(),
            next_deadline_check: now,
            commands: Vec::new(),
            recorder: None,
            gossip: None,
            report: Report::new(now, log),
        };
        core.drive_router(now, api::Event::TimerFired);
        core
    }

    /// Records from now on what arrives and what is decided.
    pub fn set_trace_recorder(&mut self, recorder: TraceRecorder) {
        self.recorder = Some(recorder);
    }

    /// Exchanges observations with other dispatchers from now on.
    pub fn set_gossip(&mut self, gossip: Gossip) {
        self.gossip = Some(gossip);
    }

    /// Handles one event.
    pub fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrived {
                metadata,
                upstream,
                outcome,
            } => self.on_request_arrived(now, metadata, upstream, outcome),
            Event::StreamReceived(received) => self.on_stream_received(now, received),
            Event::ClientDisconnected { id, may_have_run } => {
                self.on_client_disconnected(now, id, may_have_run);
            }
            Event::FirstEvent {
                id,
                attempt,
                stream,
            } => self.on_first_event(now, id, attempt, stream),
            Event::AttemptEnded {
                id,
                attempt,
                reason,
                cached_tokens,
                completion_tokens,
                load,
            } => {
                let end = AttemptEnd::new(id, attempt, reason, cached_tokens, load);
                self.on_attempt_ended(now, end, completion_tokens);
            }
            Event::ReleaseCompleted { id, confirmed } => {
                self.on_release_completed(now, id, confirmed);
            }
            Event::ProbeCompleted {
                endpoint,
                is_healthy,
                load,
            } => self.on_probe_completed(now, endpoint, is_healthy, load),
            Event::GossipReceived { peer, message } => self.on_gossip_received(now, peer, &message),
            Event::EndpointsChanged { is_full, endpoints } => {
                self.update_endpoints(now, is_full, endpoints);
            }
            Event::EndpointListFailed => self.drive_router(now, api::Event::EndpointListFailed),
            Event::BanRequested {
                endpoint_id,
                banned,
                reply,
            } => self.on_ban_requested(now, endpoint_id, banned, reply),
            Event::BanRecordsReceived(records) => self.on_ban_records_received(now, &records),
            Event::SettingsChanged { deployment, reply } => {
                self.on_settings_changed(now, *deployment, reply);
            }
            Event::AcceptClients => self.lifecycle.accept_clients(),
            Event::ResourceShareChanged { share, processes } => {
                self.on_resource_share_changed(now, share, processes);
            }
            Event::Drain(grace) => self.on_drain(now, grace),
        }
    }

    /// Does what is due: the router's timers, the check of deadlines and the summary.
    pub fn on_timer(&mut self, now: Time) {
        while let Some(Reverse(due)) = self.timers.peek() {
            if *due > now {
                break;
            }
            self.timers.pop();
            self.drive_router(now, api::Event::TimerFired);
        }
        if now >= self.next_deadline_check {
            self.next_deadline_check = now + DEADLINE_CHECK_INTERVAL;
            self.report.summarize_if_due(now, self.requests.len());
            self.check_deadlines(now);
        }
    }

    /// When [`Core::on_timer`] must be called next.
    pub fn next_wakeup(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse(due)| *due);
        if self.requests.len() == 0 {
            return timer;
        }
        let check = self.next_deadline_check;
        Some(timer.map_or(check, |due| due.min(check)))
    }

    /// Takes the commands, in order; blocks come first, so that nothing goes to an endpoint that has begun to drain.
    pub fn take_commands(&mut self) -> Vec<Command> {
        Command::sort_blocks_first(&mut self.commands);
        std::mem::take(&mut self.commands)
    }

    /// Takes what was recorded since the last call.
    pub fn take_records(&mut self) -> Vec<Record> {
        match &mut self.recorder {
            Some(recorder) => recorder.take_records(),
            None => Vec::new(),
        }
    }

    /// Logs all counters that are not logged yet.
    pub fn log_summary(&mut self) {
        self.report.summarize(self.requests.len());
    }

    /// The number of requests in the table.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The number of endpoints in the table: those of the list, and removed ones with attempts in flight.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }
}

/// The guard that checks steps against the settings in force and the endpoints as they are now.
fn guard<'a>(
    settings: &'a SettingsState,
    endpoints: &'a EndpointTable,
    now: Time,
) -> Guard<'a, impl Fn(EndpointId) -> Option<EndpointTarget> + 'a> {
    Guard {
        settings: settings.routing(),
        target_of: |endpoint| endpoints.target(endpoint),
        now,
    }
}
