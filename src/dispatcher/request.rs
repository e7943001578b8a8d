//! One request in the table: its phase, its attempts, and what servers may hold for it.

use super::guard::EndpointTarget;
use super::messages::{Outcome, UpstreamRequest};
use super::reasons::EndReason;
use super::reservation::Reservation;
use crate::routing::api::{EndpointId, RequestMetadata, Role, Time};
use bytes::Bytes;
use tokio::sync::oneshot;

/// One attempt for a request.
pub(super) struct Attempt {
    pub server: EndpointId,
    /// What the server was when it was sent there; `None` where the rules forbade the send.
    pub target: Option<EndpointTarget>,
    pub sent: Time,
    /// Why it ended; it is out until then.
    pub ended: Option<EndReason>,
    pub ended_at: Time,
}

impl Attempt {
    pub fn is_out(&self) -> bool {
        self.ended.is_none()
    }
}

/// Where a request stands. It goes from top to bottom, and may leave out the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of its answer is settled yet.
    Waiting,
    /// This attempt's stream goes to the client.
    Streaming { attempt: u32 },
    /// It has its final answer, or its client has left. The attempt of its stream, if it had one, may still be out.
    Closed { stream: Option<u32> },
}

/// A request, from its arrival until it is closed, no attempt is out, and nothing is held for it.
pub(super) struct Request {
    pub class: usize,
    pub work: UpstreamRequest,
    /// It must not run twice.
    pub once: bool,
    pub answer: Option<oneshot::Sender<Outcome>>,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub lease: Reservation,
    /// Something other than a read ended without proof that it never ran.
    pub may_have_run: bool,
    /// Who wants to know whether it may have run.
    pub fate: Option<oneshot::Sender<bool>>,
    phase: Phase,
}

/// An attempt that has ended: where it was, and whether it was the stream of a request that was not closed before.
pub(super) struct Ended {
    pub server: EndpointId,
    pub streamed: bool,
}

impl Request {
    /// As it arrives.
    pub fn new(
        now: Time,
        ask: &RequestMetadata,
        work: UpstreamRequest,
        once: bool,
        answer: oneshot::Sender<Outcome>,
    ) -> Self {
        Request {
            class: ask.class,
            work,
            once,
            answer: Some(answer),
            deadline: now.saturating_add(ask.time_left),
            attempts: Vec::new(),
            lease: Reservation::default(),
            may_have_run: false,
            fate: None,
            phase: Phase::Waiting,
        }
    }

    pub fn has_attempt_out(&self) -> bool {
        self.attempts.iter().any(Attempt::is_out)
    }

    pub fn is_out(&self, attempt: u32) -> bool {
        self.attempts
            .get(attempt as usize)
            .is_some_and(Attempt::is_out)
    }

    /// Servers of its attempts: first those that have answered, the last before the others.
    pub fn tried(&self) -> impl Iterator<Item = EndpointId> + '_ {
        let answered = |attempt: &Attempt| attempt.ended.is_some_and(EndReason::is_answer);
        let by = move |wanted| {
            self.attempts
                .iter()
                .rev()
                .filter(move |it| answered(it) == wanted)
        };
        by(true).chain(by(false)).map(|attempt| attempt.server)
    }

    /// Nothing of its answer is settled yet.
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed { .. })
    }

    /// The attempt whose stream goes, or went, to the client.
    pub fn stream(&self) -> Option<u32> {
        match self.phase {
            Phase::Waiting => None,
            Phase::Streaming { attempt } => Some(attempt),
            Phase::Closed { stream } => stream,
        }
    }

    /// An attempt's first event has gone to the client.
    pub fn begin_stream(&mut self, attempt: u32) {
        self.phase = Phase::Streaming { attempt };
        self.lease.stream_began();
        self.work.body = Bytes::new(); // nothing is sent for it any more
    }

    /// It has its final answer, or its client has left. False where it was closed before.
    pub fn close(&mut self) -> bool {
        let was_open = !self.is_closed();
        self.phase = Phase::Closed {
            stream: self.stream(),
        };
        was_open
    }

    /// An attempt has ended: what may be held and what may have run by that. `None`: it was not out.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        attempt: u32,
        reason: EndReason,
        role: impl Fn(EndpointId) -> Option<Role>,
    ) -> Option<Ended> {
        let ended = self
            .attempts
            .get_mut(attempt as usize)
            .filter(|it| it.is_out())?;
        (ended.ended, ended.ended_at) = (Some(reason), now);
        let server = ended.server;
        let role = role(server);
        self.may_have_run |= !reason.never_ran() && role != Some(Role::Prefill);
        let is_stream = self.stream() == Some(attempt);
        let streamed = is_stream && self.close();
        if !is_stream {
            self.lease.attempt_ended(now, role, reason);
        }
        Some(Ended { server, streamed })
    }

    /// Nothing of it is left to be done.
    pub fn is_over(&self) -> bool {
        self.is_closed()
            && !self.has_attempt_out()
            && !self.lease.is_releasing()
            && !self.lease.may_be_held()
    }
}
