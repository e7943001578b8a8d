//! When each endpoint last responded.

use crate::routing::api::{EndpointId, Time};
use std::collections::{BTreeSet, HashMap};

/// The latest contact with each endpoint, by endpoint and by time.
#[derive(Default)]
pub(super) struct Contacts {
    last_contact: HashMap<EndpointId, Time>,
    by_time: BTreeSet<(Time, EndpointId)>,
}

impl Contacts {
    /// Records a contact.
    pub(super) fn record(&mut self, now: Time, endpoint: EndpointId) {
        if let Some(previous) = self.last_contact.insert(endpoint, now) {
            self.by_time.remove(&(previous, endpoint));
        }
        self.by_time.insert((now, endpoint));
    }

    /// Endpoints, the latest contact first.
    pub(super) fn latest_first(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.by_time.iter().rev().map(|(_, endpoint)| *endpoint)
    }

    /// Forgets an endpoint.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        if let Some(time) = self.last_contact.remove(&endpoint) {
            self.by_time.remove(&(time, endpoint));
        }
    }
}
