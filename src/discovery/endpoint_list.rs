//! Parsing of discovery's endpoint list into the dispatcher's types. Pure. [`EndpointList`] and [`EndpointEntry`]
//! define the JSON format.
//!
//! Discovery may send invalid data: an invalid list is rejected as a whole, an invalid entry is skipped.

use crate::config::{Deployment, EndpointEntry, EndpointList};
use crate::dispatcher::{DiscoveredEndpoint, Event};
use crate::routing::api::{EndpointRecord, EndpointStatus};
use miniserde::json;
use slog::{warn, Logger};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a list is invalid.
#[derive(Debug, Error)]
pub enum ListError {
    /// The body is not UTF-8.
    #[error("not UTF-8")]
    Encoding(#[from] std::str::Utf8Error),
    /// The text is not JSON, or lacks a field of [`EndpointList`].
    #[error("not a list of members")]
    Format(#[from] miniserde::Error),
}

/// Why a list entry is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// The id is absent or empty.
    #[error("no id")]
    MissingId,
    /// The phase is absent or unknown.
    #[error("unknown phase {0:?}")]
    UnknownPhase(Option<String>),
    /// The address is absent (then empty here) or isn't a socket address.
    #[error("no address: {0:?}")]
    InvalidAddress(String),
    /// The deployment doesn't have the machine type, or has no role for it; holds the configuration error's text.
    #[error("{0}")]
    InvalidMachineType(String),
}

/// Parses a response body of discovery.
///
/// # Errors
///
/// The body is not a list. Invalid entries are not errors here; [`endpoints_changed_event`] skips them.
pub fn parse_list(text: &[u8]) -> Result<EndpointList, ListError> {
    let text = std::str::from_utf8(text)?;
    Ok(json::from_str(text)?)
}

/// Converts a list to the dispatcher's event. Invalid entries are logged and skipped.
pub fn endpoints_changed_event(
    deployment: &mut Deployment,
    list: &EndpointList,
    log: &Logger,
) -> Event {
    let mut endpoints = Vec::new();
    for value in &list.members {
        let entry = EndpointEntry::from(value);
        match parse_endpoint(deployment, &entry) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(error) => {
                warn!(log, "invalid endpoint skipped"; "endpoint" => entry.id, "error" => %error);
            }
        }
    }
    Event::EndpointsChanged {
        is_full: list.complete,
        endpoints,
    }
}

/// Parses a list entry. A draining or removed endpoint must never be skipped, as it would keep receiving requests. So
/// if the address or the machine type of its entry is invalid, the result is marked as partial: only its id and status
/// are valid, and the dispatcher keeps the endpoint's earlier record.
///
/// # Errors
///
/// The id or the phase is invalid, or the address or the machine type of an endpoint that is ready.
pub fn parse_endpoint(
    deployment: &mut Deployment,
    entry: &EndpointEntry,
) -> Result<DiscoveredEndpoint, EndpointError> {
    let id = match entry.id.as_deref() {
        None | Some("") => return Err(EndpointError::MissingId),
        Some(id) => id,
    };
    let status = parse_phase(entry.phase.as_deref())?;
    let zone = deployment.zone_id(entry.locality.as_deref());
    let (address, record, is_partial) = match parse_address_and_machine_type(deployment, id, entry)
    {
        Ok((address, record)) => (address, record, false),
        Err(_) if status != EndpointStatus::Ready => ("", EndpointRecord::default(), true),
        Err(error) => return Err(error),
    };
    // Zero means that the endpoint started long ago.
    let started_at = entry
        .up_since_ms
        .filter(|started_ms| *started_ms > 0.0)
        .map(|started_ms| (started_ms * 1000.0) as u64);
    Ok(DiscoveredEndpoint {
        id: id.into(),
        address: address.into(),
        record: EndpointRecord {
            zone,
            cell: entry.cell.unwrap_or(u32::MAX),
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

/// Parses the parts of an entry that an endpoint must have to receive requests. The record has only the key, the role
/// and the KV cache capacity; the caller sets the other fields. An unknown machine type is an error.
fn parse_address_and_machine_type<'a>(
    deployment: &mut Deployment,
    id: &str,
    entry: &'a EndpointEntry,
) -> Result<(&'a str, EndpointRecord), EndpointError> {
    let address = entry.host_port.as_deref().unwrap_or_default();
    if address.parse::<SocketAddr>().is_err() {
        return Err(EndpointError::InvalidAddress(address.to_owned()));
    }
    // The dispatcher replaces the endpoint's number 0.
    let record = deployment
        .endpoint_record(0, id, entry.flavor.as_deref())
        .map_err(|error| EndpointError::InvalidMachineType(error.to_string()))?;
    Ok((address, record))
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/endpoint_list.rs"]
mod tests;
