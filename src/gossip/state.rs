//! What dispatchers tell each other of servers, and what such a message means. Pure: `peers` carries the bytes.
//!
//! One of a hundred dispatchers hears from a server every half minute, and all together several times a second. So each
//! tells the others what would surprise them: a load far from what was last told of that server, and failures. What that
//! costs is bounded by the price in the settings and by the own requests. A message is a mark, the time it was sent at, and
//! five bytes a server; one that is spoilt, late, or no newer than the last of its sender changes nothing and is counted.

use crate::routing::api::{EndpointId, LoadReport, Time};
use std::collections::BTreeMap;

/// The first byte of a message: what it is, and its version.
const MARK: u8 = 0xA1;
/// A message: the mark and its time, in hundredths of a second.
const HEAD: usize = 3;
const TICK: Time = 10_000;
/// What is told of a server: three bytes of its name's hash, requests in flight or [`FAILED`], share of memory.
const NOTE: usize = 5;
/// In place of the requests in flight: an attempt there has failed.
const FAILED: u8 = u8::MAX;
const MOST_IN_FLIGHT: f64 = 254.0;
const MEMORY_SCALE: f64 = 250.0;
/// The longest datagram that the protocol allows.
pub const LONGEST: usize = 256;
/// A message older than this tells nothing any more, in hundredths of a second; nor one from the future.
const OLDEST: i16 = 200;
const NEWEST: i16 = -20;
/// What was last told of a server is believed for so long; then, what is usual.
const BELIEVED: Time = 3_000_000;
/// Told is a load that is off by so many requests, and by this part of what is believed.
const OFF: f64 = 2.0;
const OFF_PART: f64 = 0.5;
/// So much of a request's worth may be spent on telling, this part of it on loads, and so many requests' part be saved
/// up. A failure is news to all; a load is soon another, and who needs it asks the server itself.
const SPENT: f64 = 0.01;
const ON_LOADS: f64 = 0.2;
const SAVED: f64 = 4.0;
/// The price of a full message to one receiver, where the settings name none.
const LEAST_PRICE: f64 = 1e-4;

/// What one message says of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The lowest 24 bits of the hash of the server's name.
    pub key: u32,
    /// Its load; without one, an attempt there has failed.
    pub load: Option<LoadReport>,
}

/// Why a message changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is none of ours, or spoilt.
    Malformed,
    /// It was sent too long ago, or later than now.
    Stale,
    /// Its sender has sent this one or a newer one before.
    Repeated,
}

/// The key by which a server is told of.
pub fn endpoint_hash(hash: u64) -> u32 {
    (hash & 0x00ff_ffff) as u32
}

/// What this dispatcher believes that others believe, and what it may still tell them.
pub struct Gossip {
    receivers: f64,
    earned: f64, // bytes for each own request
    left: f64,
    left_for_loads: f64, // at most
    believed: BTreeMap<EndpointId, (f64, Time)>,
    usual: f64,
    last: Vec<Option<u16>>, // by sender
    pending: BTreeMap<(u32, bool), [u8; NOTE]>,
    dropped: u64,
}

impl Gossip {
    /// For a fleet of so many dispatchers, where a full message costs `price` points for each receiver and request.
    pub fn new(dispatchers: usize, price: f64) -> Self {
        let receivers = dispatchers.saturating_sub(1).max(1) as f64;
        let earned = SPENT / price.max(LEAST_PRICE) * LONGEST as f64 / receivers;
        Gossip {
            receivers,
            earned,
            left: earned,
            left_for_loads: earned * ON_LOADS,
            believed: BTreeMap::new(),
            usual: 0.0,
            last: vec![None; dispatchers],
            pending: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// A request has come: a little more may be told.
    pub fn on_request(&mut self) {
        let save = |left: f64, earned: f64| {
            (left + earned).min((SAVED * earned).max((HEAD + NOTE) as f64))
        };
        self.left = save(self.left, self.earned);
        self.left_for_loads = save(self.left_for_loads, self.earned * ON_LOADS);
    }

    /// Messages that changed nothing.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn update_belief(&mut self, now: Time, server: EndpointId, in_flight: f64) -> f64 {
        let before = self
            .believed
            .insert(server, (in_flight, now))
            .filter(|(_, at)| at + BELIEVED > now);
        let usual = self.usual;
        self.usual += 0.05 * (in_flight - usual);
        before.map_or(usual, |(before, _)| before)
    }

    /// A server's own report; it is told on if it would surprise the others.
    pub fn record_load(&mut self, now: Time, server: EndpointId, hash: u64, load: &LoadReport) {
        let Some(in_flight) = load.in_flight.filter(|it| *it >= 0.0) else {
            return;
        };
        let before = self.update_belief(now, server, in_flight);
        let off = (in_flight - before).abs();
        if self.receivers >= 1.0 && off > OFF && off > OFF_PART * before {
            let memory = load.kv_memory_share.unwrap_or(0.0).clamp(0.0, 1.0) * MEMORY_SCALE;
            self.note(
                endpoint_hash(hash),
                in_flight.min(MOST_IN_FLIGHT).round() as u8,
                memory.round() as u8,
            );
        }
    }

    /// An attempt has failed by its server's fault.
    pub fn record_failure(&mut self, hash: u64) {
        self.note(endpoint_hash(hash), FAILED, 0);
    }

    fn note(&mut self, key: u32, what: u8, memory: u8) {
        let [_, a, b, c] = key.to_be_bytes();
        let failed = what == FAILED;
        let full = self.pending.len() >= (LONGEST - HEAD) / NOTE;
        // A failure takes a load's place.
        let load = self
            .pending
            .keys()
            .find(|(_, failed)| !failed)
            .filter(|_| full && failed)
            .copied();
        if let Some(load) = load {
            self.pending.remove(&load);
        }
        if !full || load.is_some() {
            self.pending.insert((key, failed), [a, b, c, what, memory]);
        }
    }

    /// What is to be told now. What can't be afforded is not told later either: it would be old.
    pub fn next_message(&mut self, now: Time) -> Option<Vec<u8>> {
        let pending = std::mem::take(&mut self.pending);
        let affordable = |left: f64| ((left - HEAD as f64) / NOTE as f64).max(0.0) as usize;
        // Failures come first: they are rarer, and nobody else may have seen them.
        let (mut notes, mut loads): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|((_, failed), _)| *failed);
        loads.truncate(affordable(self.left_for_loads));
        let of_loads = loads.len();
        notes.append(&mut loads);
        notes.truncate(affordable(self.left));
        if notes.is_empty() {
            return None;
        }
        let mut message = vec![MARK];
        message.extend(((now / TICK) as u16).to_be_bytes());
        message.extend(notes.iter().flat_map(|(_, note)| note));
        self.left -= message.len() as f64;
        if of_loads > 0 {
            self.left_for_loads = (self.left_for_loads - (HEAD + of_loads * NOTE) as f64).max(0.0);
        }
        Some(message)
    }

    /// What a message from another dispatcher says.
    pub fn receive(
        &mut self,
        now: Time,
        from: usize,
        message: &[u8],
    ) -> Result<Vec<Observation>, DropReason> {
        let read = self.read(now, from, message);
        self.dropped += u64::from(read.is_err());
        read
    }

    fn read(
        &mut self,
        now: Time,
        from: usize,
        message: &[u8],
    ) -> Result<Vec<Observation>, DropReason> {
        let (head, notes) = message
            .split_at_checked(HEAD)
            .ok_or(DropReason::Malformed)?;
        let spoilt = head[0] != MARK
            || notes.is_empty()
            || notes.len() % NOTE != 0
            || message.len() > LONGEST;
        let last = self
            .last
            .get_mut(from)
            .filter(|_| !spoilt)
            .ok_or(DropReason::Malformed)?;
        let sent = u16::from_be_bytes([head[1], head[2]]);
        let age = ((now / TICK) as u16).wrapping_sub(sent) as i16;
        if !(NEWEST..=OLDEST).contains(&age) {
            return Err(DropReason::Stale);
        }
        // A time of long ago looks new again after some minutes: only what lies shortly before is a repeat.
        let before = last.map(|last| sent.wrapping_sub(last) as i16);
        if before.is_some_and(|newer| (-2 * OLDEST..=0).contains(&newer)) {
            return Err(DropReason::Repeated);
        }
        *last = Some(sent);
        let observation = |note: &[u8]| {
            let load = (note[3] != FAILED).then(|| LoadReport {
                in_flight: Some(f64::from(note[3])),
                kv_memory_share: Some((f64::from(note[4]) / MEMORY_SCALE).min(1.0)),
                ..LoadReport::default()
            });
            Observation {
                key: u32::from_be_bytes([0, note[0], note[1], note[2]]),
                load,
            }
        };
        Ok(notes.chunks_exact(NOTE).map(observation).collect())
    }

    /// An observation is taken over: what others now believe of this server.
    pub fn accept(&mut self, now: Time, server: EndpointId, observation: &Observation) {
        if let Some(in_flight) = observation.load.as_ref().and_then(|load| load.in_flight) {
            self.update_belief(now, server, in_flight);
        }
    }

    /// Servers that are gone are forgotten.
    pub fn retain(&mut self, known: impl Fn(EndpointId) -> bool) {
        self.believed.retain(|server, _| known(*server));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gossip/state.rs"]
mod tests;
