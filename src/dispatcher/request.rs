//! One request in the table: its phase, its attempts, and its reservation at endpoints.
//!
//! A [`Request`] is owned by the request table; handlers of the core change it through the methods here.

use super::endpoint_target::EndpointTarget;
use super::messages::{Outcome, UpstreamRequest};
use super::reasons::EndReason;
use super::reservation::{Reservation, ReservationDemand};
use crate::routing::api::{EndpointId, Idempotency, RequestMetadata, Role, Time};
use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::oneshot;

/// The class of requests that another process has begun, which is not known; no class has this number.
const RECEIVED_CLASS: usize = usize::MAX;

/// One attempt for a request.
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    /// The endpoint as it was when the attempt started; `None` where the rules forbade the attempt.
    pub target: Option<EndpointTarget>,
    pub started_at: Time,
    /// Why it ended; it is in flight until then.
    pub end_reason: Option<EndReason>,
    pub ended_at: Time,
}

impl Attempt {
    /// An attempt that starts now.
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

/// Where a request stands. It goes from top to bottom, and may skip the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It has no outcome yet.
    Waiting,
    /// This attempt's stream goes to the client.
    Streaming { attempt: u32 },
    /// It has its final outcome, or its client has disconnected. The attempt of its stream, if it had one, may still be in
    /// flight.
    Closed { stream: Option<u32> },
}

/// A request, from its arrival until it is closed, no attempt is in flight, and nothing is reserved for it.
pub(super) struct Request {
    pub class: usize,
    pub upstream: UpstreamRequest,
    /// It must not run twice.
    pub must_not_repeat: bool,
    /// Where the outcome goes; taken when it is sent.
    pub outcome: Option<oneshot::Sender<Outcome>>,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub reservation: Reservation,
    /// An attempt other than a prefill ended without proof that it never ran.
    pub may_have_run: bool,
    /// Receives `may_have_run` when the request leaves the table.
    pub may_have_run_reply: Option<oneshot::Sender<bool>>,
    /// Another process of this dispatcher has begun its stream.
    pub is_received: bool,
    phase: Phase,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub endpoint: EndpointId,
    /// It was the client's stream, and the request was not closed before.
    pub was_open_stream: bool,
}

impl Request {
    /// A request as it arrives.
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
            may_have_run_reply: None,
            is_received: false,
            phase: Phase::Waiting,
        }
    }

    /// A request whose stream another process has begun, and that ends with it.
    pub(super) fn received(now: Time, client_request_id: Arc<str>, endpoint: EndpointId) -> Self {
        Request {
            class: RECEIVED_CLASS,
            upstream: UpstreamRequest {
                client_request_id,
                target: "".into(),
                body: Bytes::new(),
            },
            must_not_repeat: true,
            outcome: None,
            deadline: now,
            attempts: vec![Attempt::new(now, endpoint, None)],
            reservation: Reservation::default(),
            may_have_run: false,
            may_have_run_reply: None,
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

    /// Why the last attempt ended; `None` where there is none or it is in flight.
    pub(super) fn last_end_reason(&self) -> Option<EndReason> {
        self.attempts.last()?.end_reason
    }

    /// Endpoints of its attempts: first those that have responded, the latest before the others.
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

    /// Whether it has no outcome yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    pub(super) fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed { .. })
    }

    /// The attempt whose stream goes, or went, to the client.
    pub(super) fn stream(&self) -> Option<u32> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Streaming { attempt } => Some(attempt),
            Phase::Closed { stream } => stream,
        }
    }

    /// Who may still use what is reserved for it. A stream in flight needs no KV cache of another endpoint any more; any
    /// other attempt may wait for one.
    pub(super) fn reservation_demand(&self) -> ReservationDemand {
        if self.stream().is_none() && self.has_attempt_in_flight() {
            ReservationDemand::AttemptInFlight
        } else if self.is_waiting() {
            ReservationDemand::RequestWaiting
        } else {
            ReservationDemand::NotNeeded
        }
    }

    /// An attempt's first event has gone to the client.
    pub(super) fn start_stream(&mut self, attempt: u32) {
        self.phase = Phase::Streaming { attempt };
        self.reservation.on_stream_started();
        self.upstream.body = Bytes::new(); // no further attempt will need it
    }

    /// It has its final outcome, or its client has disconnected. False where it was closed before.
    pub(super) fn close(&mut self) -> bool {
        let was_open = !self.is_closed();
        self.phase = Phase::Closed {
            stream: self.stream(),
        };
        was_open
    }

    /// Records the end of an attempt, what may be reserved and what may have run by it. `None`: it was not in flight.
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

    /// Whether it can leave the table.
    pub(super) fn is_finished(&self) -> bool {
        self.is_closed()
            && !self.has_attempt_in_flight()
            && !self.reservation.is_releasing()
            && !self.reservation.may_be_held()
    }
}
