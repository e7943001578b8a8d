//! Endpoint lists as discovery writes them, and as the configuration repeats the last one.

use super::validation;
use miniserde::json::Value;
use miniserde::Deserialize;

/// One line of an endpoint list. Each field is read by itself: one that can't be read is absent and doesn't invalidate
/// the others.
#[derive(Clone, Debug, Default)]
pub struct EndpointLine {
    /// The endpoint's id, the same at every dispatcher.
    pub id: Option<String>,
    /// The address on which it listens.
    pub host_port: Option<String>,
    /// The name of its zone.
    pub locality: Option<String>,
    /// The name of its machine type.
    pub flavor: Option<String>,
    /// Its cell.
    pub cell: Option<u32>,
    /// Its lifecycle phase: whether it accepts requests.
    pub phase: Option<String>,
    /// Its last start, in Unix milliseconds; 0 means long ago.
    pub up_since_ms: Option<f64>,
}

impl From<&Value> for EndpointLine {
    fn from(line: &Value) -> Self {
        let Value::Object(line) = line else {
            return EndpointLine::default();
        };
        let text = |field: &str| match line.get(field) {
            Some(Value::String(text)) => Some(text.clone()),
            _ => None,
        };
        let number = |field: &str| match line.get(field) {
            Some(Value::Number(number)) => Some(validation::number_value(number)),
            _ => None,
        };
        EndpointLine {
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
    /// The list's version.
    pub revision: u64,
    /// Whether the list is full, so that endpoints missing from it are removed.
    pub complete: bool,
    /// The list's lines, unread: see [`EndpointLine`].
    pub members: Vec<Value>,
}
