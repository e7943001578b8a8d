//! The model of a replica: the time that prefill and decode take, and the load that it reports.

use super::{MS, SECOND};
use quartzhall::routing::api::{
    EndpointRecord, LoadReport, RequestMetadata, Role, RoutingSettings, Time,
};
use std::collections::HashMap;

/// Default rate of a prefill replica, in tokens per second: fast enough for prefill queues to stay short.
pub const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Fixed time of each prefill attempt, beside that of its tokens.
const PREFILL_OVERHEAD: Time = MS;
/// Time from the start of a decode attempt to its first token, at full capacity and without KV cache transfer.
const FIRST_TOKEN_TIME: Time = 15 * MS;
/// Time to transfer 1,000 tokens of KV cache to a decode replica in another cell.
const KV_TRANSFER_PER_1000_TOKENS: Time = 12 * MS;
/// Time per output token at an idle decode replica, in microseconds.
const IDLE_TOKEN_TIME_US: f64 = 25_000.0;
/// Number of concurrent streams at which the time per output token is twice that of an idle replica.
const STREAMS_DOUBLING_TOKEN_TIME: f64 = 120.0;
/// Mean number of streams that dispatchers outside the simulation have at a decode replica.
pub(super) const MEAN_BACKGROUND_STREAMS: f64 = 45.0;
/// Mean wait at a prefill replica behind prefills of dispatchers outside the simulation.
pub(super) const MEAN_BACKGROUND_WAIT: Time = 25 * MS;
/// KV memory that a replica reports for each stream, in tokens.
const REPORTED_TOKENS_PER_STREAM: f64 = 1_500.0;
/// Share of KV memory that prefill replicas report as used.
const PREFILL_KV_MEMORY_SHARE: f64 = 0.4;
/// Mean number of prefills that dispatchers outside the simulation have in flight at a prefill replica.
const MEAN_BACKGROUND_PREFILLS: f64 = 2.0;
/// Length of each output, as a share of the request's maximum.
pub(super) const OUTPUT_SHARE: f64 = 0.33;

/// A modelled replica: its queue of prefills, its prefix cache and its reserved KV memory.
pub(super) struct SimulatedReplica {
    /// Its record in the endpoint list.
    pub(super) record: EndpointRecord,
    busy_until: Time,                 // end of the last queued prefill
    cached_tokens: HashMap<u64, f64>, // by session, and by shared prefix
    in_flight: f64,
    reserved_tokens: f64, // KV memory of its decode attempts
}

/// The duration of a prefill attempt, computed at its start.
pub(super) struct PrefillTiming {
    /// Time from now to its end, including its wait in the queue.
    pub(super) ends_in: Time,
    /// Prompt tokens found in the prefix cache.
    pub(super) cached_tokens: f64,
}

/// A decode replica has no KV memory left for a request.
pub(super) struct KvMemoryFull;

impl SimulatedReplica {
    pub(super) fn new(record: EndpointRecord, now: Time) -> SimulatedReplica {
        SimulatedReplica {
            record,
            busy_until: now,
            cached_tokens: HashMap::new(),
            in_flight: 0.0,
            reserved_tokens: 0.0,
        }
    }

    /// Returns the share of its full capacity that the replica has in its slow start; 1 after the slow start.
    pub(super) fn capacity_share(&self, now: Time, settings: &RoutingSettings) -> f64 {
        let age = match self.record.started_at {
            Some(started_at) => now - started_at,
            None => Time::MAX,
        };
        let progress = (age as f64 / settings.slow_start_duration as f64).min(1.0);
        1.0 - (1.0 - settings.slow_start_initial_share) * (1.0 - progress)
    }

    /// Returns the number of cached tokens of a session or a prefix.
    fn cached_tokens_for(&self, key: Option<u64>) -> f64 {
        key.and_then(|key| self.cached_tokens.get(&key))
            .copied()
            .unwrap_or(0.0)
    }

    /// Queues a prefill attempt behind those already queued, or for `background_wait` if that is longer. Its prompt is in the
    /// prefix cache at once.
    pub(super) fn start_prefill(
        &mut self,
        now: Time,
        request: &RequestMetadata,
        tokens_per_second: f64,
        capacity: f64,
        background_wait: Time,
    ) -> PrefillTiming {
        let cached_tokens = self
            .cached_tokens_for(request.session)
            .max(
                self.cached_tokens_for(request.prefix)
                    .min(request.prefix_tokens),
            )
            .min(request.prompt_tokens);
        let uncached_tokens = request.prompt_tokens - cached_tokens;
        let duration = (uncached_tokens / tokens_per_second / capacity * 1e6) as Time;
        self.busy_until = self.busy_until.max(now + background_wait) + duration;
        self.in_flight += 1.0;
        if let Some(prefix) = request.prefix {
            self.cached_tokens.insert(prefix, request.prefix_tokens);
        }
        if let Some(session) = request.session {
            self.cached_tokens.insert(session, request.prompt_tokens);
        }
        PrefillTiming {
            ends_in: self.busy_until - now + PREFILL_OVERHEAD,
            cached_tokens,
        }
    }

    /// Starts a decode attempt and returns the time to its first token. `source_cell` is the cell of the replica that holds its
    /// KV cache; `None` if there is no previous attempt.
    pub(super) fn start_decode(
        &mut self,
        request: &RequestMetadata,
        reserved_tokens: f64,
        capacity: f64,
        source_cell: Option<u32>,
    ) -> Result<Time, KvMemoryFull> {
        if self.reserved_tokens + reserved_tokens > self.record.kv_capacity_tokens {
            return Err(KvMemoryFull);
        }
        self.reserved_tokens += reserved_tokens;
        self.in_flight += 1.0;
        let is_other_cell = source_cell.is_some_and(|cell| cell != self.record.cell);
        let transfer = if is_other_cell {
            (KV_TRANSFER_PER_1000_TOKENS as f64 * request.prompt_tokens / 1000.0) as Time
        } else {
            0
        };
        Ok((FIRST_TOKEN_TIME as f64 / capacity) as Time + transfer)
    }

    /// Returns the duration of a stream of `tokens`, given the attempts now in flight and `background_streams`.
    pub(super) fn stream_time(&self, tokens: f64, background_streams: f64) -> Time {
        let streams = self.in_flight + background_streams;
        let token_time = IDLE_TOKEN_TIME_US * (1.0 + streams / STREAMS_DOUBLING_TOKEN_TIME);
        (token_time * tokens) as Time
    }

    /// Removes an attempt from the replica's load.
    pub(super) fn end_attempt(&mut self, reserved_tokens: f64) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.reserved_tokens = (self.reserved_tokens - reserved_tokens).max(0.0);
    }

    /// Returns the load that the replica reports. `background` scales the load of dispatchers outside the simulation: 0 for none,
    /// 1 for the mean.
    pub(super) fn load_report(
        &self,
        now: Time,
        prefill_tokens_per_s: f64,
        background: f64,
    ) -> LoadReport {
        let is_decode = self.record.role == Role::Decode;
        let background_in_flight = if is_decode {
            background * MEAN_BACKGROUND_STREAMS
        } else {
            background * MEAN_BACKGROUND_PREFILLS
        };
        let in_flight = self.in_flight + background_in_flight;
        let wait_seconds = self.busy_until.saturating_sub(now) as f64 / SECOND as f64;
        let queued_kilotokens = wait_seconds * prefill_tokens_per_s / 1000.0;
        let kv_memory_share = if is_decode {
            in_flight * REPORTED_TOKENS_PER_STREAM / self.record.kv_capacity_tokens
        } else {
            PREFILL_KV_MEMORY_SHARE
        };
        let pending_prefill_kilotokens = if is_decode {
            0.0
        } else {
            queued_kilotokens + background
        };
        LoadReport {
            in_flight: Some(in_flight),
            queued: None,
            kv_memory_share: Some(kv_memory_share.min(1.0)),
            pending_prefill_kilotokens: Some(pending_prefill_kilotokens),
        }
    }
}
