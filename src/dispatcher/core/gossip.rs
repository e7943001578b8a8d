//! Observations that are exchanged with other dispatchers.

use super::Core;
use crate::routing::api::{self, EndpointId, LoadReport, Time};
use bytes::Bytes;

impl Core {
    /// The message that other dispatchers are to receive now, if there is one.
    pub fn next_gossip_message(&mut self, now: Time) -> Option<Bytes> {
        let message = self.gossip.as_mut()?.next_message(now)?;
        Some(Bytes::from(message))
    }

    /// Applies a message of another dispatcher. Observations of endpoints that are not listed here, and of hashes that two
    /// endpoints share, are ignored.
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

    /// Queues for other dispatchers the load that an endpoint has reported.
    pub(super) fn share_load(&mut self, now: Time, endpoint: EndpointId, load: &LoadReport) {
        if let (Some(listed), Some(gossip)) = (self.endpoints.get(endpoint), &mut self.gossip) {
            gossip.record_load(now, endpoint, listed.listed.key, load);
        }
    }

    /// Queues for other dispatchers that an attempt at an endpoint has failed.
    pub(super) fn share_failure(&mut self, endpoint: EndpointId) {
        if let (Some(listed), Some(gossip)) = (self.endpoints.get(endpoint), &mut self.gossip) {
            gossip.record_failure(listed.listed.key);
        }
    }
}
