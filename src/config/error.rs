//! Why a configuration can't be used. Each error's text is one line, and operators' tools match it: don't reword it.

use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// A configuration, a session file or an endpoint entry is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The configuration file or the session file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The configuration file isn't JSON, or lacks a required field, or a field has another type.
    #[error("the configuration is not the JSON object that is expected")]
    NotJsonObject,
    /// A text isn't JSON.
    #[error("not JSON")]
    NotJson,
    /// `settings.classes` is empty, or a class has no `aim`.
    #[error("the settings name no classes, or one without an aim")]
    MissingClassObjective,
    /// `settings.limits.most_tries` is absent.
    #[error("the settings lack limits.most_tries")]
    MissingMaxAttempts,
    /// Two of `settings.classes` have the same name.
    #[error("the settings name a class twice")]
    DuplicateClass,
    /// `discovery` isn't an IP address with a port.
    #[error("discovery is no address: {address:?}")]
    InvalidDiscoveryAddress {
        /// The value of `discovery`.
        address: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// A machine type's role is unknown.
    #[error("unknown role {value:?}")]
    UnknownRole {
        /// The path of the setting.
        setting: String,
        /// The value, which is none of `read`, `write` and `both`.
        value: String,
    },
    /// A class's deduplication scope is unknown.
    #[error("unknown group {value:?}")]
    UnknownDeduplicationScope {
        /// The path of the setting.
        setting: String,
        /// The value, which is none of `all`, `zone` and `cell`.
        value: String,
    },
    /// A class's idempotency is unknown.
    #[error("unknown kind of repeat {value:?}")]
    UnknownIdempotency {
        /// The path of the setting.
        setting: String,
        /// The value, which is none of `free`, `guarded` and `single_shot`.
        value: String,
    },
    /// `settings.reporting.via` is unknown.
    #[error("unknown way of reporting {value:?}")]
    UnknownLoadReporting {
        /// The value, which is none of `answers`, `probe` and `none`.
        value: String,
    },
    /// An endpoint's machine type isn't one of `settings.machine_types`.
    #[error("unknown kind {:?}", Some(machine_type))]
    UnknownMachineType {
        /// The machine type in the endpoint's entry.
        machine_type: String,
    },
    /// `settings.family_info.role_by_kind` has no role for an endpoint's machine type.
    #[error("a kind without a role")]
    MissingRole {
        /// The index of the machine type.
        machine_type: usize,
    },
    /// All class ids are in use: reloads replaced classes faster than the requests of the old classes ended.
    #[error("too many classes have come and gone while requests of theirs are open")]
    TooManyClasses,
    /// A number is negative or not finite.
    #[error("{path} is no number from 0 on")]
    NegativeNumber {
        /// The path of the setting.
        path: String,
    },
    /// A number that must be positive is 0.
    #[error("{path} is not positive")]
    NotPositive {
        /// The path of the setting.
        path: String,
    },
    /// A count has a fractional part.
    #[error("{path} is no whole number")]
    NotWhole {
        /// The path of the setting.
        path: String,
    },
    /// A setting that the running configuration has is absent from the new one.
    #[error("{path} is missing")]
    MissingSetting {
        /// The path of the setting.
        path: String,
    },
    /// A setting has another type than in the running configuration.
    #[error("{path} is not {expected}")]
    WrongType {
        /// The path of the setting.
        path: String,
        /// The type in the running configuration, with an indefinite article.
        expected: &'static str,
    },
    /// The session file isn't JSON, or a field has another type.
    #[error("the session file: not the JSON object expected")]
    SessionFileNotJsonObject,
    /// A limit in the session file is 0 or too large.
    #[error("the session file: a bound that bounds nothing")]
    InvalidSessionBound {
        /// The name of the setting.
        setting: &'static str,
    },
}
