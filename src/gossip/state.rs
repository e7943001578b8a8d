//! The gossip state: which observations this dispatcher sends to the others, and which messages it accepts. Pure: the
//! dispatcher's core owns the [`Gossip`], and [`crate::gossip::transport`] carries the bytes.
//!
//! In a fleet of a hundred dispatchers, each one gets a load report from a given endpoint about every half minute. All
//! of them together get several per second. So each dispatcher sends only what the others don't expect:
//! failures, and loads far from the last one reported for the endpoint. A byte budget limits the cost. A message that
//! is malformed, stale, or no newer than the last one of its sender is counted and dropped.

use super::budget::ByteBudget;
use super::message::{self, gossip_key, Message, MessageTime, Record, MAX_RECORDS};
use super::{DropReason, Observation};
use crate::routing::api::{EndpointId, LoadReport, Time};
use std::collections::BTreeMap;

/// The maximum age of a message, in ticks of 10 ms; older ones are stale.
const MAX_AGE_TICKS: i16 = 200;
/// The maximum time of a message ahead of this clock, in ticks of 10 ms; messages from further ahead are stale.
const MAX_CLOCK_SKEW_TICKS: i16 = 20;
/// How long dispatchers expect the last reported load of an endpoint, in microseconds. After that, they expect the
/// average load.
const EXPECTATION_LIFETIME: Time = 3_000_000;
/// The difference from the expected load above which a load is sent, in requests. [`MIN_DEVIATION_SHARE`] must be
/// exceeded too.
const MIN_DEVIATION_REQUESTS: f64 = 2.0;
/// The difference from the expected load above which a load is sent, as a share of the expected load.
const MIN_DEVIATION_SHARE: f64 = 0.5;
/// The weight of one report in the moving average of loads.
const AVERAGE_REPORT_WEIGHT: f64 = 0.05;

/// The last reported load of an endpoint, from the endpoint itself or from another dispatcher.
struct ReportedLoad {
    in_flight: f64,
    reported_at: Time,
}

/// The kind of a pending record.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKind {
    Load,
    Failure,
}

/// The key of a pending record: the endpoint's gossip key and the kind. An endpoint has at most one record of each
/// kind.
type RecordKey = (u32, RecordKind);

/// The gossip of one dispatcher: the loads that the other dispatchers expect, and the records to be sent.
pub struct Gossip {
    budget: ByteBudget,
    reported: BTreeMap<EndpointId, ReportedLoad>,
    /// The moving average of reported loads over all endpoints, in requests in flight.
    average_in_flight: f64,
    /// The time of the last accepted message, indexed by sender.
    last_received: Vec<Option<MessageTime>>,
    /// The records for the next message.
    pending: BTreeMap<RecordKey, Record>,
    /// The number of received messages that were dropped.
    dropped: u64,
}

impl Gossip {
    /// Creates the gossip state in a fleet of `dispatcher_count` dispatchers. `price` is the cost of a full message to
    /// one receiver, as a share of a request's value.
    pub fn new(dispatcher_count: usize, price: f64) -> Self {
        let receivers = dispatcher_count.saturating_sub(1).max(1) as f64;
        Gossip {
            budget: ByteBudget::new(receivers, price),
            reported: BTreeMap::new(),
            average_in_flight: 0.0,
            last_received: vec![None; dispatcher_count],
            pending: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Records that a request has arrived, which earns budget.
    pub fn on_request(&mut self) {
        self.budget.on_request();
    }

    /// Returns the number of received messages that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records a reported load and returns the load that was expected.
    fn update_expectation(&mut self, now: Time, endpoint: EndpointId, in_flight: f64) -> f64 {
        let report = ReportedLoad {
            in_flight,
            reported_at: now,
        };
        let previous = self.reported.insert(endpoint, report);
        let average = self.average_in_flight;
        self.average_in_flight += AVERAGE_REPORT_WEIGHT * (in_flight - average);
        match previous {
            Some(load) if load.reported_at + EXPECTATION_LIFETIME > now => load.in_flight,
            _ => average,
        }
    }

    /// Records a load reported by an endpoint. It is sent if the other dispatchers don't expect it. `hash` is the hash
    /// of the endpoint's id.
    pub fn record_load(&mut self, now: Time, endpoint: EndpointId, hash: u64, load: &LoadReport) {
        let Some(in_flight) = load.in_flight.filter(|count| *count >= 0.0) else {
            return;
        };
        let expected = self.update_expectation(now, endpoint, in_flight);
        let deviation = (in_flight - expected).abs();
        if deviation > MIN_DEVIATION_REQUESTS && deviation > MIN_DEVIATION_SHARE * expected {
            let key = gossip_key(hash);
            let record = Record::of_load(key, in_flight, load.kv_memory_share.unwrap_or(0.0));
            self.add_pending((key, RecordKind::Load), record);
        }
    }

    /// Records an attempt that failed through its endpoint's fault. `hash` is the hash of the endpoint's id.
    pub fn record_failure(&mut self, hash: u64) {
        let key = gossip_key(hash);
        self.add_pending((key, RecordKind::Failure), Record::of_failure(key));
    }

    /// Adds a record to the next message. If the message is full, a failure replaces a load, and a load is discarded.
    fn add_pending(&mut self, key: RecordKey, record: Record) {
        if self.pending.len() >= MAX_RECORDS {
            if key.1 == RecordKind::Load {
                return;
            }
            let first_load = self
                .pending
                .keys()
                .find(|(_, kind)| *kind == RecordKind::Load)
                .copied();
            let Some(first_load) = first_load else {
                return;
            };
            self.pending.remove(&first_load);
        }
        self.pending.insert(key, record);
    }

    /// Returns the message to send now, if there is one. Records beyond the budget are discarded, as they would be
    /// stale later.
    pub fn next_message(&mut self, now: Time) -> Option<Vec<u8>> {
        // Failures come first: they are rarer, and the other dispatchers may not have noticed them.
        let mut records = Vec::new();
        let mut loads = Vec::new();
        for ((_, kind), record) in std::mem::take(&mut self.pending) {
            match kind {
                RecordKind::Failure => records.push(record),
                RecordKind::Load => loads.push(record),
            }
        }
        loads.truncate(self.budget.max_load_records());
        let load_count = loads.len();
        records.append(&mut loads);
        records.truncate(self.budget.max_records());
        if records.is_empty() {
            return None;
        }
        let message = message::encode(MessageTime::from_time(now), &records);
        self.budget.spend(message.len(), load_count);
        Some(message)
    }

    /// Parses a message from another dispatcher. `sender` is the sender's index among the peers.
    ///
    /// # Errors
    ///
    /// The message is dropped and counted.
    pub fn receive(
        &mut self,
        now: Time,
        sender: usize,
        message: &[u8],
    ) -> Result<Vec<Observation>, DropReason> {
        let observations = self.read_message(now, sender, message);
        if observations.is_err() {
            self.dropped += 1;
        }
        observations
    }

    fn read_message(
        &mut self,
        now: Time,
        sender: usize,
        message: &[u8],
    ) -> Result<Vec<Observation>, DropReason> {
        let message = Message::parse(message).ok_or(DropReason::Malformed)?;
        let last_received = self
            .last_received
            .get_mut(sender)
            .ok_or(DropReason::Malformed)?;
        let age = MessageTime::from_time(now).ticks_since(message.sent_at);
        if !(-MAX_CLOCK_SKEW_TICKS..=MAX_AGE_TICKS).contains(&age) {
            return Err(DropReason::Stale);
        }
        // Message times wrap around every 11 minutes, so only a time shortly before the last one is a repetition.
        if let Some(last) = *last_received {
            let advance = message.sent_at.ticks_since(last);
            if (-2 * MAX_AGE_TICKS..=0).contains(&advance) {
                return Err(DropReason::Repeated);
            }
        }
        *last_received = Some(message.sent_at);
        Ok(message.observations())
    }

    /// Records a received load: the other dispatchers now expect it of the endpoint, too. A received failure changes
    /// nothing here.
    pub fn accept(&mut self, now: Time, endpoint: EndpointId, observation: &Observation) {
        if let Some(in_flight) = observation.load.as_ref().and_then(|load| load.in_flight) {
            self.update_expectation(now, endpoint, in_flight);
        }
    }

    /// Removes the endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.reported.retain(|endpoint, _| is_listed(*endpoint));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gossip/state.rs"]
mod tests;
