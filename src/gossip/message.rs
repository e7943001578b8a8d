//! The format of a gossip message. Pure: converts between bytes and observations, without state.
//!
//! A message has a version byte, the time of sending in two bytes, and records of five bytes. The first
//! three bytes of a record are from the hash of the endpoint's id. The fourth has the endpoint's requests in flight or
//! the failure code, and the fifth the share of its KV memory in use.

use crate::routing::api::{LoadReport, Time};

/// The first byte of a message: identifies the protocol and its version.
const FORMAT_VERSION: u8 = 0xA1;
/// The size of the version and the time of sending.
pub(super) const HEADER_BYTES: usize = 3;
/// The size of a record: the endpoint's key, the requests in flight or the failure code, and the KV memory share.
pub(super) const RECORD_BYTES: usize = 5;
/// The maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The maximum number of records in a message.
pub(super) const MAX_RECORDS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / RECORD_BYTES;
/// The unit of a message's time, in microseconds.
const TICK_MICROS: Time = 10_000;
/// Replaces the requests in flight in the record of a failed attempt.
const FAILURE_CODE: u8 = u8::MAX;
/// The most requests in flight that a record can report; more are reported as this many.
const MAX_IN_FLIGHT: f64 = 254.0;
/// The encoded value of a KV memory share of 1.
const MEMORY_SHARE_SCALE: f64 = 250.0;

/// The content of one record: a load or a failure of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The endpoint's key: see [`gossip_key`].
    pub key: u32,
    /// The endpoint's load; `None`: an attempt at the endpoint has failed.
    pub load: Option<LoadReport>,
}

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its format is invalid, or its sender is unknown.
    Malformed,
    /// Its time of sending is too far in the past or in the future.
    Stale,
    /// A message of the same sender with this time or a later one was received before.
    Repeated,
}

/// Returns the key that identifies an endpoint in messages: the lowest 24 bits of the hash of its id.
pub fn gossip_key(hash: u64) -> u32 {
    (hash & 0x00ff_ffff) as u32
}

/// The time at which a message was sent, in ticks of 10 ms modulo 2^16.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MessageTime(u16);

impl MessageTime {
    pub(super) fn from_time(time: Time) -> Self {
        MessageTime((time / TICK_MICROS) as u16)
    }

    /// Returns the ticks from `earlier` to this time. Correct for distances under 2^15 ticks (5.5 minutes).
    pub(super) fn ticks_since(self, earlier: MessageTime) -> i16 {
        self.0.wrapping_sub(earlier.0) as i16
    }
}

/// An [`Observation`] in the format of the message, ready to send.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record([u8; RECORD_BYTES]);

impl Record {
    /// Encodes a load.
    pub(super) fn of_load(key: u32, in_flight: f64, kv_memory_share: f64) -> Self {
        let memory = kv_memory_share.clamp(0.0, 1.0) * MEMORY_SHARE_SCALE;
        Record::new(
            key,
            in_flight.min(MAX_IN_FLIGHT).round() as u8,
            memory.round() as u8,
        )
    }

    /// Encodes a failed attempt.
    pub(super) fn of_failure(key: u32) -> Self {
        Record::new(key, FAILURE_CODE, 0)
    }

    fn new(key: u32, in_flight_or_failure: u8, memory: u8) -> Self {
        let [_, high, middle, low] = key.to_be_bytes();
        Record([high, middle, low, in_flight_or_failure, memory])
    }
}

/// Encodes a message with these records.
pub(super) fn encode(sent_at: MessageTime, records: &[Record]) -> Vec<u8> {
    let mut message = vec![FORMAT_VERSION];
    message.extend(sent_at.0.to_be_bytes());
    for record in records {
        message.extend(record.0);
    }
    message
}

/// A received message whose format is valid.
pub(super) struct Message<'a> {
    pub(super) sent_at: MessageTime,
    records: &'a [u8],
}

impl Message<'_> {
    /// Parses a message; `None`: its format is invalid.
    pub(super) fn parse(bytes: &[u8]) -> Option<Message<'_>> {
        let (header, records) = bytes.split_at_checked(HEADER_BYTES)?;
        let is_valid = header[0] == FORMAT_VERSION
            && !records.is_empty()
            && records.len() % RECORD_BYTES == 0
            && bytes.len() <= MAX_DATAGRAM_BYTES;
        if !is_valid {
            return None;
        }
        Some(Message {
            sent_at: MessageTime(u16::from_be_bytes([header[1], header[2]])),
            records,
        })
    }

    /// Decodes the observations, in the message's order.
    pub(super) fn observations(&self) -> Vec<Observation> {
        self.records
            .chunks_exact(RECORD_BYTES)
            .map(decode_record)
            .collect()
    }
}

fn decode_record(record: &[u8]) -> Observation {
    let load = if record[3] == FAILURE_CODE {
        None
    } else {
        Some(LoadReport {
            in_flight: Some(f64::from(record[3])),
            kv_memory_share: Some((f64::from(record[4]) / MEMORY_SHARE_SCALE).min(1.0)),
            ..LoadReport::default()
        })
    };
    Observation {
        key: u32::from_be_bytes([0, record[0], record[1], record[2]]),
        load,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gossip/message.rs"]
mod tests;
