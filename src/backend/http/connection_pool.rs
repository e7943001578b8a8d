//! The pool of idle HTTP connections, and when it is not used.
//!
//! The pool owns the HTTP clients. Where an idle connection broke under a request, all idle ones are dropped and none
//! is pooled for a time.

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
/// No connection is pooled for so long after a pooled one has broken under a request ...
const INITIAL_POOLING_PAUSE: Duration = Duration::from_secs(5);
/// ... and for twice as long each time that this happens again soon, up to this.
const MAX_POOLING_PAUSE: Duration = Duration::from_secs(60);

/// hyper-util's client over this process's connections.
pub(super) type HttpClient = Client<Connector, SingleFrameBody>;

struct PooledClient {
    client: HttpClient,
    paused_until: Instant,
    last_pause: Duration,
}

/// The clients with and without pooled connections. Cheap to clone; clones share the pool.
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
    /// An empty pool. A connection that was idle for `idle_timeout` is not used again, and no more than
    /// `max_idle_per_endpoint` are pooled for each endpoint, so that the other endpoints have permits left.
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

    /// The client for a request.
    pub(super) fn client(&self, policy: ConnectionPolicy) -> HttpClient {
        let pooled = self.pooled();
        if policy == ConnectionPolicy::RequireNew || Instant::now() < pooled.paused_until {
            self.unpooled.clone()
        } else {
            pooled.client.clone()
        }
    }

    /// A pooled connection has broken under a request. Then others will: the endpoints, or something on the network
    /// path, close them early. All are dropped, and none is pooled for a time that grows while this goes on.
    pub(super) fn on_stale_connection(&self) {
        let now = Instant::now();
        let mut pooled = self.pooled();
        if now < pooled.paused_until {
            return; // this request was in flight when the first one failed
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
        // A resend is an attempt of its own, which only the dispatcher may order.
        .retry_canceled_requests(false)
        .set_host(true)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(idle_timeout)
        .pool_max_idle_per_host(max_idle_per_endpoint)
        // A response's head must fit. A head without an end is found out sooner, and takes no more memory.
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(connector.clone())
}
