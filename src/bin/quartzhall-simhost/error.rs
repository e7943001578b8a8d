//! Errors of the simulator's wire. Their texts are made here and printed by `main`.

use thiserror::Error;

/// An error and the line of input at which it occurred.
#[derive(Debug, Error)]
#[error("line {number}: {source}")]
pub(crate) struct LineError {
    /// The line's number, from 1.
    pub number: usize,
    /// What was wrong.
    pub source: HostError,
}

/// What can be wrong with one line of input.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// The line could not be read.
    #[error("{0}")]
    Read(#[source] std::io::Error),
    /// The replies of a batch could not be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] std::io::Error),
    /// The line is not JSON, or a field has the wrong type.
    #[error("not a message of the wire")]
    Malformed,
    /// A field is absent; by its name on the wire.
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    /// A key is not hexadecimal.
    #[error("{field} {text:?} is not a hexadecimal key")]
    InvalidKey {
        /// Its field's name on the wire.
        field: &'static str,
        /// Its text.
        text: String,
        /// Why it could not be parsed.
        source: std::num::ParseIntError,
    },
    /// The settings of an instance, or a line of its list of endpoints, are invalid.
    #[error("{0}")]
    Settings(String),
    /// The message has a type that the wire does not have.
    #[error("unknown type {0:?}")]
    UnknownType(String),
    /// No instance of this name was started.
    #[error("unknown instance {0:?}")]
    UnknownInstance(String),
    /// The status of an attempt or of a probe is not known.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// The tenant is not in the settings.
    #[error("unknown user_group {0:?}")]
    UnknownTenant(String),
    /// The request class is not in the settings.
    #[error("unknown kind {0:?}")]
    UnknownClass(String),
    /// The readiness of an endpoint is not known.
    #[error("unknown readiness {0}")]
    UnknownReadiness(u32),
    /// The form of an update of the list of endpoints is not known.
    #[error("unknown form {0} of a view")]
    UnknownForm(u32),
    /// The list of endpoints was not sent before.
    #[error("unknown sheet {0}")]
    UnknownSheet(u32),
}
