//! Endpoint lists in the JSON format of discovery, which the configuration's `known` has as well.

use super::validation;
use miniserde::json::Value;
use miniserde::Deserialize;

/// One entry of an endpoint list. An entry must be usable although one of its fields is invalid, so each field is read
/// separately: an absent or invalid field is `None`.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The endpoint's id, which is the same at all dispatchers.
    pub id: Option<String>,
    /// The IP address and port on which the endpoint listens.
    pub host_port: Option<String>,
    /// The name of the endpoint's zone.
    pub locality: Option<String>,
    /// The name of the endpoint's machine type; `None`: the first type of the settings.
    pub flavor: Option<String>,
    /// The id of the endpoint's cell, less than `u32::MAX`.
    pub cell: Option<u32>,
    /// The endpoint's lifecycle phase: `Ready`, `Terminating` or `Gone`.
    pub phase: Option<String>,
    /// The time of the endpoint's last start, in Unix milliseconds; `None` or 0: unknown, long ago.
    pub up_since_ms: Option<f64>,
}

impl From<&Value> for EndpointEntry {
    fn from(entry: &Value) -> Self {
        let Value::Object(entry) = entry else {
            return EndpointEntry::default();
        };
        let text = |field: &str| match entry.get(field) {
            Some(Value::String(text)) => Some(text.clone()),
            _ => None,
        };
        let number = |field: &str| match entry.get(field) {
            Some(Value::Number(number)) => Some(validation::number_value(number)),
            _ => None,
        };
        EndpointEntry {
            id: text("id"),
            host_port: text("host_port"),
            locality: text("locality"),
            flavor: text("flavor"),
            cell: number("cell")
                .filter(|cell| (0.0..u32::MAX.into()).contains(cell))
                .map(|cell| cell as u32),
            phase: text("phase"),
            up_since_ms: number("up_since_ms"),
        }
    }
}

/// An endpoint list, full or incremental.
#[derive(Deserialize, Clone)]
pub struct EndpointList {
    /// The list's version number at this discovery service.
    pub revision: u64,
    /// Whether the list is full: endpoints that are missing from a full list are removed.
    pub complete: bool,
    /// The list's entries, unparsed: see [`EndpointEntry`].
    pub members: Vec<Value>,
}
