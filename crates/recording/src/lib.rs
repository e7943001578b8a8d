//! The file format for recordings of a dispatcher's traffic: requests, attempts, outcomes and the endpoints that served them.
//!
//! A running dispatcher passes its records to a [`Recorder`], which writes them in its own thread. The calibration reads them
//! back with a [`Reader`], up to the last complete record. The encoding depends only on the order and the types of variants
//! and fields, so neither may change within a [`VERSION`]; names may. `docs/fleet-model.md` explains the format.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod file;
mod recorder;

pub use file::{ReadError, ReadErrorKind, Reader, Writer, MAGIC, VERSION};
pub use recorder::Recorder;

use serde::{Deserialize, Serialize};

/// The keyed digest of a name. Equal names have equal digests within a recording; the name cannot be derived from its digest.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u64);

/// The secret key of a recording's digests. It is never written to the file.
pub struct Key([u8; 32]);

impl Key {
    /// Derives a key from a secret. Only this process may know it: with the secret, guesses of names could be tested against
    /// their digests.
    pub fn from_secret(secret: &[u8]) -> Key {
        Key(blake3::derive_key(
            "quartzhall recording: keyed digests, version 1",
            secret,
        ))
    }

    /// Returns the digest of a name. A session and a shared prefix of the same name have different digests.
    pub fn digest(&self, kind: DigestKind, name: &[u8]) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[kind as u8]).update(name);
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Digest(u64::from_le_bytes(bytes))
    }
}

/// The kind of name that a digest stands for. Discriminants are inputs of the digest, so they must not change.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub enum DigestKind {
    /// A client session.
    Session = 1,
    /// A prefix that prompts of several requests share.
    SharedPrefix = 2,
}

/// A table that assigns names to the numbers in records.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// Names of request classes.
    Class,
    /// Names of tenants.
    Tenant,
    /// Endpoint ids, as discovery reports them.
    Endpoint,
}

/// The stages of a request that an endpoint serves.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedRole {
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
    /// Prefill and decode.
    Mixed,
}

/// The status with which an attempt ended.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedStatus {
    /// The response was complete.
    Served,
    /// The prefill was complete.
    PrefillDone,
    /// The endpoint returned an error.
    Error,
    /// The endpoint refused the attempt because of overload, or because it had no KV cache for the request.
    Overloaded,
    /// No response arrived in time.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// A pooled connection was lost before any response byte arrived.
    StaleConnection,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The endpoint refused the request as invalid.
    InvalidRequest,
}

/// The final outcome of a request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The stream ended complete.
    Served,
    /// The stream ended before it was complete.
    StreamBroken,
    /// The request was rejected because of load; the client may retry it.
    Shed,
    /// The request failed before its stream started.
    Failed,
    /// The client disconnected before the request had another outcome.
    ClientDisconnected,
}

/// One record. Times (`at`, `started`) are Unix times in microseconds on the recording dispatcher's clock.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Record {
    /// The start of the recording.
    Start {
        /// When the recording was started.
        at: u64,
        /// The name of the recording dispatcher.
        dispatcher: String,
        /// The number of dispatchers that share the endpoints; 0 if it is not configured.
        dispatchers: u32,
    },
    /// Assigns a name to a number. Later records refer to the name by this number.
    Name {
        /// The table that the number belongs to.
        table: Table,
        /// The number. A later record with the same table and number replaces the name.
        number: u32,
        /// The name of the class, tenant or endpoint.
        name: String,
    },
    /// Discovery has reported an endpoint, or a change of its status or address.
    Endpoint {
        /// When the dispatcher processed the report.
        at: u64,
        /// The endpoint's number in [`Table::Endpoint`].
        endpoint: u32,
        /// The stages that the endpoint serves.
        role: RecordedRole,
        /// The number of the endpoint's cell.
        cell: u32,
        /// Whether the endpoint accepts new requests.
        ready: bool,
        /// When the endpoint last started; 0 if that is unknown.
        started: u64,
    },
    /// A request has arrived.
    Arrival {
        /// When the request arrived.
        at: u64,
        /// The request id, to which the records of the request and of its attempts refer.
        request: u64,
        /// The number of the request's class in [`Table::Class`].
        class: u32,
        /// The number of the request's tenant in [`Table::Tenant`]; `None` if no quota applies.
        tenant: Option<u32>,
        /// The digest of the request's session; `None` if the request belongs to no session.
        session: Option<Digest>,
        /// The digest of the shared prefix that the prompt begins with; `None` if it has none.
        shared_prefix: Option<Digest>,
        /// Tokens in the prompt, including the shared prefix.
        prompt_tokens: u32,
        /// Tokens in the shared prefix.
        prefix_tokens: u32,
        /// Maximum tokens in the response.
        max_output_tokens: u32,
        /// Time left until the client's deadline, in microseconds.
        expires_in: u64,
    },
    /// An attempt has been sent.
    AttemptSent {
        /// When the attempt was sent.
        at: u64,
        /// The id of its request.
        request: u64,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The endpoint's number in [`Table::Endpoint`].
        endpoint: u32,
    },
    /// The first event of an attempt's stream has arrived.
    FirstEvent {
        /// When the event arrived.
        at: u64,
        /// The id of its request.
        request: u64,
        /// The number of the attempt within the request.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// When the attempt ended.
        at: u64,
        /// The id of its request.
        request: u64,
        /// The number of the attempt within the request.
        attempt: u32,
        /// How the attempt ended.
        status: RecordedStatus,
        /// Prompt tokens that the endpoint found in its prefix cache. With [`RecordedStatus::Overloaded`], 1 means that the
        /// endpoint had no KV cache for the request.
        cached_tokens: u32,
        /// Output tokens; 0 if the endpoint did not report them.
        completion_tokens: u32,
    },
    /// A request has its outcome. Attempts of the request may still end afterwards.
    RequestEnded {
        /// When the outcome was known.
        at: u64,
        /// The id of the request.
        request: u64,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// Records are missing, because the recorder's queue was full. Between this record and the gap are at most as many records
    /// as the queue holds.
    Dropped {
        /// The number of missing records.
        records: u64,
    },
}
