//! What this dispatcher reports to the others about endpoints, and what it accepts from them. Pure: the dispatcher's core
//! owns the [`Gossip`], and [`crate::gossip::transport`] carries the bytes.
//!
//! One of a hundred dispatchers receives a report from an endpoint every half minute, and all together several each
//! second. So each sends the others what they do not expect: a load far from the last one reported of that endpoint, and
//! failures. A budget bounds what that costs. A message that is malformed, stale, or no newer than the last one of its
//! sender changes nothing and is counted.

use super::budget::ByteBudget;
use super::message::{self, gossip_key, Message, MessageTime, Record, MAX_RECORDS};
use super::{DropReason, Observation};
use crate::routing::api::{EndpointId, LoadReport, Time};
use std::collections::BTreeMap;

/// A message older than this is stale, in ticks of 10 ms.
const MAX_AGE_TICKS: i16 = 200;
/// A message from further in the future than this is stale, in ticks of 10 ms.
const MAX_CLOCK_SKEW_TICKS: i16 = 20;
/// How long the last reported load of an endpoint is expected, in microseconds; then, the typical load is.
const EXPECTATION_LIFETIME: Time = 3_000_000;
/// A load is reported where it differs from the expected one by more than this many requests, ...
const MIN_DEVIATION_REQUESTS: f64 = 2.0;
/// ... and by more than this share of the expected one.
const MIN_DEVIATION_SHARE: f64 = 0.5;
/// The weight of one report in the moving average of loads.
const TYPICAL_LOAD_WEIGHT: f64 = 0.05;

/// The last load that was reported of an endpoint, by the endpoint or by another dispatcher.
struct ReportedLoad {
    in_flight: f64,
    reported_at: Time,
}

/// What a pending record reports. Ordered as records stand in the map.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKind {
    Load,
    Failure,
}

/// A pending record's place: at most one of each kind for an endpoint.
type RecordKey = (u32, RecordKind);

/// The gossip of one dispatcher: what the others expect of each endpoint, and what may still be sent to them.
pub struct Gossip {
    budget: ByteBudget,
    reported: BTreeMap<EndpointId, ReportedLoad>,
    /// A moving average over all endpoints, in requests in flight.
    typical_in_flight: f64,
    /// By sender.
    last_received: Vec<Option<MessageTime>>,
    pending: BTreeMap<RecordKey, Record>,
    dropped: u64,
}

impl Gossip {
    /// The gossip in a fleet of so many dispatchers, where a full message costs `price`, as a share of a request's value, for
    /// each receiver.
    pub fn new(dispatcher_count: usize, price: f64) -> Self {
        let receivers = dispatcher_count.saturating_sub(1).max(1) as f64;
        Gossip {
            budget: ByteBudget::new(receivers, price),
            reported: BTreeMap::new(),
            typical_in_flight: 0.0,
            last_received: vec![None; dispatcher_count],
            pending: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Records that a request has arrived, which earns budget.
    pub fn on_request(&mut self) {
        self.budget.on_request();
    }

    /// The number of received messages that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records a reported load, and returns the one that was expected.
    fn update_expectation(&mut self, now: Time, endpoint: EndpointId, in_flight: f64) -> f64 {
        let report = ReportedLoad {
            in_flight,
            reported_at: now,
        };
        let previous = self.reported.insert(endpoint, report);
        let typical = self.typical_in_flight;
        self.typical_in_flight += TYPICAL_LOAD_WEIGHT * (in_flight - typical);
        match previous {
            Some(load) if load.reported_at + EXPECTATION_LIFETIME > now => load.in_flight,
            _ => typical,
        }
    }

    /// Records an endpoint's own report; it becomes pending where the other dispatchers do not expect it.
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

    /// Records an attempt that failed by its endpoint's fault.
    pub fn record_failure(&mut self, hash: u64) {
        let key = gossip_key(hash);
        self.add_pending((key, RecordKind::Failure), Record::of_failure(key));
    }

    /// Where the message is full, a failure replaces a load, and a load is dropped.
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

    /// The message to send now, if there is one. What exceeds the budget is not sent later either: it would be stale.
    pub fn next_message(&mut self, now: Time) -> Option<Vec<u8>> {
        // Failures come first: they are rarer, and nobody else may have seen them.
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

    /// Reads a message from another dispatcher.
    ///
    /// # Errors
    ///
    /// [`DropReason`] where the message is dropped, which is counted.
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
        // The time wraps after some minutes and an old one looks new again: only one shortly before is a repetition.
        if let Some(last) = *last_received {
            let advance = message.sent_at.ticks_since(last);
            if (-2 * MAX_AGE_TICKS..=0).contains(&advance) {
                return Err(DropReason::Repeated);
            }
        }
        *last_received = Some(message.sent_at);
        Ok(message.observations())
    }

    /// Records an observation that was accepted: the other dispatchers now expect this load of the endpoint.
    pub fn accept(&mut self, now: Time, endpoint: EndpointId, observation: &Observation) {
        if let Some(in_flight) = observation.load.as_ref().and_then(|load| load.in_flight) {
            self.update_expectation(now, endpoint, in_flight);
        }
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.reported.retain(|endpoint, _| is_listed(*endpoint));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/gossip/state.rs"]
mod tests;
