//! Recordings of a dispatcher's traffic: requests, attempts and outcomes.
//!
//! `docs/fleet-model.md` explains the format. [`Recorder`] writes a recording beside a running dispatcher, from a thread of
//! its own; [`Reader`] reads one up to its last complete record. Records are encoded by the order of variants and fields,
//! which must not change.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod file;
mod recorder;

pub use file::{Damage, DamageReason, Reader, Writer, MARK, VERSION};
pub use recorder::Recorder;

use serde::{Deserialize, Serialize};

/// The keyed digest of a name: equal names have equal digests, and the name cannot be derived from it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u64);

/// The key of a recording's digests. It is never written to the file.
pub struct Key([u8; 32]);

impl Key {
    /// Derives a key from a secret that only this process knows.
    pub fn from_secret(secret: &[u8]) -> Key {
        Key(blake3::derive_key(
            "quartzhall recording: keyed digests, version 1",
            secret,
        ))
    }

    /// The digest of a name. `kind` separates a session and a shared prefix of the same name.
    pub fn digest(&self, kind: DigestKind, name: &[u8]) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[kind as u8]).update(name);
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Digest(u64::from_le_bytes(bytes))
    }
}

/// What a digest identifies.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub enum DigestKind {
    /// A session.
    Session = 1,
    /// A shared prefix.
    SharedPrefix = 2,
}

/// The table of names that a number in other records refers to.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// Request classes.
    Class,
    /// Tenants.
    Tenant,
    /// Endpoints.
    Endpoint,
}

/// The role of an endpoint.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedRole {
    /// Prefill.
    Prefill,
    /// Decode.
    Decode,
    /// Both.
    Mixed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedStatus {
    /// The stream was completed.
    Served,
    /// Prefill finished.
    PrefillDone,
    /// An error response.
    Error,
    /// Rejected because of overload, or because the KV cache is missing.
    Overloaded,
    /// No response in time.
    Timeout,
    /// No connection could be made.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// A pooled connection was reset before any response.
    StaleConnection,
    /// Cancelled.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The request is not valid.
    InvalidRequest,
}

/// A request's final outcome.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// Its stream was forwarded to the end.
    Served,
    /// Its stream was forwarded and aborted.
    StreamBroken,
    /// It was shed.
    Shed,
    /// It failed.
    Failed,
    /// The client disconnected before.
    ClientDisconnected,
}

/// One record. Times are Unix microseconds on the recording dispatcher's clock; lengths are in tokens.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Record {
    /// The recording begins.
    Start {
        /// When.
        at: u64,
        /// The dispatcher's name.
        dispatcher: String,
        /// Dispatchers that share the endpoints.
        dispatchers: u32,
    },
    /// From here on a number refers to this name.
    Name {
        /// The table.
        table: Table,
        /// The number.
        number: u32,
        /// The name.
        name: String,
    },
    /// An endpoint as discovery lists it.
    Endpoint {
        /// When.
        at: u64,
        /// Its number.
        endpoint: u32,
        /// Its role.
        role: RecordedRole,
        /// Its cell.
        cell: u32,
        /// It accepts requests.
        ready: bool,
        /// When it last started; 0: long ago.
        started: u64,
    },
    /// A request has arrived.
    Arrival {
        /// When.
        at: u64,
        /// Its number, until its `RequestEnded`.
        request: u64,
        /// Its class.
        class: u32,
        /// Its tenant.
        tenant: Option<u32>,
        /// Its session.
        session: Option<Digest>,
        /// Its shared prefix.
        shared_prefix: Option<Digest>,
        /// The length of its prompt.
        prompt_tokens: u32,
        /// The length of its shared prefix.
        prefix_tokens: u32,
        /// The maximum length of its output.
        max_output_tokens: u32,
        /// How long its client waits, in microseconds.
        expires_in: u64,
    },
    /// An attempt has been sent.
    AttemptSent {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// The number of the attempt.
        attempt: u32,
        /// The endpoint's number.
        endpoint: u32,
    },
    /// An attempt's first event has arrived.
    FirstEvent {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// The number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// The number of the attempt.
        attempt: u32,
        /// How it ended.
        status: RecordedStatus,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
        /// Output tokens; 0 if the endpoint did not report them.
        completion_tokens: u32,
    },
    /// The request has ended.
    RequestEnded {
        /// When.
        at: u64,
        /// The request.
        request: u64,
        /// Its outcome.
        outcome: RecordedOutcome,
    },
    /// Records are missing here, because the recorder could not keep up.
    Dropped {
        /// How many.
        records: u64,
    },
}
