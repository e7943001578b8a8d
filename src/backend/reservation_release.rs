//! Releases the reservation of a request at the endpoints.
//!
//! Any endpoint passes a release on to the others. A call counts when a replica that runs has read it, and which ones
//! run is not known. So more and more endpoints are called_count, until one confirms: all of them within a few steps.

use super::attempt::ConnectionPolicy;
use super::EndpointClient;
use futures_util::stream::{FuturesUnordered, StreamExt};
use slog::warn;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// How long one call waits for its endpoint's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// After this more endpoints are called_count: one at first, and each time as many as were called_count before.
const FAN_OUT_INTERVAL: Duration = Duration::from_millis(30);
/// A release is tried for so long in all; endpoints release by themselves what is left then.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two rounds of calls to all endpoints.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

impl EndpointClient {
    /// Has the endpoints release a request's reservation. Returns whether one confirmed it.
    pub(super) async fn release(&self, client_request_id: &str, addresses: &[Arc<str>]) -> bool {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let mut calls = FuturesUnordered::new();
        let mut policy = ConnectionPolicy::AllowPooled;
        while Instant::now() < deadline && !addresses.is_empty() {
            let mut called_count = 0;
            while called_count < addresses.len() {
                let batch_size = called_count.max(1).min(addresses.len() - called_count);
                for address in &addresses[called_count..called_count + batch_size] {
                    let call = self.release_at(client_request_id, address, policy);
                    calls.push(timeout(CALL_TIMEOUT, call));
                }
                called_count += batch_size;
                if is_confirmed_before(&mut calls, Instant::now() + FAN_OUT_INTERVAL).await {
                    return true;
                }
            }
            // Idle connections may have broken without a sign of it.
            policy = ConnectionPolicy::RequireNew;
            sleep(ROUND_INTERVAL).await;
        }
        let is_confirmed = is_confirmed_before(&mut calls, Instant::now() + CALL_TIMEOUT).await;
        if !is_confirmed {
            warn!(self.log, "release not confirmed"; "client_request_id" => client_request_id,
                "endpoints" => addresses.len());
        }
        is_confirmed
    }

    async fn release_at(
        &self,
        client_request_id: &str,
        address: &Arc<str>,
        policy: ConnectionPolicy,
    ) -> bool {
        if self.uses_websocket(address) {
            self.sessions
                .release(client_request_id, address, policy)
                .await
        } else {
            self.http.release(client_request_id, address, policy).await
        }
    }
}

/// Whether one of these calls is confirmed before the deadline. It returns no earlier than that otherwise, and drops
/// the calls that have failed.
async fn is_confirmed_before<C>(calls: &mut FuturesUnordered<C>, deadline: Instant) -> bool
where
    C: Future<Output = Result<bool, Elapsed>>,
{
    let first_confirmation = async {
        while let Some(answer) = calls.next().await {
            if answer == Ok(true) {
                return true;
            }
        }
        false
    };
    match timeout_at(deadline, first_confirmation).await {
        Ok(true) => true,
        Ok(false) => {
            sleep_until(deadline).await;
            false
        }
        Err(_) => false,
    }
}
