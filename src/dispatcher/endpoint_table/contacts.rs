//! The time of the last response of each endpoint.
//!
//! The endpoint table uses it to send releases to endpoints that are likely to be running. Both indexes of [`Contacts`] hold
//! the same entries.

use crate::routing::api::{EndpointId, Time};
use std::collections::{BTreeSet, HashMap};

/// The latest contact with each endpoint, indexed by endpoint and by time.
#[derive(Default)]
pub(super) struct Contacts {
    last_contact: HashMap<EndpointId, Time>,
    by_time: BTreeSet<(Time, EndpointId)>,
}

impl Contacts {
    /// Records that an endpoint has responded. Replaces an earlier contact.
    pub(super) fn record(&mut self, now: Time, endpoint: EndpointId) {
        if let Some(previous) = self.last_contact.insert(endpoint, now) {
            self.by_time.remove(&(previous, endpoint));
        }
        self.by_time.insert((now, endpoint));
    }

    /// Returns the endpoints, the one with the latest contact first.
    pub(super) fn latest_first(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_time.iter().rev().map(|(_, endpoint)| *endpoint)
    }

    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        if let Some(time) = self.last_contact.remove(&endpoint) {
            self.by_time.remove(&(time, endpoint));
        }
    }
}
