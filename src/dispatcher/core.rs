//! The dispatcher's state machine, which turns events into commands.
//!
//! [`Core`] owns the router, the request table, the endpoint table, the settings in force, the timers and the report. It
//! performs no I/O and reads no clock. This file defines the state, the timers and the dispatch of events. The handlers are
//! in one module per concern: [`requests`], [`attempts`], [`received_streams`], [`router_actions`], [`endpoints`],
//! [`gossip`], [`settings`], [`lifecycle`] and [`drain_admission`].

mod attempts;
mod drain_admission;
mod endpoints;
mod gossip;
mod lifecycle;
mod received_streams;
mod requests;
mod router_actions;
mod settings;

use self::attempts::AttemptEnd;
use self::drain_admission::DrainAdmission;
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

/// The interval at which the deadlines and reservations of requests are checked, in microseconds.
const DEADLINE_CHECK_INTERVAL: Time = 20_000;

/// The dispatcher's state machine. The caller passes the time with each event and executes the resulting commands.
pub struct Core {
    router: Router,
    settings: SettingsState,
    lifecycle: Lifecycle,
    drain_admission: DrainAdmission,
    endpoints: EndpointTable,
    requests: RequestTable,
    /// Instants of the router's timers, the earliest first.
    timers: BinaryHeap<Reverse<Time>>,
    next_deadline_check: Time,
    /// Commands since the last call of [`Core::take_commands`].
    commands: Vec<Command>,
    recorder: Option<TraceRecorder>,
    gossip: Option<Gossip>,
    report: Report,
}

impl Core {
    /// Creates a core that accepts clients at once. `now`, like every time passed to the core, is Unix time in microseconds.
    /// `max_connections`, the limit of connections to endpoints, also limits the number of requests in the table. `seed`
    /// initializes the router's random choices.
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
            drain_admission: DrainAdmission::default(),
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

    /// Enables the trace recording of arrivals, attempts, endpoints and outcomes.
    pub fn set_trace_recorder(&mut self, recorder: TraceRecorder) {
        self.recorder = Some(recorder);
    }

    /// Enables the exchange of endpoint observations with other dispatchers.
    pub fn set_gossip(&mut self, gossip: Gossip) {
        self.gossip = Some(gossip);
    }

    /// Handles one event. The resulting commands wait for [`Core::take_commands`].
    pub fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrived {
                metadata,
                upstream,
                outcome,
                end_report,
            } => self.on_request_arrived(now, metadata, upstream, outcome, end_report),
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
            Event::Drain(schedule) => self.on_drain(now, schedule),
            Event::StreamReceiverChanged { is_available } => {
                self.drain_admission.set_stream_receiver(is_available);
            }
        }
    }

    /// Runs the router timers that are due. Once per check interval, also checks deadlines and logs the summary if due.
    pub fn on_timer(&mut self, now: Time) {
        while let Some(Reverse(due)) = self.timers.peek() {
            if *due > now {
                break;
            }
            self.timers.pop();
            self.drive_router(now, api::Event::TimerFired);
        }
        if self.drain_admission.take_end(now) {
            self.report.log_admission_ended();
        }
        if now >= self.next_deadline_check {
            self.next_deadline_check = now + DEADLINE_CHECK_INTERVAL;
            self.report.summarize_if_due(now, self.requests.len());
            self.check_deadlines(now);
        }
    }

    /// Returns when [`Core::on_timer`] must be called next, in Unix microseconds. That is the earliest router timer or,
    /// while the request table isn't empty, the next check of deadlines if that is earlier. `None` while nothing is
    /// scheduled.
    pub fn next_wakeup(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse(due)| *due);
        if self.requests.len() == 0 {
            return timer;
        }
        let check = self.next_deadline_check;
        Some(timer.map_or(check, |due| due.min(check)))
    }

    /// Takes the pending commands in order, with address blocks first: no earlier attempt is sent to an endpoint that has
    /// begun to drain.
    pub fn take_commands(&mut self) -> Vec<Command> {
        Command::sort_blocks_first(&mut self.commands);
        std::mem::take(&mut self.commands)
    }

    /// Takes the trace records since the last call; none without a recorder.
    pub fn take_records(&mut self) -> Vec<Record> {
        match &mut self.recorder {
            Some(recorder) => recorder.take_records(),
            None => Vec::new(),
        }
    }

    /// Logs all counters if one has changed since the last summary.
    pub fn log_summary(&mut self) {
        self.report.summarize(self.requests.len());
    }

    /// Returns the number of requests in the table, with closed ones whose attempts or reservations have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of endpoints in the table: listed ones, and removed ones with attempts in flight.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }
}

/// Returns a guard for the settings in force and the current state of the endpoints.
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
