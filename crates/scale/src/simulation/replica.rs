//! The model of a replica: how long prefill and decode take, and the load that it reports.

use super::{MS, SECOND};
use quartzhall::routing::api::{
    EndpointRecord, LoadReport, RequestMetadata, Role, RoutingSettings, Time,
};
use std::collections::HashMap;

/// Tokens per second that a warm prefill replica processes, if its load is not to matter.
pub const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Extra time of each prefill.
const PREFILL_OVERHEAD: Time = MS;
/// From the start of a decode attempt to its first token at an idle replica.
const FIRST_TOKEN_TIME: Time = 15 * MS;
/// Transfer of a KV cache of 1,000 tokens to a decode replica of another rack.
const KV_TRANSFER_PER_1000_TOKENS: Time = 12 * MS;
/// Time per token of an idle decode replica, in microseconds.
const TOKEN_TIME_US: f64 = 25_000.0;
/// Streams at once that double the time per token.
const STREAMS_DOUBLING_TOKEN_TIME: f64 = 120.0;
/// Mean number of streams at a decode replica for dispatchers that are not simulated.
pub(super) const BACKGROUND_STREAMS: f64 = 45.0;
/// Mean wait at a prefill replica for dispatchers that are not simulated.
pub(super) const BACKGROUND_WAIT: Time = 25 * MS;
/// Tokens of one stream in the reported KV memory.
const REPORTED_TOKENS_PER_STREAM: f64 = 1_500.0;
/// KV memory in use that prefill replicas report.
const PREFILL_MEMORY_SHARE: f64 = 0.4;
/// Requests in flight at a prefill replica for each unit of background load.
const BACKGROUND_PREFILLS: f64 = 2.0;
/// The output is this share of a request's maximum.
pub(super) const OUTPUT_SHARE: f64 = 0.33;

/// A modelled replica.
pub(super) struct SimulatedReplica {
    /// Its entry in the endpoint list.
    pub(super) record: EndpointRecord,
    busy_until: Time,                 // prefill replicas
    cached_tokens: HashMap<u64, f64>, // by session or shared prefix
    in_flight: f64,
    reserved_tokens: f64, // decode replicas
}

/// A finished prefill, as it was planned at its start.
pub(super) struct PrefillTiming {
    /// Time until it ends.
    pub(super) ends_in: Time,
    /// Tokens that were found in the prefix cache.
    pub(super) cached_tokens: f64,
}

/// A decode replica has no room for the KV cache.
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

    /// The share of its full speed that it has reached in its slow start.
    pub(super) fn capacity_share(&self, now: Time, settings: &RoutingSettings) -> f64 {
        let age = match self.record.started_at {
            Some(started_at) => now - started_at,
            None => Time::MAX,
        };
        let progress = (age as f64 / settings.slow_start_duration as f64).min(1.0);
        1.0 - (1.0 - settings.slow_start_initial_share) * (1.0 - progress)
    }

    fn find_cached(&self, key: Option<u64>) -> f64 {
        key.and_then(|key| self.cached_tokens.get(&key))
            .copied()
            .unwrap_or(0.0)
    }

    /// Queues a prefill behind those that are queued and `background_wait`.
    pub(super) fn start_prefill(
        &mut self,
        now: Time,
        request: &RequestMetadata,
        tokens_per_second: f64,
        capacity: f64,
        background_wait: Time,
    ) -> PrefillTiming {
        let cached_tokens = self
            .find_cached(request.session)
            .max(self.find_cached(request.prefix).min(request.prefix_tokens))
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

    /// Starts a decode attempt whose KV cache comes from the cell `source_cell`, and returns the time to its first token.
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

    /// The time that a stream of this many tokens takes with the streams that are open now and `background_streams`.
    pub(super) fn stream_time(&self, tokens: f64, background_streams: f64) -> Time {
        let streams = self.in_flight + background_streams;
        let token_time = TOKEN_TIME_US * (1.0 + streams / STREAMS_DOUBLING_TOKEN_TIME);
        (token_time * tokens) as Time
    }

    /// Releases what an attempt has used.
    pub(super) fn end_attempt(&mut self, reserved_tokens: f64) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.reserved_tokens = (self.reserved_tokens - reserved_tokens).max(0.0);
    }

    /// The load that it reports. `background` is the load of other dispatchers, 1 on average.
    pub(super) fn load_report(
        &self,
        now: Time,
        prefill_tokens_per_s: f64,
        background: f64,
    ) -> LoadReport {
        let is_decode = self.record.role == Role::Decode;
        let background_in_flight = if is_decode {
            background * BACKGROUND_STREAMS
        } else {
            background * BACKGROUND_PREFILLS
        };
        let in_flight = self.in_flight + background_in_flight;
        let wait_seconds = self.busy_until.saturating_sub(now) as f64 / SECOND as f64;
        let queued_kilotokens = wait_seconds * prefill_tokens_per_s / 1000.0;
        let kv_memory_share = if is_decode {
            in_flight * REPORTED_TOKENS_PER_STREAM / self.record.kv_capacity_tokens
        } else {
            PREFILL_MEMORY_SHARE
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
