//! The core's log messages: one method of [`Report`] for each.
//!
//! A method also increments the counter that belongs to its message, if there is one. Info and warning lines with a counter
//! are limited by its budget; all other lines are always written.

use super::{Counter, Report};
use crate::dispatcher::endpoint_table::Endpoint;
use crate::dispatcher::messages::{Outcome, Readiness};
use crate::dispatcher::reasons::{CloseReason, EndReason, ReleaseReason};
use crate::dispatcher::request::Request;
use crate::dispatcher::rules::Rule;
use crate::routing::api::{AttemptStatus, EndpointId, RequestId, RequestMetadata, Time};
use slog::{debug, info, warn};
use std::fmt::Debug;

const MICROS_PER_MILLISECOND: Time = 1000;

/// Log lines about requests.
impl Report {
    pub(crate) fn log_request_arrived(&self, metadata: &RequestMetadata, client_request_id: &str) {
        debug!(self.log, "request arrived"; "id" => metadata.id, "client_request_id" => client_request_id,
            "class" => metadata.class, "time_left_us" => metadata.time_left, "prompt_tokens" => metadata.prompt_tokens,
            "prefix_tokens" => metadata.prefix_tokens);
    }

    pub(crate) fn log_request_rejected(
        &mut self,
        now: Time,
        client_request_id: &str,
        reason: CloseReason,
        open_requests: usize,
    ) {
        if self.count(now, Counter::Close(reason)) {
            info!(self.log, "request rejected"; "client_request_id" => client_request_id, "reason" => ?reason,
                "open_requests" => open_requests);
        }
    }

    pub(crate) fn log_request_closed(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        reason: CloseReason,
    ) {
        if self.count(now, Counter::Close(reason)) {
            info!(self.log, "request closed"; "id" => id, "client_request_id" => %request.upstream.client_request_id,
                "reason" => ?reason, "attempts" => request.attempts.len(),
                "last_end" => ?request.last_end_reason());
        }
    }

    pub(crate) fn log_outcome(&self, id: RequestId, outcome: &Outcome) {
        debug!(self.log, "request outcome"; "id" => id, "outcome" => ?outcome);
    }

    pub(crate) fn log_client_disconnected(&mut self, now: Time, id: RequestId) {
        self.count(now, Counter::Close(CloseReason::ClientDisconnected));
        debug!(self.log, "client disconnected"; "id" => id);
    }

    pub(crate) fn log_stream_broken(
        &self,
        id: RequestId,
        request: &Request,
        endpoint: EndpointId,
        status: AttemptStatus,
    ) {
        info!(self.log, "stream broken"; "id" => id, "client_request_id" => %request.upstream.client_request_id,
            "endpoint" => endpoint, "status" => ?status);
    }

    pub(crate) fn log_stream_received(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        endpoint: EndpointId,
    ) {
        self.count(now, Counter::StreamReceived);
        debug!(self.log, "stream resumed"; "id" => id, "client_request_id" => %request.upstream.client_request_id,
            "endpoint" => endpoint);
    }

    /// Logs the end of a stream that another process has started, whatever the reason. The logs of both processes together
    /// show the whole course of the stream.
    pub(crate) fn log_received_stream_ended(
        &self,
        id: RequestId,
        request: &Request,
        reason: EndReason,
    ) {
        info!(self.log, "received stream ended"; "id" => id,
            "client_request_id" => %request.upstream.client_request_id, "reason" => ?reason);
    }

    pub(crate) fn log_release_started(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        reason: ReleaseReason,
    ) {
        let may_log = self.count(now, Counter::Release(reason));
        if may_log && reason != ReleaseReason::NoLongerNeeded {
            info!(self.log, "reservation release"; "id" => id,
                "client_request_id" => %request.upstream.client_request_id, "reason" => ?reason,
                "attempts" => request.attempts.len(),
                "time_left_ms" => request.deadline.saturating_sub(now) / MICROS_PER_MILLISECOND);
        }
    }

    pub(crate) fn count_release_failure(&mut self, now: Time) {
        self.count(now, Counter::ReleaseFailed);
    }

    /// Counts and logs that a rule was violated, or that a violation was prevented.
    pub(crate) fn log_violation(
        &mut self,
        now: Time,
        rule: Rule,
        id: RequestId,
        request: Option<&Request>,
    ) {
        if self.count(now, Counter::Violation(rule)) {
            let client_request_id = request.map(|request| &*request.upstream.client_request_id);
            warn!(self.log, "violation"; "rule" => ?rule, "id" => id, "client_request_id" => client_request_id);
        }
    }
}

/// Log lines about attempts.
impl Report {
    pub(crate) fn log_attempt_started(&self, id: RequestId, attempt: u32, endpoint: EndpointId) {
        debug!(self.log, "attempt started"; "id" => id, "attempt" => attempt, "endpoint" => endpoint);
    }

    /// Counts and logs that an attempt was started after one that ended for `previous_end`. The new attempt is the last one
    /// of `request`.
    pub(crate) fn log_retry(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        endpoint: &Endpoint,
        previous_end: EndReason,
    ) {
        if self.count(now, Counter::Retry(previous_end)) {
            info!(self.log, "retry"; "id" => id, "client_request_id" => %request.upstream.client_request_id,
                "attempt" => request.attempts.len() - 1, "endpoint" => %endpoint.id, "previous_end" => ?previous_end,
                "time_left_ms" => (request.deadline - now) / MICROS_PER_MILLISECOND);
        }
    }

    pub(crate) fn log_first_event(&self, id: RequestId, attempt: u32) {
        debug!(self.log, "first event"; "id" => id, "attempt" => attempt);
    }

    /// Counts the end of an attempt by its reason, and logs it within the budget. Expected reasons are only counted.
    pub(crate) fn log_attempt_failure(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        reason: EndReason,
        request: Option<&Request>,
        endpoint: Option<&Endpoint>,
    ) {
        let may_log = self.count(now, Counter::End(reason));
        if !may_log || reason.is_expected() {
            return;
        }
        let Some(request) = request else {
            return;
        };
        let Some(ended) = request.attempts.get(attempt as usize) else {
            return;
        };
        let endpoint_id = endpoint.map(|endpoint| &*endpoint.id);
        info!(self.log, "attempt failed"; "id" => id, "client_request_id" => %request.upstream.client_request_id,
            "attempt" => attempt, "endpoint" => endpoint_id, "reason" => ?reason,
            "duration_ms" => now.saturating_sub(ended.started_at) / MICROS_PER_MILLISECOND);
    }

    pub(crate) fn log_attempt_ended(
        &self,
        id: RequestId,
        attempt: u32,
        endpoint: EndpointId,
        status: AttemptStatus,
        cached_tokens: f64,
        is_request_closed: bool,
    ) {
        debug!(self.log, "attempt ended"; "id" => id, "attempt" => attempt, "endpoint" => endpoint,
            "status" => ?status, "cached_tokens" => cached_tokens, "request_closed" => is_request_closed);
    }
}

/// Log lines about endpoints, gossip, settings and the process.
impl Report {
    pub(crate) fn log_endpoint_moved(&self, endpoint: EndpointId, address: &str) {
        debug!(self.log, "endpoint moved"; "endpoint" => endpoint, "address" => address);
    }

    pub(crate) fn log_endpoint_updated(&self, endpoint: &Endpoint) {
        debug!(self.log, "endpoint updated"; "endpoint" => endpoint.listed.endpoint, "endpoint_id" => %endpoint.id,
            "address" => %endpoint.address, "role" => ?endpoint.role, "status" => ?endpoint.status,
            "started_at" => ?endpoint.listed.started_at);
    }

    pub(crate) fn log_ban_changed(&self, endpoint_id: &str, is_banned: bool) {
        info!(self.log, "ban changed"; "endpoint_id" => endpoint_id, "banned" => is_banned);
    }

    pub(crate) fn log_unknown_probe(&self, endpoint: EndpointId) {
        warn!(self.log, "probe of unknown endpoint"; "endpoint" => endpoint);
    }

    pub(crate) fn log_gossip_dropped(&self, peer: usize, reason: &impl Debug) {
        debug!(self.log, "gossip message dropped"; "peer" => peer, "reason" => ?reason);
    }

    pub(crate) fn log_settings_applied(&self, classes: usize, max_attempts: u32) {
        info!(self.log, "settings applied"; "classes" => classes, "max_attempts" => max_attempts);
    }

    pub(crate) fn log_readiness(&self, readiness: Readiness) {
        info!(self.log, "readiness"; "state" => ?readiness);
    }

    pub(crate) fn log_admission_ended(&self) {
        info!(self.log, "admission ended");
    }
}
