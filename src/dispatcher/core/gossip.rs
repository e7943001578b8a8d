//! The exchange of endpoint observations (load and failures) with other dispatchers.
//!
//! The core queues its observations in [`Gossip`](crate::gossip::Gossip) and passes received loads to the router. Without
//! gossip, which is optional, the functions here do nothing.

use super::Core;
use crate::routing::api::{self, EndpointId, LoadReport, Time};
use bytes::Bytes;

impl Core {
    /// Returns the gossip message that is due now, if any.
    pub fn next_gossip_message(&mut self, now: Time) -> Option<Bytes> {
        let message = self.gossip.as_mut()?.next_message(now)?;
        Some(Bytes::from(message))
    }

    /// Applies a gossip message of another dispatcher. Ignores observations whose hash matches no known endpoint, or more
    /// than one.
    pub(super) fn on_gossip_received(&mut self, now: Time, peer: usize, message: &[u8]) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        let observations = match gossip.receive(now, peer, message) {
            Ok(observations) => observations,
            Err(reason) => {
                self.report.log_gossip_dropped(peer, &reason);
                return;
            }
        };
        for observation in observations {
            let Some(endpoint) = self.endpoints.by_gossip_hash(observation.key) else {
                continue;
            };
            if let Some(gossip) = &mut self.gossip {
                gossip.accept(now, endpoint, &observation);
            }
            let load = observation.load;
            self.drive_router(now, api::Event::PeerLoadReport { endpoint, load });
        }
    }

    /// Queues an endpoint's reported load for other dispatchers.
    pub(super) fn share_load(&mut self, now: Time, endpoint: EndpointId, load: &LoadReport) {
        if let (Some(listed), Some(gossip)) = (self.endpoints.get(endpoint), &mut self.gossip) {
            gossip.record_load(now, endpoint, listed.listed.key, load);
        }
    }

    /// Queues an endpoint's failure for other dispatchers.
    pub(super) fn share_failure(&mut self, endpoint: EndpointId) {
        if let (Some(listed), Some(gossip)) = (self.endpoints.get(endpoint), &mut self.gossip) {
            gossip.record_failure(listed.listed.key);
        }
    }
}
