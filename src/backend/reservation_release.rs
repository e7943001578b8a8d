//! Releases the reservation of a request at the endpoints.
//!
//! Any endpoint forwards a release to the others, but only if it is running, which the dispatcher does not know. So the
//! number of called endpoints doubles at short intervals until one confirms the release.

use super::attempt::ConnectionPolicy;
use super::EndpointClient;
use futures_util::stream::{FuturesUnordered, StreamExt};
use slog::warn;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// The time limit for one call to an endpoint.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which more endpoints are called: one at first, then each time as many as were called before.
const FAN_OUT_INTERVAL: Duration = Duration::from_millis(30);
/// The time limit for a whole release. After it, the endpoints release the reservation by themselves.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two rounds of calls to all endpoints.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

impl EndpointClient {
    /// Asks the endpoints to release a request's reservation. Returns whether one of them confirmed the release. Starts
    /// no round of calls after [`RELEASE_TIMEOUT`].
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
            // The pooled connections may be broken.
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

/// Waits for a confirmation from one of these calls, and returns whether it came before the deadline. Without one it
/// returns at the deadline, even if all calls fail before. Calls that end are removed.
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
