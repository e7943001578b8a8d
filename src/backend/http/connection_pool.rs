//! The pool of idle HTTP connections.
//!
//! The pool owns the HTTP clients. When a request fails on a pooled connection that had broken while idle, all idle
//! connections are dropped and pooling pauses.

use super::request_body::SingleFrameBody;
use crate::backend::attempt::ConnectionPolicy;
use crate::backend::connector::Connector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use slog::{info, Logger};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// The first pause of pooling after a request failed on a stale connection.
const INITIAL_POOLING_PAUSE: Duration = Duration::from_secs(5);
/// The maximum pause. If a request fails on a stale connection again after a pause, within the length of that pause,
/// the next pause is twice as long.
const MAX_POOLING_PAUSE: Duration = Duration::from_secs(60);

/// hyper-util's client, which opens connections with the [`Connector`].
pub(super) type HttpClient = Client<Connector, SingleFrameBody>;

struct PooledClient {
    client: HttpClient,
    paused_until: Instant,
    /// Zero if pooling was never paused.
    last_pause: Duration,
}

/// An HTTP client that pools its connections and one that does not. Cheap to clone; clones share the pool.
#[derive(Clone)]
pub(super) struct ConnectionPool {
    pooled: Arc<Mutex<PooledClient>>,
    unpooled: HttpClient,
    connector: Connector,
    idle_timeout: Duration,
    max_idle_per_endpoint: usize,
    log: Logger,
}

impl ConnectionPool {
    /// Creates an empty pool. Connections that were idle for `idle_timeout` are not reused. At most
    /// `max_idle_per_endpoint` are pooled for each endpoint, so that permits are left for the other endpoints.
    pub(super) fn new(
        connector: Connector,
        idle_timeout: Duration,
        max_idle_per_endpoint: usize,
        log: Logger,
    ) -> Self {
        let pooled = PooledClient {
            client: build_client(&connector, idle_timeout, max_idle_per_endpoint),
            paused_until: Instant::now(),
            last_pause: Duration::ZERO,
        };
        let unpooled = build_client(&connector, idle_timeout, 0);
        ConnectionPool {
            pooled: Arc::new(Mutex::new(pooled)),
            unpooled,
            connector,
            idle_timeout,
            max_idle_per_endpoint,
            log,
        }
    }

    fn pooled(&self) -> MutexGuard<'_, PooledClient> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the client for a request: the pooling one, unless `policy` forbids it or pooling is paused.
    pub(super) fn client(&self, policy: ConnectionPolicy) -> HttpClient {
        let pooled = self.pooled();
        if policy == ConnectionPolicy::RequireNew || Instant::now() < pooled.paused_until {
            self.unpooled.clone()
        } else {
            pooled.client.clone()
        }
    }

    /// Drops all pooled connections and pauses pooling after a request failed on a stale connection. Others are likely
    /// to be stale too: the endpoints, or a middlebox, close idle connections early. Repeated failures lengthen the
    /// pause.
    pub(super) fn on_stale_connection(&self) {
        let now = Instant::now();
        let mut pooled = self.pooled();
        if now < pooled.paused_until {
            return; // this request was in flight when the pause began
        }
        let is_recurrence = now < pooled.paused_until + pooled.last_pause;
        pooled.last_pause = if is_recurrence {
            (pooled.last_pause * 2).min(MAX_POOLING_PAUSE)
        } else {
            INITIAL_POOLING_PAUSE
        };
        pooled.paused_until = now + pooled.last_pause;
        pooled.client = build_client(
            &self.connector,
            self.idle_timeout,
            self.max_idle_per_endpoint,
        );
        info!(self.log, "connection pooling paused"; "pause_ms" => pooled.last_pause.as_millis() as u64);
    }
}

fn build_client(
    connector: &Connector,
    idle_timeout: Duration,
    max_idle_per_endpoint: usize,
) -> HttpClient {
    Client::builder(TokioExecutor::new())
        // A resend would be another attempt, which only the dispatcher may start.
        .retry_canceled_requests(false)
        .set_host(true)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .pool_max_idle_per_host(max_idle_per_endpoint)
        // A response head must fit into the buffer. This bounds the memory and the time that an endless head takes.
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(connector.clone())
}
