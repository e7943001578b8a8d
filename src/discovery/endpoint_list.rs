//! Discovery's list of endpoints, in the dispatcher's terms. Pure; the JSON's own names stand in [`crate::config`].
//!
//! Discovery may send invalid lists and records: an invalid list is an error as a whole, an invalid record is skipped.

use crate::config::{Deployment, EndpointLine, EndpointList};
use crate::dispatcher::{DiscoveredEndpoint, Event};
use crate::routing::api::{EndpointRecord, EndpointStatus};
use miniserde::json;
use slog::{warn, Logger};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a list could not be read.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not text.
    #[error("not UTF-8")]
    Encoding(#[from] std::str::Utf8Error),
    /// The text is no JSON, or of another shape.
    #[error("not a list of members")]
    Format(#[from] miniserde::Error),
}

/// Why an endpoint's record could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// The record has no identifier, or an empty one.
    #[error("no id")]
    MissingId,
    /// The record's phase is absent or unknown.
    #[error("unknown phase {0:?}")]
    UnknownPhase(Option<String>),
    /// The record's address is absent or no socket address.
    #[error("no address: {0:?}")]
    InvalidAddress(String),
    /// The deployment has no such kind of endpoint; the text names the kind.
    #[error("{0}")]
    UnknownKind(String),
}

/// Reads a list as discovery writes it.
///
/// # Errors
///
/// [`ListError`] where the text is no list. Invalid records in it are found by [`endpoints_changed_event`].
pub fn parse_list(text: &[u8]) -> Result<EndpointList, ListError> {
    let text = std::str::from_utf8(text)?;
    Ok(json::from_str(text)?)
}

/// The event by which a list reaches the dispatcher. Invalid records are logged and skipped.
pub fn endpoints_changed_event(
    deployment: &mut Deployment,
    list: &EndpointList,
    log: &Logger,
) -> Event {
    let mut endpoints = Vec::new();
    for value in &list.members {
        let line = EndpointLine::from(value);
        match parse_endpoint(deployment, &line) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(error) => {
                warn!(log, "invalid endpoint skipped"; "endpoint" => line.id, "error" => %error);
            }
        }
    }
    Event::EndpointsChanged {
        is_full: list.complete,
        endpoints,
    }
}

/// Reads an endpoint's record. One that is announced as draining or removed is always read: where the rest of its record
/// is invalid, the result is partial, and what was known of the endpoint before stays valid.
///
/// # Errors
///
/// [`EndpointError`] where the identifier or the phase, or anything else of an endpoint that is ready, is invalid.
pub fn parse_endpoint(
    deployment: &mut Deployment,
    line: &EndpointLine,
) -> Result<DiscoveredEndpoint, EndpointError> {
    let id = match line.id.as_deref() {
        None | Some("") => return Err(EndpointError::MissingId),
        Some(id) => id,
    };
    let status = parse_phase(line.phase.as_deref())?;
    let zone = deployment.zone_id(line.locality.as_deref());
    let (address, record, is_partial) = match parse_address_and_kind(deployment, id, line) {
        Ok((address, record)) => (address, record, false),
        Err(_) if status != EndpointStatus::Ready => ("", EndpointRecord::default(), true),
        Err(error) => return Err(error),
    };
    // Zero stands for a start long ago.
    let started_at = line
        .up_since_ms
        .filter(|started_ms| *started_ms > 0.0)
        .map(|started_ms| (started_ms * 1000.0) as u64);
    Ok(DiscoveredEndpoint {
        id: id.into(),
        address: address.into(),
        record: EndpointRecord {
            zone,
            cell: line.cell.unwrap_or(u32::MAX),
            status,
            started_at,
            ..record
        },
        is_partial,
    })
}

fn parse_phase(phase: Option<&str>) -> Result<EndpointStatus, EndpointError> {
    match phase {
        Some("Ready") => Ok(EndpointStatus::Ready),
        Some("Terminating") => Ok(EndpointStatus::Draining),
        Some("Gone") => Ok(EndpointStatus::Removed),
        other => Err(EndpointError::UnknownPhase(other.map(str::to_owned))),
    }
}

fn parse_address_and_kind<'a>(
    deployment: &mut Deployment,
    id: &str,
    line: &'a EndpointLine,
) -> Result<(&'a str, EndpointRecord), EndpointError> {
    let address = line.host_port.as_deref().unwrap_or_default();
    if address.parse::<SocketAddr>().is_err() {
        return Err(EndpointError::InvalidAddress(address.to_owned()));
    }
    // The dispatcher sets the endpoint's number.
    let record = deployment
        .endpoint_record(0, id, line.flavor.as_deref())
        .map_err(|error| EndpointError::UnknownKind(error.to_string()))?;
    Ok((address, record))
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/endpoint_list.rs"]
mod tests;
