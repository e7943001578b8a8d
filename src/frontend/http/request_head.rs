//! Parses the head of a client's request. The platform's clients define the header names and rely on the texts.

use crate::config::{millis_to_micros, Deployment};
use crate::frontend::identifiers::{is_valid_name, parse_key};
use crate::routing::api::RequestMetadata;
use axum::http::HeaderMap;
use std::sync::Arc;

/// Why a request's head is invalid. The text is sent to the client.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A required header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header's value has bytes other than visible ASCII.
    #[error("{0} is not plain text")]
    NotText(&'static str),
    /// The client request id is not a valid name, see [`is_valid_name`].
    #[error("X-Trace-Id is not a plain name")]
    InvalidId,
    /// No request class has this name.
    #[error("unknown class {0:?}")]
    UnknownClass(String),
    /// No tenant has this name.
    #[error("unknown tenant {0:?}")]
    UnknownTenant(String),
    /// The deadline is not a number of milliseconds.
    #[error("X-Expires-In-Ms is not a number")]
    InvalidDeadline,
    /// `X-Props` has an item without a `=`.
    #[error("X-Props is not a list of pairs")]
    MalformedProps,
    /// A length in `X-Props` is not a number of tokens.
    #[error("{0} is not a number of tokens")]
    InvalidTokenCount(&'static str),
    /// A required length is missing in `X-Props`.
    #[error("X-Props lacks {0}")]
    MissingTokenCount(&'static str),
}

fn parse_token_count(name: &'static str, value: &str) -> Result<f64, InvalidRequest> {
    match value.parse::<u32>() {
        Ok(tokens) => Ok(f64::from(tokens)),
        Err(_) => Err(InvalidRequest::InvalidTokenCount(name)),
    }
}

/// Parses `X-Props` into the metadata: lengths in tokens, and the key of the shared prefix if there is one.
///
/// # Errors
///
/// Returns the item that is malformed, or the required one that is missing.
pub fn parse_props(text: &str, metadata: &mut RequestMetadata) -> Result<(), InvalidRequest> {
    let mut prompt_tokens = None;
    let mut max_output_tokens = None;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or(InvalidRequest::MalformedProps)?;
        let value = value.trim();
        match name.trim() {
            "prefix" => metadata.prefix = Some(parse_key(value)),
            "prompt_len" => prompt_tokens = Some(parse_token_count("prompt_len", value)?),
            "prefix_len" => metadata.prefix_tokens = parse_token_count("prefix_len", value)?,
            "max_out" => max_output_tokens = Some(parse_token_count("max_out", value)?),
            _ => {}
        }
    }
    metadata.prompt_tokens =
        prompt_tokens.ok_or(InvalidRequest::MissingTokenCount("prompt_len"))?;
    metadata.max_output_tokens =
        max_output_tokens.ok_or(InvalidRequest::MissingTokenCount("max_out"))?;
    Ok(())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, InvalidRequest> {
    let value = headers
        .get(name)
        .ok_or(InvalidRequest::MissingHeader(name))?;
    value.to_str().map_err(|_| InvalidRequest::NotText(name))
}

/// Parses a request's headers into the client request id and the metadata that the dispatcher routes by.
///
/// # Errors
///
/// Returns the first header that is missing or invalid.
pub fn parse_head(
    headers: &HeaderMap,
    deployment: &Deployment,
) -> Result<(Arc<str>, RequestMetadata), InvalidRequest> {
    let id = header_text(headers, "x-trace-id")?;
    if !is_valid_name(id) {
        return Err(InvalidRequest::InvalidId);
    }
    let mut metadata = RequestMetadata {
        session: Some(parse_key(header_text(headers, "x-object")?)),
        ..RequestMetadata::default()
    };
    let class = header_text(headers, "x-qos")?;
    let Some(class_number) = deployment.classes.lookup(class) else {
        return Err(InvalidRequest::UnknownClass(class.to_owned()));
    };
    metadata.class = class_number as usize;
    if !deployment.settings.tenants.is_empty() {
        let tenant = header_text(headers, "x-customer")?;
        let Some(tenant_number) = deployment.tenants.lookup(tenant) else {
            return Err(InvalidRequest::UnknownTenant(tenant.to_owned()));
        };
        metadata.tenant = Some(tenant_number as usize);
    }
    let expires_in_ms: u32 = header_text(headers, "x-expires-in-ms")?
        .parse()
        .map_err(|_| InvalidRequest::InvalidDeadline)?;
    metadata.time_left = millis_to_micros(f64::from(expires_in_ms));
    parse_props(header_text(headers, "x-props")?, &mut metadata)?;
    Ok((id.into(), metadata))
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend/http/request_head.rs"]
mod tests;
