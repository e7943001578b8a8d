//! Recordings of a dispatcher's traffic: what it heard, what it sent where, and what it answered.
//!
//! `docs/fleet-model.md` says why the file is as it is. [`Recorder`] writes one beside a running dispatcher, from a
//! thread of its own; [`Reader`] reads one to its last whole record.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod file;
mod recorder;

pub use file::{Damage, Reader, Writer, MARK, VERSION};
pub use recorder::Recorder;

use serde::{Deserialize, Serialize};

/// A name's digest under a recording's key: the same name has the same one, and it tells nothing of the name.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub u64);

/// The key of a recording's digests. It is never written.
pub struct Key([u8; 32]);

impl Key {
    /// A key from what only this process knows.
    pub fn from_secret(secret: &[u8]) -> Key {
        Key(blake3::derive_key(
            "quartzhall recording: keyed digests, version 1",
            secret,
        ))
    }

    /// The digest of a name. `sort` keeps a session and an opening of one name apart.
    pub fn digest(&self, sort: DigestKind, name: &[u8]) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[sort as u8]).update(name);
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        Digest(u64::from_le_bytes(first))
    }
}

/// What a digest stands for.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub enum DigestKind {
    /// A session.
    Session = 1,
    /// A shared opening.
    Opening = 2,
}

/// What a number in later records means.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Table {
    /// A class of requests.
    Class,
    /// A tenant.
    Tenant,
    /// A node.
    Node,
}

/// What a node does.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedRole {
    /// Reads.
    Prefill,
    /// Writes.
    Decode,
    /// Both.
    Mixed,
}

/// How an attempt ended, in the core's terms.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedStatus {
    /// Served.
    Served,
    /// The prompt is read.
    PrefillDone,
    /// An error answer.
    Error,
    /// Turned away.
    Overloaded,
    /// No answer in time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// A kept connection broke before anything came back.
    StaleConnection,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away for good.
    InvalidRequest,
}

/// A request's final answer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// A stream was passed on to its end.
    Served,
    /// A stream was passed on and broke.
    StreamBroken,
    /// Refused.
    Shed,
    /// Failed.
    Failed,
    /// The client left before.
    ClientDisconnected,
}

/// One record. Times are Unix microseconds on the recording dispatcher's clock; lengths are tokens.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum Record {
    /// The recording begins: by whom, and among how many dispatchers.
    Start {
        /// When.
        at: u64,
        /// The dispatcher's name.
        dispatcher: String,
        /// Dispatchers that share the nodes.
        dispatchers: u32,
    },
    /// A number means this from here on.
    Name {
        /// In which table.
        table: Table,
        /// The number.
        number: u32,
        /// What it means.
        name: String,
    },
    /// A node as the list tells of it.
    Node {
        /// When.
        at: u64,
        /// Its number.
        node: u32,
        /// What it does.
        role: RecordedRole,
        /// Its cell.
        cell: u32,
        /// It takes work.
        ready: bool,
        /// When it last started; 0: long ago.
        started: u64,
    },
    /// A request has come.
    Arrival {
        /// When.
        at: u64,
        /// Its number, until its `Final`.
        request: u64,
        /// Its class.
        class: u32,
        /// Its tenant.
        tenant: Option<u32>,
        /// Its session.
        session: Option<Digest>,
        /// Its opening.
        opening: Option<Digest>,
        /// Of its prompt.
        prompt: u32,
        /// Of its opening.
        prefix: u32,
        /// The most of its answer.
        most: u32,
        /// Microseconds that its client waits.
        expires_in: u64,
    },
    /// An attempt has been sent.
    Sent {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// Which of its attempts.
        attempt: u32,
        /// Where to.
        node: u32,
    },
    /// An attempt's first event has come.
    First {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// Which of its attempts.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// When.
        at: u64,
        /// Its request.
        request: u64,
        /// Which of its attempts.
        attempt: u32,
        /// How.
        status: RecordedStatus,
        /// Tokens found kept.
        kept: u32,
        /// Tokens of the answer; 0 where it was not told.
        written: u32,
    },
    /// The request is over.
    Final {
        /// When.
        at: u64,
        /// The request.
        request: u64,
        /// How.
        answer: RecordedOutcome,
    },
    /// So many records are missing here: the recorder could not keep up.
    Dropped {
        /// How many.
        records: u64,
    },
}
