//! Claims a session's request for this process before it is begun.
//!
//! After an upgrade, a client that reconnects reaches the successor, while its request is still with the predecessor.
//! The successor then waits for the predecessor's end of the request, as the predecessor waits for the client to
//! reconnect only for a short time.

use super::idempotency_cache::FinalOutcome;
use super::request_task::RequestTask;
use crate::upgrade::request_claims::{
    ClaimResult, HeldRequest, Repeatability, RequestClaim, RequestKey,
};
use slog::debug;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// Time between two looks at a request that another process runs.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether this process may begin a request.
pub(super) enum Ownership {
    /// It may.
    Owned(RequestClaim),
    /// It may not; the client receives this outcome.
    Final(FinalOutcome),
    /// The client has disconnected, and the request was not begun.
    Abandoned,
}

/// How a wait for another process has ended.
enum WaitEnd {
    /// The request is to be claimed again.
    ClaimAgain,
    Cancelled,
    DeadlinePassed,
    /// No session has submitted the request again in time.
    ReattachWindowEnded,
}

impl RequestTask {
    /// Claims the request. While another process runs it, waits for its end there.
    pub(super) async fn claim(&mut self) -> Ownership {
        let key =
            RequestKey::of_session_request(self.key.tenant.as_deref(), &self.key.client_request_id);
        let repeatability = Repeatability::of(self.class.idempotency);
        let mut has_logged = false;
        loop {
            let held = match self.frontend.claims.claim(key, repeatability) {
                ClaimResult::Owned(claim) => return Ownership::Owned(claim),
                ClaimResult::Held(held) => held,
                ClaimResult::Unknown => return Ownership::Final(self.shed_for_now()),
            };
            if !has_logged {
                debug!(self.frontend.log, "request held by another process"; "state" => ?held,
                    "client_request_id" => &self.key.client_request_id);
                has_logged = true;
            }
            let failure = match held {
                HeldRequest::Served => return Ownership::Final(FinalOutcome::ServedElsewhere),
                HeldRequest::MayHaveRun => "it may have run in another process",
                HeldRequest::InFlight => match self.wait_for_other_process().await {
                    WaitEnd::ClaimAgain => continue,
                    WaitEnd::Cancelled => "cancelled",
                    WaitEnd::DeadlinePassed => "its deadline has passed in another process",
                    WaitEnd::ReattachWindowEnded => {
                        if self.reattach_or_abandon() {
                            self.reattach_until = None;
                            continue;
                        }
                        return Ownership::Abandoned;
                    }
                },
            };
            return Ownership::Final(FinalOutcome::Failed(failure));
        }
    }

    /// Returns the outcome of a request of which it is not known whether another process has it.
    fn shed_for_now(&self) -> FinalOutcome {
        let deployment = self.frontend.dispatcher.deployment();
        let retry_after = Duration::from_micros(deployment.settings.max_retry_after);
        FinalOutcome::Shed {
            retry_at: Instant::now() + retry_after,
        }
    }

    /// Waits until the request is to be claimed again, or until the wait has lost its purpose.
    async fn wait_for_other_process(&mut self) -> WaitEnd {
        let claim_again_at = sleep(CLAIM_RETRY_INTERVAL);
        tokio::pin!(claim_again_at);
        loop {
            let is_detached = self.reattach_until.is_some();
            let reattach_window_end = self.reattach_until.unwrap_or_else(Instant::now);
            tokio::select! {
                biased;
                Some(()) = self.cancelled.recv() => return WaitEnd::Cancelled,
                Some(session) = self.attachments.recv() => {
                    self.session = session;
                    self.reattach_until = None;
                }
                () = self.session.closed(), if !is_detached => self.start_reattach_window(),
                () = sleep_until(reattach_window_end), if is_detached => {
                    return WaitEnd::ReattachWindowEnded;
                }
                () = sleep_until(self.deadline) => return WaitEnd::DeadlinePassed,
                () = &mut claim_again_at => return WaitEnd::ClaimAgain,
            }
        }
    }
}
