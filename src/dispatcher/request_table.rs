//! The request table: all open requests, by request id, and their client request ids.
//!
//! It also remembers, within limits of time and number, the client request ids of finished requests that may have run. The
//! core uses them to reject a request that is submitted again. The core owns the table; a request stays in it until nothing
//! is in flight or reserved for it.

use super::request::{Attempt, Request};
use crate::routing::api::{EndpointId, RequestId, Time};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// How long the client request id of a finished request that may have run is remembered (microseconds), within the limit of
/// [`MAX_RECENT_IDS`]. Expired ids are dropped when the next such request finishes.
const RECENT_ID_RETENTION: Time = 30_000_000;
/// Maximum number of client request ids of finished requests that are remembered; the oldest are dropped first.
const MAX_RECENT_IDS: usize = 8_192;

/// The client request id of a finished request that may have run.
struct RecentId {
    ended_at: Time,
    client_request_id: Arc<str>,
}

/// The table of open requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    open_ids: HashSet<Arc<str>>,
    /// Client request ids of requests that finished recently and may have run.
    recent_ids: HashSet<Arc<str>>,
    /// The same ids, oldest first.
    recent_ids_by_age: VecDeque<RecentId>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request with this client request id is in the table.
    pub(super) fn is_open(&self, client_request_id: &str) -> bool {
        self.open_ids.contains(client_request_id)
    }

    /// Returns whether a request with this client request id finished recently and may have run.
    pub(super) fn may_have_run(&self, client_request_id: &str) -> bool {
        self.recent_ids.contains(client_request_id)
    }

    /// Remembers a client request id, and drops expired ones. An id that is remembered already keeps its earlier time.
    fn remember_id(&mut self, now: Time, client_request_id: Arc<str>) {
        if self.recent_ids.insert(client_request_id.clone()) {
            self.recent_ids_by_age.push_back(RecentId {
                ended_at: now,
                client_request_id,
            });
        }
        while let Some(oldest) = self.recent_ids_by_age.front() {
            let is_expired = oldest.ended_at.saturating_add(RECENT_ID_RETENTION) < now;
            if !is_expired && self.recent_ids_by_age.len() <= MAX_RECENT_IDS {
                break;
            }
            self.recent_ids.remove(&oldest.client_request_id);
            self.recent_ids_by_age.pop_front();
        }
    }

    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.open_ids
            .insert(request.upstream.client_request_id.clone());
        self.requests.insert(id, request);
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Returns the requests whose deadline or reservation must be checked: all but those that stream to their client and have
    /// nothing reserved.
    pub(super) fn ids_to_check(&self) -> Vec<RequestId> {
        let needs_check = |request: &Request| {
            request.is_waiting() || request.is_closed() || request.reservation.may_be_held()
        };
        self.requests
            .iter()
            .filter(|(_, request)| needs_check(request))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns the classes of all requests in the table.
    pub(super) fn classes(&self) -> HashSet<usize> {
        self.requests
            .values()
            .map(|request| request.class)
            .collect()
    }

    /// Returns the endpoints that have an attempt in flight.
    pub(super) fn endpoints_in_use(&self) -> HashSet<EndpointId> {
        let attempts = self.requests.values().flat_map(|request| &request.attempts);
        attempts
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt: &Attempt| attempt.endpoint)
            .collect()
    }

    /// Removes a request if it is finished, and sends its end reports.
    pub(super) fn remove_if_finished(&mut self, now: Time, id: RequestId) {
        if !self.requests.get(&id).is_some_and(Request::is_finished) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.open_ids.remove(&request.upstream.client_request_id);
        if request.may_have_run {
            self.remember_id(now, request.upstream.client_request_id.clone());
        }
        for report in request.end_reports {
            let _ = report.send(request.may_have_run);
        }
    }
}
