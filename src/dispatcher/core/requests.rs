//! The handlers for a request: arrival, final outcome, deadline, and the release of its reservation.
//!
//! Every outcome other than a stream is sent by `Core::close_request`, at most once per request. A request stays in the
//! table until it is closed, no attempt is in flight and nothing is reserved for it.

use super::{guard, Core};
use crate::dispatcher::messages::{Command, Outcome, UpstreamRequest};
use crate::dispatcher::reasons::CloseReason;
use crate::dispatcher::request::Request;
use crate::dispatcher::reservation::ReservationDemand;
use crate::dispatcher::rules::Rule;
use crate::routing::api::{self, FailureReason, Idempotency, RequestId, RequestMetadata, Time};
use crate::variants::{is_enabled, Variant};
use quartzhall_recording::RecordedOutcome;
use std::time::Duration;
use tokio::sync::oneshot;

/// Why a request is not admitted, and the outcome that its client receives.
struct Rejection {
    reason: CloseReason,
    outcome: Outcome,
}

impl Core {
    pub(super) fn on_request_arrived(
        &mut self,
        now: Time,
        metadata: RequestMetadata,
        upstream: UpstreamRequest,
        outcome: oneshot::Sender<Outcome>,
        end_report: Option<oneshot::Sender<bool>>,
    ) {
        let client_request_id = &upstream.client_request_id;
        let idempotency = self.settings.idempotency_of(metadata.class);
        if let Err(rejection) = self.check_admission(now, &upstream, idempotency) {
            let open_requests = self.requests.len();
            self.report.log_request_rejected(
                now,
                client_request_id,
                rejection.reason,
                open_requests,
            );
            if let Some(end_report) = end_report {
                let _ = end_report.send(false);
            }
            let _ = outcome.send(rejection.outcome);
            return;
        }
        if let Some(gossip) = &mut self.gossip {
            gossip.on_request();
        }
        self.report
            .log_request_arrived(&metadata, client_request_id);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_arrival(now, &metadata);
        }
        let mut request = Request::new(now, &metadata, upstream, idempotency, outcome);
        request.end_reports.extend(end_report);
        self.requests.insert(metadata.id, request);
        self.drive_router(now, api::Event::RequestArrived(metadata));
    }

    /// Checks whether a request may enter the table.
    fn check_admission(
        &self,
        now: Time,
        upstream: &UpstreamRequest,
        idempotency: Idempotency,
    ) -> Result<(), Rejection> {
        let client_request_id = &*upstream.client_request_id;
        // Endpoints identify requests by the client request id alone, so no two open requests may share one.
        if self.requests.is_open(client_request_id) {
            return Err(Rejection {
                reason: CloseReason::DuplicateId,
                outcome: Outcome::DuplicateId,
            });
        }
        // The request may have run under this id already, so its client must not be told that retrying is harmless.
        let is_idempotent = idempotency == Idempotency::Idempotent;
        if !is_idempotent && self.requests.may_have_run(client_request_id) {
            return Err(Rejection {
                reason: CloseReason::MayHaveRun,
                outcome: Outcome::DuplicateId,
            });
        }
        // Another dispatcher can serve the request at once, so its client need not wait before it retries.
        if !self
            .drain_admission
            .admits(now, upstream.stream_can_migrate)
        {
            return Err(Rejection {
                reason: CloseReason::ShuttingDown,
                outcome: Outcome::Shed {
                    retry_after: Duration::ZERO,
                },
            });
        }
        // The table is full. Nothing was sent for this request, so it may be shed.
        if self.requests.len() >= self.settings.max_requests() {
            let retry_after = self.settings.max_retry_after();
            return Err(Rejection {
                reason: CloseReason::TableFull,
                outcome: Outcome::Shed { retry_after },
            });
        }
        Ok(())
    }

    pub(super) fn on_client_disconnected(
        &mut self,
        now: Time,
        id: RequestId,
        end_report: Option<oneshot::Sender<bool>>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if is_enabled(Variant::ClientGone) && request.is_waiting() {
            return;
        }
        request.end_reports.extend(end_report);
        // A started stream needs no cancellation: the frontend drops its receiver, which ends it at its endpoint.
        if request.close() {
            request.outcome = None;
            let is_received = request.is_received;
            self.report.log_client_disconnected(now, id);
            if !is_received {
                self.record_outcome(now, id, RecordedOutcome::ClientDisconnected);
                self.drive_router(now, api::Event::ClientDisconnected { id });
            }
        }
        self.release_or_remove(now, id);
    }

    /// Sheds a request, or fails it if the client must not be told that retrying is harmless.
    pub(super) fn shed_request(
        &mut self,
        now: Time,
        id: RequestId,
        reason: FailureReason,
        retry_after: Duration,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let checked = guard(&self.settings, &self.endpoints, now).check_shed(request);
        let may_still_run = guard(&self.settings, &self.endpoints, now).may_still_run(request);
        let mut close_reason = CloseReason::Failed(reason);
        let mut outcome = Outcome::Failed;
        match checked {
            Err(rule) => self.report_violation(now, rule, id),
            // A shed client may retry, here or elsewhere, before the abandoned attempt has ended at its endpoint.
            Ok(()) if may_still_run => {}
            Ok(()) => {
                close_reason = CloseReason::Shed(reason);
                outcome = Outcome::Shed { retry_after };
            }
        }
        self.close_request(now, id, close_reason, outcome);
        self.release_or_remove(now, id);
    }

    /// Closes a waiting request and sends its final outcome. Has no effect on a request that has an outcome. Every outcome
    /// other than a stream is sent here.
    pub(super) fn close_request(
        &mut self,
        now: Time,
        id: RequestId,
        reason: CloseReason,
        outcome: Outcome,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !request.is_waiting() {
            return;
        }
        request.close();
        self.report.log_request_closed(now, id, request, reason);
        self.report.log_outcome(id, &outcome);
        let recorded = match &outcome {
            Outcome::Shed { .. } => RecordedOutcome::Shed,
            _ => RecordedOutcome::Failed,
        };
        if let Some(sender) = request.outcome.take() {
            if is_enabled(Variant::FinalAnswer) {
                std::mem::forget(sender);
            } else {
                let _ = sender.send(outcome);
            }
        }
        self.record_outcome(now, id, recorded);
    }

    pub(super) fn record_outcome(&mut self, now: Time, id: RequestId, outcome: RecordedOutcome) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_outcome(now, id, outcome);
        }
    }

    /// Counts and logs a violation of a rule, including one that was prevented.
    pub(super) fn report_violation(&mut self, now: Time, rule: Rule, id: RequestId) {
        let request = self.requests.get(id);
        self.report.log_violation(now, rule, id, request);
    }

    /// Checks the deadlines and the reservations of all requests except those with nothing left but a stream in flight.
    pub(super) fn check_deadlines(&mut self, now: Time) {
        for id in self.requests.ids_to_check() {
            self.check_deadline(now, id);
        }
    }

    /// Closes a request whose deadline has passed, and starts the release of its reservation if one is due.
    fn check_deadline(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.is_waiting() && now >= request.deadline {
            // The router normally closes requests before their deadline; this is the fallback if it fails to.
            let slack = self.settings.response_slack();
            if now >= request.deadline.saturating_add(slack) {
                self.report_violation(now, Rule::FinalAnswer, id);
            }
            self.close_request(now, id, CloseReason::DeadlinePassed, Outcome::Failed);
            self.drive_router(now, api::Event::ClientDisconnected { id });
        }
        self.release_or_remove(now, id);
    }

    /// Handles the end of a release. A release that no endpoint confirmed in time counts as a violation of
    /// [`Rule::HeldState`], but is not repeated for that.
    pub(super) fn on_release_completed(&mut self, now: Time, id: RequestId, is_confirmed: bool) {
        if !is_confirmed {
            self.report.count_release_failure(now);
            self.report_violation(now, Rule::HeldState, id);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.reservation.on_release_completed(now);
        }
        self.release_or_remove(now, id);
    }

    /// Starts the release of a request's reservation if it is due, and removes the request if it is finished.
    pub(super) fn release_or_remove(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let demand = request.reservation_demand();
        if demand == ReservationDemand::AttemptInFlight && is_enabled(Variant::HeldState) {
            return;
        }
        let ttl = self.settings.reservation_ttl();
        if let Some(reason) = request.reservation.start_release(now, ttl, demand) {
            self.report.log_release_started(now, id, request, reason);
            // Any running endpoint forwards the release to the one that holds the KV cache.
            let addresses = self
                .endpoints
                .release_addresses(request.attempted_endpoints());
            self.commands.push(Command::ReleaseReservation {
                id,
                client_request_id: request.upstream.client_request_id.clone(),
                addresses,
            });
        }
        self.requests.remove_if_finished(now, id);
    }
}
