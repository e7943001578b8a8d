//! Streams that another process of this dispatcher has begun: requests of this process like any other, of which the router
//! knows nothing, as nothing is left to decide.

use super::Core;
use crate::dispatcher::messages::ReceivedRequest;
use crate::dispatcher::request::Request;
use crate::routing::api::{EndpointId, Time};
use crate::variants::{breaks, Variant};

/// Stands for an endpoint that is not in the table. Numbers are given from 0 on, and never come to this.
const UNKNOWN_ENDPOINT: EndpointId = EndpointId::MAX;
/// Stands for the id of a client whose process did not tell it. No client can choose it.
const UNKNOWN_REQUEST_ID: &str = "?";

impl Core {
    pub(super) fn on_stream_received(&mut self, now: Time, received: ReceivedRequest) {
        if breaks(Variant::StreamCut) {
            return;
        }
        let ReceivedRequest {
            id,
            client_request_id,
            address,
        } = received;
        let endpoint = address
            .as_deref()
            .and_then(|address| self.endpoints.by_address(address))
            .unwrap_or(UNKNOWN_ENDPOINT);
        let client_request_id = client_request_id.unwrap_or_else(|| UNKNOWN_REQUEST_ID.into());
        let request = Request::received(now, client_request_id, endpoint);
        self.report.log_stream_received(now, id, &request, endpoint);
        self.requests.insert(id, request);
    }
}
