//! The handler for received streams, which another process of this dispatcher started.
//!
//! A received stream has an entry in the request table like any other request. The router is not told of it, because there
//! is no routing decision left.

use super::Core;
use crate::dispatcher::messages::ReceivedRequest;
use crate::dispatcher::request::Request;
use crate::routing::api::{EndpointId, Time};
use crate::variants::{is_enabled, Variant};

/// Placeholder for an endpoint that is not in the table. Endpoint ids are assigned from 0 and never reach this value.
const UNKNOWN_ENDPOINT: EndpointId = EndpointId::MAX;
/// Placeholder for a client request id that the sending process did not pass on. Clients can't send this id.
const UNKNOWN_CLIENT_REQUEST_ID: &str = "?";

impl Core {
    pub(super) fn on_stream_received(&mut self, now: Time, received: ReceivedRequest) {
        if is_enabled(Variant::StreamCut) {
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
        let client_request_id =
            client_request_id.unwrap_or_else(|| UNKNOWN_CLIENT_REQUEST_ID.into());
        let request = Request::received(now, client_request_id, endpoint);
        self.report.log_stream_received(now, id, &request, endpoint);
        self.requests.insert(id, request);
    }
}
