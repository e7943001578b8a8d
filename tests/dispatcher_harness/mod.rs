//! A harness for tests of the dispatcher core alone. It performs no I/O, and time advances only as a test says.

#![allow(dead_code)]

use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::bans::BanError;
use quartzhall::dispatcher::{
    Command, Core, DiscoveredEndpoint, EndReason, Event, Outcome, Readiness, SettingsError,
    StreamChunk, UpstreamRequest,
};
use quartzhall::routing::api::{
    AttemptStatus, EndpointRecord, EndpointStatus, RequestMetadata, Role, Time,
};
use slog::{o, Discard, Logger};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

#[path = "../testbed/profile.rs"]
pub(crate) mod profile;

/// The time at which every core starts.
pub(crate) const START: Time = 1_700_000_000_000_000;
/// Microseconds in a millisecond.
pub(crate) const MS: Time = 1000;

/// The part of the profile that makes requests of the first class idempotent.
pub(crate) const IDEMPOTENT_CLASS: &str = r#""aim":1500.0,"repeat":"free""#;
/// A replacement for [`IDEMPOTENT_CLASS`], with which requests of the first class must not run twice.
pub(crate) const NON_IDEMPOTENT_CLASS: &str = r#""aim":1500.0,"repeat":"single_shot""#;

/// A core with its current time and the commands so far.
pub(crate) struct CoreHarness {
    pub core: Core,
    pub now: Time,
    pub commands: Vec<Command>,
}

/// Returns an endpoint with KV cache for 200,000 tokens. Its key is the length of `id`, and its port is 7000 plus that length,
/// so the endpoints of a test need ids of different lengths.
pub(crate) fn endpoint(id: &str, role: Role, status: EndpointStatus) -> DiscoveredEndpoint {
    let record = EndpointRecord {
        key: id.len() as u64,
        role,
        status,
        kv_capacity_tokens: 200_000.0,
        ..EndpointRecord::default()
    };
    DiscoveredEndpoint {
        id: id.into(),
        address: format!("127.0.0.1:{}", 7000 + id.len()).into(),
        record,
        is_partial: false,
    }
}

pub(crate) fn deployment(profile: &str) -> Deployment {
    let settings: SettingsObject = miniserde::json::from_str(profile).unwrap();
    Deployment::new(&settings).unwrap()
}

/// Returns a request of the first class with 2 s until its deadline.
pub(crate) fn metadata(id: u64) -> RequestMetadata {
    RequestMetadata {
        id,
        time_left: 2_000 * MS,
        prompt_tokens: 500.0,
        max_output_tokens: 9.0,
        ..RequestMetadata::default()
    }
}

/// Returns the event of a client's request with the body `{}`, and the receiver of the outcome.
pub(crate) fn request_arrived(
    metadata: RequestMetadata,
    client_request_id: &str,
) -> (Event, oneshot::Receiver<Outcome>) {
    let upstream = UpstreamRequest {
        client_request_id: client_request_id.into(),
        target: "/v1/chat/completions".into(),
        body: "{}".into(),
        stream_can_migrate: true,
    };
    let (sender, outcome) = oneshot::channel();
    let event = Event::RequestArrived {
        metadata,
        upstream,
        outcome: sender,
        end_report: None,
    };
    (event, outcome)
}

impl CoreHarness {
    /// Creates a core that holds up to `max_requests` open requests, with one prefill endpoint, `r`, and one decode
    /// endpoint, `ww`.
    pub(crate) fn new(max_requests: usize) -> CoreHarness {
        CoreHarness::with_deployment(deployment(profile::SETTINGS), max_requests)
    }

    /// Does the same as [`CoreHarness::new`] with other settings.
    pub(crate) fn with_deployment(deployment: Deployment, max_requests: usize) -> CoreHarness {
        let log = Logger::root(Discard, o!());
        let mut harness = CoreHarness {
            core: Core::new(Arc::new(deployment), max_requests, 7, START, log),
            now: START,
            commands: Vec::new(),
        };
        assert_eq!(harness.core.readiness(), Readiness::Starting);
        harness.replace_endpoints(vec![
            endpoint("r", Role::Prefill, EndpointStatus::Ready),
            endpoint("ww", Role::Decode, EndpointStatus::Ready),
        ]);
        assert_eq!(harness.core.readiness(), Readiness::Ready);
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.core.handle_event(self.now, event);
        self.commands.extend(self.core.take_commands());
    }

    /// Advances the time by `duration` microseconds and runs the core's timers as they become due.
    pub(crate) fn advance(&mut self, duration: Time) {
        let until = self.now + duration;
        while let Some(due) = self.core.next_wakeup().filter(|due| *due <= until) {
            self.now = due.max(self.now + 1);
            self.core.on_timer(self.now);
            self.commands.extend(self.core.take_commands());
        }
        self.now = until;
    }
}

/// Requests and their attempts.
impl CoreHarness {
    /// Submits a request with at most 100 output tokens and 2 s until its deadline.
    pub(crate) fn submit(
        &mut self,
        id: u64,
        class: usize,
        client_request_id: &str,
    ) -> oneshot::Receiver<Outcome> {
        let metadata = RequestMetadata {
            class,
            max_output_tokens: 100.0,
            ..metadata(id)
        };
        self.submit_request(metadata, client_request_id)
    }

    pub(crate) fn submit_request(
        &mut self,
        metadata: RequestMetadata,
        client_request_id: &str,
    ) -> oneshot::Receiver<Outcome> {
        let (event, outcome) = request_arrived(metadata, client_request_id);
        self.handle(event);
        outcome
    }

    /// Disconnects the client without asking whether its request may have run.
    pub(crate) fn disconnect(&mut self, id: u64) {
        self.handle(Event::ClientDisconnected {
            id,
            may_have_run: None,
        });
    }

    /// Delivers an attempt's first event. Dropping the returned sender breaks the stream.
    pub(crate) fn start_stream(&mut self, id: u64, attempt: u32) -> mpsc::Sender<StreamChunk> {
        let (chunks, stream) = mpsc::channel(4);
        self.handle(Event::FirstEvent {
            id,
            attempt,
            stream,
        });
        chunks
    }

    /// Delivers the end of an attempt, without token counts and without a load report.
    pub(crate) fn end_attempt(&mut self, id: u64, attempt: u32, status: AttemptStatus) {
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            reason: EndReason::from_status(status),
            cached_tokens: 0.0,
            completion_tokens: 0.0,
            load: None,
        });
    }

    /// Returns the number of attempts started so far.
    pub(crate) fn attempt_count(&self) -> usize {
        self.commands
            .iter()
            .filter(|command| matches!(command, Command::StartAttempt { .. }))
            .count()
    }

    /// Returns the request id and the attempt number of all attempts that the core has cancelled so far.
    pub(crate) fn cancelled_attempts(&self) -> Vec<(u64, u32)> {
        let cancelled = |command: &Command| match command {
            Command::CancelAttempt { id, attempt } => Some((*id, *attempt)),
            _ => None,
        };
        self.commands.iter().filter_map(cancelled).collect()
    }

    /// Returns the number of releases commanded so far.
    pub(crate) fn release_count(&self) -> usize {
        self.commands
            .iter()
            .filter(|command| matches!(command, Command::ReleaseReservation { .. }))
            .count()
    }

    /// Delivers an endpoint's confirmation that it has released the reservation of the request with this request id.
    pub(crate) fn complete_release(&mut self, id: u64) {
        self.handle(Event::ReleaseCompleted {
            id,
            confirmed: true,
        });
    }

    /// Confirms the release of a request whose attempt was just abandoned, and the repeat of that release. The core
    /// repeats it because the first one may have reached the endpoint before the close of the attempt's connection.
    pub(crate) fn complete_repeated_release(&mut self, id: u64) {
        let before = self.release_count();
        self.complete_release(id);
        assert_eq!(
            self.release_count(),
            before,
            "the release is not repeated at once"
        );
        self.advance(120 * MS);
        assert!(self.release_count() > before, "the release is repeated");
        self.complete_release(id);
    }
}

/// Endpoints, bans and settings.
impl CoreHarness {
    /// Delivers a complete list of endpoints.
    pub(crate) fn replace_endpoints(&mut self, endpoints: Vec<DiscoveredEndpoint>) {
        self.handle(Event::EndpointsChanged {
            is_full: true,
            endpoints,
        });
    }

    /// Delivers changes of the endpoint list.
    pub(crate) fn update_endpoints(&mut self, endpoints: Vec<DiscoveredEndpoint>) {
        self.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints,
        });
    }

    /// Delivers an operator's command to ban an endpoint, or to end its ban, and returns the core's answer. `endpoint_id` is
    /// the id from discovery.
    pub(crate) fn set_ban(&mut self, endpoint_id: &str, banned: bool) -> Result<(), BanError> {
        let (reply, mut result) = oneshot::channel();
        self.handle(Event::BanRequested {
            endpoint_id: endpoint_id.into(),
            banned,
            reply,
        });
        result.try_recv().unwrap()
    }

    /// Returns the addresses that were blocked (`true`) or unblocked (`false`) so far, in the order of the commands.
    pub(crate) fn block_commands(&self) -> Vec<(&str, bool)> {
        let block = |command| match command {
            &Command::BlockAddress {
                ref address,
                is_blocked,
            } => Some((&**address, is_blocked)),
            _ => None,
        };
        self.commands.iter().filter_map(block).collect()
    }

    /// Returns the addresses that are blocked after all commands so far, sorted.
    pub(crate) fn blocked_addresses(&self) -> Vec<&str> {
        let mut blocked = BTreeSet::new();
        for (address, is_blocked) in self.block_commands() {
            if is_blocked {
                blocked.insert(address);
            } else {
                blocked.remove(address);
            }
        }
        blocked.into_iter().collect()
    }

    /// Delivers a change of the settings and returns the core's answer.
    pub(crate) fn apply_settings(&mut self, profile: &str) -> Result<(), SettingsError> {
        let (reply, mut result) = oneshot::channel();
        self.handle(Event::SettingsChanged {
            deployment: Box::new(deployment(profile)),
            reply,
        });
        result.try_recv().unwrap()
    }
}
