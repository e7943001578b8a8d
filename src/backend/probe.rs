//! Health probes of endpoints.

use super::EndpointClient;
use crate::dispatcher::Event;
use crate::routing::api::EndpointId;
use std::time::Duration;
use tokio::time::timeout;

/// A probe that takes longer counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

impl EndpointClient {
    /// Probes an endpoint and reports the result to the dispatcher. Probes always use HTTP/1.1, also at endpoints whose
    /// requests use WebSocket sessions: session messages carry load reports of their own.
    pub(super) async fn probe(&self, endpoint: EndpointId, address: &str) {
        let answered = timeout(PROBE_TIMEOUT, self.http.probe(address)).await;
        let (is_healthy, load) = match answered {
            Ok(Some(result)) => (result.is_healthy, result.load),
            Ok(None) | Err(_) => (false, None),
        };
        let event = Event::ProbeCompleted {
            endpoint,
            is_healthy,
            load,
        };
        self.dispatcher.send(event).await;
    }
}
