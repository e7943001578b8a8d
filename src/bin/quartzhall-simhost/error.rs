//! Errors in the simulator's protocol. `main` prints their texts.

use thiserror::Error;

/// An error and the line of input at which it occurred.
#[derive(Debug, Error)]
#[error("line {number}: {source}")]
pub(crate) struct LineError {
    /// The line's number, from 1.
    pub number: usize,
    /// What failed: reading or handling the line, or writing its replies.
    pub source: HostError,
}

/// An error in one line of input.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// The line could not be read.
    #[error("{0}")]
    Read(#[source] std::io::Error),
    /// The replies of a batch could not be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] std::io::Error),
    /// The line is not a JSON object, or a field has the wrong type.
    #[error("not a message of the wire")]
    Malformed,
    /// A required field is absent; holds its name on the wire.
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    /// A key is not hexadecimal.
    #[error("{field} {text:?} is not a hexadecimal key")]
    InvalidKey {
        /// The field's name on the wire.
        field: &'static str,
        /// The field's value, which is not a hexadecimal number of at most 64 bits.
        text: String,
        /// The parse error.
        source: std::num::ParseIntError,
    },
    /// The settings of an instance, or an entry of its endpoint list, are invalid; holds the error's text.
    #[error("{0}")]
    Settings(String),
    /// The message's type is unknown.
    #[error("unknown type {0:?}")]
    UnknownType(String),
    /// No instance of this name is running.
    #[error("unknown instance {0:?}")]
    UnknownInstance(String),
    /// The status of an attempt or of a probe is unknown.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
    /// The settings don't have this tenant.
    #[error("unknown user_group {0:?}")]
    UnknownTenant(String),
    /// The settings don't have this request class.
    #[error("unknown kind {0:?}")]
    UnknownClass(String),
    /// The readiness code of an endpoint is unknown.
    #[error("unknown readiness {0}")]
    UnknownReadiness(u32),
    /// The form of an endpoint list update is unknown.
    #[error("unknown form {0} of a view")]
    UnknownForm(u32),
    /// No endpoint list with this number was defined.
    #[error("unknown sheet {0}")]
    UnknownEndpointList(u32),
}
