//! The handlers for attempts: their start, the first event of their stream, and their end.
//!
//! Every attempt starts in `Core::start_attempt`, after the guard has checked it against the protocol rules. Every attempt
//! ends in `Core::end_attempt`, also one that the guard rejected and that was never sent.

use super::{guard, Core};
use crate::dispatcher::messages::{Command, Outcome, StreamChunk};
use crate::dispatcher::reasons::{CloseReason, EndReason};
use crate::dispatcher::request::{Attempt, EndedAttempt, Request};
use crate::dispatcher::rules::Rule;
use crate::routing::api::{self, AttemptStatus, EndpointId, LoadReport, RequestId, Role, Time};
use quartzhall_recording::RecordedOutcome;
use std::time::Duration;
use tokio::sync::mpsc;

/// The end of an attempt, with the values that its endpoint reported.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub reason: EndReason,
    /// Prompt tokens that the endpoint found in its prefix cache; 0 if not reported.
    pub cached_tokens: f64,
    /// The endpoint's load; `None` if not reported.
    pub load: Option<LoadReport>,
}

impl Core {
    /// Starts an attempt if the protocol rules allow it; otherwise ends it as not sent. `timeout` is the time until the
    /// first event in microseconds; 0 means the time left until the deadline.
    pub(super) fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Time,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let checked = guard(&self.settings, &self.endpoints, now).check_attempt(request, endpoint);
        let attempt = request.attempts.len() as u32;
        let previous_end = request.last_end_reason();
        let allowed_target = checked.as_ref().ok().copied();
        request
            .attempts
            .push(Attempt::new(now, endpoint, allowed_target));
        let (target, listed) = match (checked, self.endpoints.get(endpoint)) {
            (Ok(target), Some(listed)) => (target, listed),
            // The router's decision doesn't override the protocol rules.
            (checked, _) => {
                self.report_violation(now, checked.err().unwrap_or(Rule::Drain), id);
                self.end_attempt(now, AttemptEnd::not_sent(id, attempt));
                return;
            }
        };
        self.report.log_attempt_started(id, attempt, endpoint);
        // Not a retry: the decode attempt after a completed prefill, and a hedged request beside an attempt in flight.
        if let Some(previous_end) = previous_end {
            if previous_end != EndReason::PrefillDone {
                self.report
                    .log_retry(now, id, request, listed, previous_end);
            }
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.record_attempt(now, id, attempt, endpoint);
        }
        let time_left = request.deadline - now;
        let timeout = if timeout == 0 {
            time_left
        } else {
            timeout.min(time_left)
        };
        self.commands.push(Command::StartAttempt {
            id,
            attempt,
            address: listed.address.clone(),
            upstream: request.upstream.clone(),
            timeout: Duration::from_micros(timeout),
            // A prefill has no side effects and may run twice.
            needs_new_connection: request.must_not_repeat && target.role != Role::Prefill,
        });
    }

    /// Handles the first event of an attempt's stream: the stream becomes the client's outcome, unless the request has one
    /// or the attempt has ended.
    pub(super) fn on_first_event(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        stream: mpsc::Receiver<StreamChunk>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let checked = guard(&self.settings, &self.endpoints, now).check_stream(request, attempt);
        // The request has its outcome or the attempt has ended: dropping the stream ends it at its endpoint.
        if checked.is_err() {
            return;
        }
        let Some(outcome) = request.outcome.take() else {
            return;
        };
        if outcome.send(Outcome::Stream(stream)).is_err() {
            // The client has just disconnected; `ClientDisconnected` is still in the queue.
            return;
        }
        request.start_stream(attempt);
        if let Some(started) = request.attempts.get(attempt as usize) {
            self.endpoints.record_contact(now, started.endpoint);
        }
        self.report.log_first_event(id, attempt);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_first_event(now, id, attempt);
        }
        self.drive_router(now, api::Event::FirstEvent { id, attempt });
    }

    /// Handles the end of an attempt that the backend has executed. Records it in the trace, unless another process started
    /// the attempt. `completion_tokens` goes to the trace only; 0 if not reported.
    pub(super) fn on_attempt_ended(&mut self, now: Time, end: AttemptEnd, completion_tokens: f64) {
        let request = self.requests.get(end.id);
        let is_received = request.is_some_and(|request| request.is_received);
        if let Some(recorder) = self.recorder.as_mut().filter(|_| !is_received) {
            recorder.record_attempt_end(
                now,
                end.id,
                end.attempt,
                end.reason.status(),
                end.cached_tokens,
                completion_tokens,
            );
        }
        self.end_attempt(now, end);
    }

    /// Ends an attempt in the request table, then in the log, in gossip and in the router. Closes an invalid request. Has no
    /// effect if the attempt has ended already.
    fn end_attempt(&mut self, now: Time, end: AttemptEnd) {
        let AttemptEnd {
            id,
            attempt,
            reason,
            cached_tokens,
            load,
        } = end;
        let status = reason.status();
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let role_of = |endpoint| self.endpoints.get(endpoint).map(|listed| listed.role);
        let Some(ended) = request.end_attempt(now, attempt, reason, role_of) else {
            return;
        };
        let EndedAttempt {
            endpoint,
            was_open_stream,
        } = ended;
        if reason.is_response() {
            self.endpoints.record_contact(now, endpoint);
        }
        if was_open_stream {
            self.on_stream_ended(now, id, endpoint, reason);
        }
        // While attempts reach no endpoint, the router may start the next one at once every time. The KV cache that a
        // broken prefill may have left must be released between two such attempts.
        if self.requests.get(id).is_some_and(Request::is_waiting) {
            self.release_or_remove(now, id);
        }
        // Other endpoints would reject an invalid request too, and retries across the fleet would get them all ejected.
        if status == AttemptStatus::InvalidRequest {
            let invalid = Outcome::InvalidRequest;
            self.close_request(now, id, CloseReason::InvalidRequest, invalid);
        }
        let request = self.requests.get(id);
        let request_closed = request.is_some_and(Request::is_closed);
        let is_received = request.is_some_and(|request| request.is_received);
        let listed = self.endpoints.get(endpoint);
        self.report
            .log_attempt_failure(now, id, attempt, reason, request, listed);
        self.report
            .log_attempt_ended(id, attempt, endpoint, status, cached_tokens, request_closed);
        self.share_observations(now, endpoint, status, load.as_ref());
        // The router of this process doesn't know requests that another process started.
        if !is_received {
            self.drive_router(
                now,
                api::Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    status,
                    request_closed,
                    cached_tokens,
                    load,
                },
            );
        }
        self.release_or_remove(now, id);
    }

    /// Queues for other dispatchers the endpoint's load, if reported, and its failure, if the attempt ended with one.
    fn share_observations(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        status: AttemptStatus,
        load: Option<&LoadReport>,
    ) {
        if let Some(load) = load {
            self.share_load(now, endpoint, load);
        }
        if is_endpoint_failure(status) {
            self.share_failure(endpoint);
        }
    }

    /// Records and logs whether the client's stream ended complete or broken, also after its client has disconnected.
    fn on_stream_ended(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: EndpointId,
        reason: EndReason,
    ) {
        let status = reason.status();
        let is_received = self
            .requests
            .get(id)
            .is_some_and(|request| request.is_received);
        let outcome = match status {
            AttemptStatus::Served => RecordedOutcome::Served,
            _ => RecordedOutcome::StreamBroken,
        };
        // The recording has no arrival for a request that another process started.
        if !is_received {
            self.record_outcome(now, id, outcome);
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if is_received {
            self.report.log_received_stream_ended(id, request, reason);
        }
        if outcome == RecordedOutcome::StreamBroken {
            self.report.log_stream_broken(id, request, endpoint, status);
        }
    }
}

impl AttemptEnd {
    pub(super) fn new(
        id: RequestId,
        attempt: u32,
        reason: EndReason,
        cached_tokens: f64,
        load: Option<LoadReport>,
    ) -> Self {
        AttemptEnd {
            id,
            attempt,
            reason,
            cached_tokens,
            load,
        }
    }

    /// Creates the end of an attempt that the protocol rules forbid.
    fn not_sent(id: RequestId, attempt: u32) -> Self {
        AttemptEnd {
            id,
            attempt,
            reason: EndReason::NotSent,
            cached_tokens: 0.0,
            load: None,
        }
    }
}

/// Returns whether this status counts as a failure of the endpoint, to be shared with other dispatchers.
fn is_endpoint_failure(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::Reset | AttemptStatus::Error | AttemptStatus::ConnectFailed
    )
}
