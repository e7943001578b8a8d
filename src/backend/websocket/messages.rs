//! Builds and parses the messages of a WebSocket session with an endpoint.

use crate::backend::attempt::AttemptResult;
use crate::backend::load_report::parse_load_report;
use crate::dispatcher::EndReason;
use bytes::Bytes;
use miniserde::{json, Deserialize};
use std::time::Duration;

/// The fields of an endpoint's message. Each type of message has only some of them.
#[derive(Deserialize)]
struct MessageFields {
    #[serde(rename = "type")]
    kind: String,
    id: Option<String>,
    data: Option<String>,
    cached_tokens: Option<f64>,
    never_ran: Option<bool>,
    #[serde(rename = "state_gone")]
    kv_state_missing: Option<bool>,
    load: Option<String>,
}

/// The effect of an endpoint's message on the current attempt.
pub enum EndpointMessage {
    /// The next bytes of the stream.
    Data(Bytes),
    /// The attempt has ended with this result.
    End(AttemptResult),
}

impl From<EndReason> for EndpointMessage {
    fn from(reason: EndReason) -> Self {
        EndpointMessage::End(reason.into())
    }
}

/// Parses an endpoint's message. A message that is malformed or belongs to another request ends the attempt with
/// [`EndReason::UnreadableResponse`].
pub fn parse_message(text: &str, client_request_id: &str) -> EndpointMessage {
    let Ok(message) = json::from_str::<MessageFields>(text) else {
        return EndReason::UnreadableResponse.into();
    };
    if message.id.as_deref() != Some(client_request_id) {
        return EndReason::UnreadableResponse.into();
    }
    let cached_tokens = message.cached_tokens.unwrap_or(0.0);
    let (reason, cached_tokens) = match (message.kind.as_str(), message.data) {
        ("event", Some(data)) => return EndpointMessage::Data(data.into()),
        ("read", _) => (EndReason::PrefillDone, cached_tokens),
        ("served", _) => (EndReason::Served, cached_tokens),
        ("refused", _) if message.never_ran == Some(true) => {
            if message.kv_state_missing == Some(true) {
                (EndReason::KvStateMissing, 0.0)
            } else {
                (EndReason::Overloaded, 0.0)
            }
        }
        ("rejected", _) => (EndReason::InvalidRequest, 0.0),
        _ => (EndReason::ErrorResponse, 0.0),
    };
    EndpointMessage::End(AttemptResult {
        reason,
        cached_tokens,
        completion_tokens: 0.0,
        load: message.load.as_deref().and_then(parse_load_report),
    })
}

/// Whether a message confirms the release of this request's reservation.
pub(super) fn is_release_confirmation(text: &str, client_request_id: &str) -> bool {
    json::from_str::<MessageFields>(text).is_ok_and(|message| {
        message.kind == "released" && message.id.as_deref() == Some(client_request_id)
    })
}

/// Builds an attempt's request, which declares the time that is left.
pub(super) fn request_message(
    client_request_id: &str,
    target: &str,
    time_left: Duration,
    body: &str,
) -> String {
    format!(
        r#"{{"type":"request","id":{},"target":{},"expires_in_ms":{},"body":{}}}"#,
        json::to_string(client_request_id),
        json::to_string(target),
        time_left.as_millis(),
        json::to_string(body),
    )
}

/// Builds the request to release a reservation.
pub(super) fn release_message(client_request_id: &str) -> String {
    format!(
        r#"{{"type":"release","id":{}}}"#,
        json::to_string(client_request_id)
    )
}
