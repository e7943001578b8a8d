//! The JSON messages of a session: parses what clients send, and formats what they receive.
//!
//! `docs/websocket.md` describes the messages. Clients rely on the field names.

use crate::config::{millis_to_micros, Deployment};
use crate::frontend::identifiers::{is_valid_name, parse_key};
use crate::frontend::memory_budget::MAX_BODY_BYTES;
use crate::routing::api::RequestMetadata;
use axum::extract::ws::Message;
use bytes::Bytes;
use miniserde::{json, Deserialize};
use std::time::Duration;

/// The fields of all types of client messages. `prompt_len`, `prefix_len` and `max_out` are in tokens.
#[derive(Deserialize)]
struct ClientMessageFields {
    #[serde(rename = "type")]
    kind: String,
    id: Option<String>,
    class: Option<String>,
    tenant: Option<String>,
    session: Option<String>,
    expires_in_ms: Option<u32>,
    prefix: Option<String>,
    prompt_len: Option<u32>,
    prefix_len: Option<u32>,
    max_out: Option<u32>,
    body: Option<String>,
}

/// A valid client message.
#[derive(Debug)]
pub enum ClientMessage {
    /// Submits a request, or attaches to an earlier one with the same id.
    Request(ClientRequest),
    /// Cancels a request.
    Cancel {
        /// The client request id.
        id: String,
    },
}

/// A request as the client submitted it.
#[derive(Debug)]
pub struct ClientRequest {
    /// The client request id, unique within its tenant.
    pub id: String,
    /// The metadata that the dispatcher routes by.
    pub metadata: RequestMetadata,
    /// The body, which endpoints receive unchanged.
    pub body: Bytes,
}

/// A client message that was rejected.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub struct InvalidMessage {
    /// The client request id; `None` if it is missing or invalid.
    pub id: Option<String>,
    /// Why the message was rejected.
    pub reason: InvalidMessageReason,
}

/// Why a client message was rejected. The text is sent to the client.
#[derive(Debug, thiserror::Error)]
pub enum InvalidMessageReason {
    /// The text is not JSON, or a field has the wrong type.
    #[error("not a message of the session")]
    Malformed,
    /// The id is missing or not a valid name, see [`is_valid_name`].
    #[error("id is missing or no plain name")]
    InvalidId,
    /// The type is neither `request` nor `cancel`.
    #[error("unknown type {0:?}")]
    UnknownType(String),
    /// A required field is missing.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// No request class has this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// No tenant has this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is over 256 KiB")]
    BodyTooLarge,
}

/// Parses and validates a client message.
///
/// # Errors
///
/// Returns why the message is invalid, with its id if that is valid.
pub fn parse(text: &str, deployment: &Deployment) -> Result<ClientMessage, InvalidMessage> {
    let without_id = |reason| InvalidMessage { id: None, reason };
    let fields: ClientMessageFields =
        json::from_str(text).map_err(|_| without_id(InvalidMessageReason::Malformed))?;
    let Some(id) = fields.id.clone().filter(|id| is_valid_name(id)) else {
        return Err(without_id(InvalidMessageReason::InvalidId));
    };
    let parsed = match fields.kind.as_str() {
        "cancel" => return Ok(ClientMessage::Cancel { id }),
        "request" => parse_request(fields, deployment),
        other => Err(InvalidMessageReason::UnknownType(other.to_owned())),
    };
    match parsed {
        Ok((metadata, body)) => Ok(ClientMessage::Request(ClientRequest { id, metadata, body })),
        Err(reason) => Err(InvalidMessage {
            id: Some(id),
            reason,
        }),
    }
}

fn required<T>(field: Option<T>, name: &'static str) -> Result<T, InvalidMessageReason> {
    field.ok_or(InvalidMessageReason::MissingField(name))
}

/// Parses the fields of a request into its metadata and body. Only `prefix` and `prefix_len` are optional; `tenant` is
/// required if the deployment has tenants.
fn parse_request(
    fields: ClientMessageFields,
    deployment: &Deployment,
) -> Result<(RequestMetadata, Bytes), InvalidMessageReason> {
    let class = required(fields.class, "class")?;
    let Some(class) = deployment.classes.lookup(&class) else {
        return Err(InvalidMessageReason::UnknownClass(class));
    };
    let metadata = RequestMetadata {
        class: class as usize,
        tenant: parse_tenant(fields.tenant, deployment)?,
        session: Some(parse_key(&required(fields.session, "session")?)),
        prefix: fields.prefix.as_deref().map(parse_key),
        time_left: millis_to_micros(f64::from(required(fields.expires_in_ms, "expires_in_ms")?)),
        prompt_tokens: f64::from(required(fields.prompt_len, "prompt_len")?),
        prefix_tokens: f64::from(fields.prefix_len.unwrap_or(0)),
        max_output_tokens: f64::from(required(fields.max_out, "max_out")?),
        ..RequestMetadata::default()
    };
    let body = required(fields.body, "body")?;
    if body.len() > MAX_BODY_BYTES {
        return Err(InvalidMessageReason::BodyTooLarge);
    }
    Ok((metadata, body.into()))
}

/// Returns the tenant's number. A deployment without tenants ignores the field.
fn parse_tenant(
    tenant: Option<String>,
    deployment: &Deployment,
) -> Result<Option<usize>, InvalidMessageReason> {
    if deployment.settings.tenants.is_empty() {
        return Ok(None);
    }
    let tenant = required(tenant, "tenant")?;
    match deployment.tenants.lookup(&tenant) {
        Some(number) => Ok(Some(number as usize)),
        None => Err(InvalidMessageReason::UnknownTenant(tenant)),
    }
}

/// A message to a client about one of its requests.
pub(super) enum ServerMessage<'a> {
    /// The next part of the response's text.
    Event { id: &'a str, data: &'a str },
    /// Final: the response is complete.
    Served { id: &'a str },
    /// Final: the request was served before. `has_text` is false if the response was too long to be cached.
    ServedBefore { id: &'a str, has_text: bool },
    /// Final: the request did not run, or is safe to run twice, and may be submitted again.
    Shed { id: &'a str, retry_after: Duration },
    /// Final: the request failed.
    Failed { id: &'a str, reason: &'a str },
    /// The client's message was rejected. Not final for any request.
    Error {
        id: Option<&'a str>,
        reason: &'a str,
    },
}

impl ServerMessage<'_> {
    /// Formats the WebSocket message with its JSON text.
    pub(super) fn to_message(&self) -> Message {
        let text = match self {
            ServerMessage::Event { id, data } => with_id(
                "event",
                id,
                &format!(",\"data\":{}", json::to_string(*data)),
            ),
            ServerMessage::Served { id } => with_id("served", id, ""),
            ServerMessage::ServedBefore { id, has_text } => with_id(
                "served",
                id,
                &format!(",\"recorded\":true,\"whole\":{has_text}"),
            ),
            ServerMessage::Shed { id, retry_after } => {
                // Rounded up, so that the client does not retry too early.
                let retry_after_ms = retry_after.as_micros().div_ceil(1000);
                with_id(
                    "refused",
                    id,
                    &format!(",\"retry_after_ms\":{retry_after_ms}"),
                )
            }
            ServerMessage::Failed { id, reason } => with_id("failed", id, &reason_field(reason)),
            ServerMessage::Error {
                id: Some(id),
                reason,
            } => with_id("error", id, &reason_field(reason)),
            ServerMessage::Error { id: None, reason } => {
                format!("{{\"type\":\"error\"{}}}", reason_field(reason))
            }
        };
        Message::Text(text.into())
    }
}

fn with_id(kind: &str, id: &str, further_fields: &str) -> String {
    format!(
        "{{\"type\":\"{kind}\",\"id\":{}{further_fields}}}",
        json::to_string(id)
    )
}

fn reason_field(reason: &str) -> String {
    format!(",\"reason\":{}", json::to_string(reason))
}

/// Takes the text up to the last complete character from the buffer; the bytes of an incomplete one stay. Returns
/// `None` if the bytes are not UTF-8.
pub fn take_complete_utf8(buffer: &mut Vec<u8>) -> Option<String> {
    let complete_bytes = match std::str::from_utf8(buffer) {
        Ok(text) => text.len(),
        Err(error) if error.error_len().is_none() => error.valid_up_to(),
        Err(_) => return None,
    };
    let incomplete = buffer.split_off(complete_bytes);
    String::from_utf8(std::mem::replace(buffer, incomplete)).ok()
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend/session_messages.rs"]
mod tests;
