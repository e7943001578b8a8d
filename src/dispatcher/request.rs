//! The state of one open request: its phase, its attempts and its reservation at endpoints.
//!
//! The request table owns each [`Request`], and the core's event handlers update it. The phase only moves forward, and each
//! attempt ends once.

use super::endpoint_target::EndpointTarget;
use super::messages::{Outcome, UpstreamRequest};
use super::reasons::EndReason;
use super::reservation::{Reservation, ReservationDemand};
use crate::routing::api::{EndpointId, Idempotency, RequestMetadata, Role, Time};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Class of a request whose stream was received from another process. The real class is not known, and no class of the
/// settings has this number.
const UNKNOWN_CLASS: usize = usize::MAX;

/// One attempt to run a request at an endpoint.
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    /// The endpoint's properties when the attempt started. `None` if the rules forbade the attempt, or if another process
    /// started it.
    pub target: Option<EndpointTarget>,
    pub started_at: Time,
    /// Why it ended; `None` while it is in flight.
    pub end_reason: Option<EndReason>,
    /// When it ended; meaningless while it is in flight.
    pub ended_at: Time,
}

impl Attempt {
    /// Creates an attempt that starts now.
    pub(super) fn new(now: Time, endpoint: EndpointId, target: Option<EndpointTarget>) -> Self {
        Attempt {
            endpoint,
            target,
            started_at: now,
            end_reason: None,
            ended_at: now,
        }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.end_reason.is_none()
    }

    fn has_response(&self) -> bool {
        self.end_reason.is_some_and(EndReason::is_response)
    }
}

/// The phase of a request. Phases follow each other in this order; `Streaming` may be skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No outcome has been sent yet.
    Waiting,
    /// The stream of this attempt is being forwarded to the client.
    Streaming { attempt: u32 },
    /// The request has its final outcome, or its client has disconnected. `stream` is the attempt whose stream went to the
    /// client, if there was one; that attempt may still be in flight.
    Closed { stream: Option<u32> },
}

/// A request in the table. It is kept from its arrival until it is closed, no attempt is in flight and nothing is reserved for
/// it.
pub(super) struct Request {
    pub class: usize,
    pub upstream: UpstreamRequest,
    /// The request is non-idempotent: it must not run twice.
    pub must_not_repeat: bool,
    /// Receives the outcome. `None` once the outcome is sent or the client has disconnected, and for a received stream.
    pub outcome: Option<oneshot::Sender<Outcome>>,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub reservation: Reservation,
    /// An attempt other than a prefill has ended, and nothing proves that it never ran.
    pub may_have_run: bool,
    /// Receive `may_have_run` when the request leaves the table.
    pub end_reports: Vec<oneshot::Sender<bool>>,
    /// Its stream was started by another process of this dispatcher and received through stream migration.
    pub is_received: bool,
    phase: Phase,
}

/// The result of [`Request::end_attempt`].
pub(super) struct EndedAttempt {
    pub endpoint: EndpointId,
    /// The attempt was the client's stream, and the request was not closed before it ended.
    pub was_open_stream: bool,
}

impl Request {
    /// Creates a request that has just arrived.
    pub(super) fn new(
        now: Time,
        metadata: &RequestMetadata,
        upstream: UpstreamRequest,
        idempotency: Idempotency,
        outcome: oneshot::Sender<Outcome>,
    ) -> Self {
        Request {
            class: metadata.class,
            upstream,
            must_not_repeat: idempotency == Idempotency::NonIdempotent,
            outcome: Some(outcome),
            deadline: now.saturating_add(metadata.time_left),
            attempts: Vec::new(),
            reservation: Reservation::default(),
            may_have_run: false,
            end_reports: Vec::new(),
            is_received: false,
            phase: Phase::Waiting,
        }
    }

    /// Creates a request for a stream that another process has started. The stream is its only attempt.
    pub(super) fn received(now: Time, client_request_id: Arc<str>, endpoint: EndpointId) -> Self {
        Request {
            class: UNKNOWN_CLASS,
            upstream: UpstreamRequest {
                client_request_id,
                target: "".into(),
                body: Bytes::new(),
                stream_can_migrate: true,
            },
            must_not_repeat: true,
            outcome: None,
            deadline: now,
            attempts: vec![Attempt::new(now, endpoint, None)],
            reservation: Reservation::default(),
            may_have_run: false,
            end_reports: Vec::new(),
            is_received: true,
            phase: Phase::Streaming { attempt: 0 },
        }
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(super) fn is_in_flight(&self, attempt: u32) -> bool {
        self.attempts
            .get(attempt as usize)
            .is_some_and(Attempt::is_in_flight)
    }

    /// Returns why the last attempt ended; `None` if there is no attempt or the last one is in flight.
    pub(super) fn last_end_reason(&self) -> Option<EndReason> {
        self.attempts.last()?.end_reason
    }

    /// Returns the endpoints of all attempts: first those that have responded, and in each group the latest attempt first.
    pub(super) fn attempted_endpoints(&self) -> impl Iterator<Item = EndpointId> + '_ {
        let latest_first = self.attempts.iter().rev();
        let with_response = latest_first
            .clone()
            .filter(|attempt| attempt.has_response());
        let without_response = latest_first.filter(|attempt| !attempt.has_response());
        with_response
            .chain(without_response)
            .map(|attempt| attempt.endpoint)
    }

    /// Returns whether no outcome has been sent yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed { .. })
    }

    /// Returns the attempt whose stream goes, or went, to the client.
    pub(super) fn stream(&self) -> Option<u32> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Streaming { attempt } => Some(attempt),
            Phase::Closed { stream } => stream,
        }
    }

    /// Returns what may still need the request's reservation. An attempt that has begun to stream needs no KV cache from
    /// another endpoint any more; any other attempt may be waiting for one.
    pub(super) fn reservation_demand(&self) -> ReservationDemand {
        if self.stream().is_none() && self.has_attempt_in_flight() {
            ReservationDemand::AttemptInFlight
        } else if self.is_waiting() {
            ReservationDemand::RequestWaiting
        } else {
            ReservationDemand::NotNeeded
        }
    }

    /// Records that the first event of an attempt's stream has gone to the client.
    pub(super) fn start_stream(&mut self, attempt: u32) {
        self.phase = Phase::Streaming { attempt };
        self.reservation.on_stream_started();
        self.upstream.body = Bytes::new(); // frees the body: no attempt will be started any more
    }

    /// Closes the request, because its final outcome is sent or its client has disconnected. Returns false if it was closed
    /// before.
    pub(super) fn close(&mut self) -> bool {
        let was_open = !self.is_closed();
        self.phase = Phase::Closed {
            stream: self.stream(),
        };
        was_open
    }

    /// Records the end of an attempt, and updates the reservation and `may_have_run`. `role_of` returns the role of an
    /// endpoint that is in the table. Returns `None` if the attempt was not in flight.
    pub(super) fn end_attempt(
        &mut self,
        now: Time,
        attempt: u32,
        reason: EndReason,
        role_of: impl Fn(EndpointId) -> Option<Role>,
    ) -> Option<EndedAttempt> {
        let ended = self
            .attempts
            .get_mut(attempt as usize)
            .filter(|attempt| attempt.is_in_flight())?;
        ended.end_reason = Some(reason);
        ended.ended_at = now;
        let endpoint = ended.endpoint;
        let role = role_of(endpoint);
        self.may_have_run |= !reason.never_ran() && role != Some(Role::Prefill);
        let is_stream = self.stream() == Some(attempt);
        let was_open_stream = is_stream && self.close();
        if !is_stream {
            self.reservation.on_attempt_ended(now, role, reason);
        }
        Some(EndedAttempt {
            endpoint,
            was_open_stream,
        })
    }

    /// Returns whether the request can be removed from the table.
    pub(super) fn is_finished(&self) -> bool {
        self.is_closed()
            && !self.has_attempt_in_flight()
            && !self.reservation.is_releasing()
            && !self.reservation.may_be_held()
    }
}
