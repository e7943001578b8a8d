//! The request table: requests by number and by name, and the names of those that ended of late and may have run.

use super::request::{Attempt, Request};
use crate::routing::api::{EndpointId, RequestId, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// NameTable of requests that may have run are known for so long after their end, and so many of them.
const KNOWN_AFTER: Time = 30_000_000;
const MOST_KNOWN: usize = 8_192;

/// The table: requests by number, and the names that are in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    names: HashSet<Arc<str>>,
    may_have_run: HashSet<Arc<str>>,   // names of some that are over
    ended: VecDeque<(Time, Arc<str>)>, // the same, oldest first
}

impl RequestTable {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_in_flight(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Whether a request of this name is over of late and may have run.
    pub fn may_have_run(&self, name: &str) -> bool {
        self.may_have_run.contains(name)
    }

    fn note_end(&mut self, now: Time, name: Arc<str>) {
        if self.may_have_run.insert(name.clone()) {
            self.ended.push_back((now, name));
        }
        let is_old = |at: Time| at.saturating_add(KNOWN_AFTER) < now;
        while self.ended.front().is_some_and(|(at, _)| is_old(*at)) || self.ended.len() > MOST_KNOWN
        {
            let Some((_, name)) = self.ended.pop_front() else {
                break;
            };
            self.may_have_run.remove(&name);
        }
    }

    pub fn enter(&mut self, id: RequestId, request: Request) {
        self.names.insert(request.work.client_request_id.clone());
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Requests that have to be looked after: all but those of which nothing is left but a stream that goes on.
    pub fn ids_to_look_after(&self) -> Vec<RequestId> {
        let waits = |request: &Request| {
            request.is_waiting() || request.is_closed() || request.lease.may_be_held()
        };
        self.requests
            .iter()
            .filter(|(_, request)| waits(request))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Classes of which some request is in the table.
    pub fn classes(&self) -> HashSet<usize> {
        self.requests
            .values()
            .map(|request| request.class)
            .collect()
    }

    /// EndpointTable at which an attempt is out.
    pub fn busy(&self) -> HashSet<EndpointId> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts
            .filter(|it| it.is_out())
            .map(|it: &Attempt| it.server)
            .collect()
    }

    /// Forgets a request when all of it is over, and tells who wants to know whether it may have run.
    pub fn forget_if_over(&mut self, now: Time, id: RequestId) {
        if !self.requests.get(&id).is_some_and(Request::is_over) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.names.remove(&request.work.client_request_id);
        if request.may_have_run {
            self.note_end(now, request.work.client_request_id.clone());
        }
        if let Some(fate) = request.fate {
            let _ = fate.send(request.may_have_run);
        }
    }
}
