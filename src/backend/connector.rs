//! Opens connections to endpoints, within the connect timeout and the connection limit.
//!
//! A request declares the time it has left, so it must not be sent on a connection that took long to establish. Such a
//! late connection is retained for the rebuilt request, which can use it within the connect timeout. The connector owns
//! late connections; all others belong to their users.

use super::blocked_endpoints::BlockedEndpoints;
use super::transport::Transport;
use crate::net::adjustable_semaphore::AdjustableSemaphore;
use crate::net::system_errors::is_local_shortage;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A connection that took longer, including the wait for its permit, is late: the time left that its request declares
/// is no longer true.
const LATE_CONNECT_THRESHOLD: Duration = Duration::from_millis(50);
/// The delay between two tries while this machine is short of a resource.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The number of late connections retained for each address.
const MAX_LATE_CONNECTIONS_PER_ADDRESS: usize = 8;

/// Why a request got no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The endpoint's address is not a socket address.
    #[error("invalid endpoint address")]
    InvalidAddress(#[source] AddrParseError),
    /// No permit or local resource became available within the connect timeout. This says nothing about the endpoint.
    #[error("no connection permit within the connect timeout")]
    NoPermit,
    /// The connection was not established within the connect timeout.
    #[error("connect timeout")]
    Timeout,
    /// The connection was established late and is retained. A request built now gets it at once.
    #[error("connection established too late for its request")]
    Late,
    /// The operating system reported an error.
    #[error("connect failed")]
    Io(#[source] io::Error),
}

struct LateConnection {
    transport: Transport,
    connected_at: Instant,
}

/// The late connections by address, until they are taken or older than `max_age`.
struct LateConnections {
    by_address: HashMap<SocketAddr, Vec<LateConnection>>,
    max_age: Duration,
}

impl LateConnections {
    fn put(&mut self, target: SocketAddr, transport: Transport) {
        let max_age = self.max_age;
        self.by_address.retain(|_, connections| {
            connections.retain(|connection| connection.connected_at.elapsed() < max_age);
            !connections.is_empty()
        });
        let connections = self.by_address.entry(target).or_default();
        if connections.len() < MAX_LATE_CONNECTIONS_PER_ADDRESS {
            connections.push(LateConnection {
                transport,
                connected_at: Instant::now(),
            });
        }
    }

    fn take(&mut self, target: SocketAddr) -> Option<Transport> {
        let connections = self.by_address.get_mut(&target)?;
        let newest = connections.pop();
        if connections.is_empty() {
            self.by_address.remove(&target);
        }
        newest
            .filter(|connection| connection.connected_at.elapsed() < self.max_age)
            .map(|connection| connection.transport)
    }
}

/// Opens connections to endpoints. Cheap to clone; clones share the permits, blocked addresses and late connections.
#[derive(Clone)]
pub struct Connector {
    connect_timeout: Duration,
    permits: AdjustableSemaphore,
    blocked_endpoints: BlockedEndpoints,
    late: Arc<Mutex<LateConnections>>,
}

impl Connector {
    /// Creates a connector. Each connection holds one of the `permits` and must be established within
    /// `connect_timeout`.
    pub fn new(connect_timeout: Duration, permits: AdjustableSemaphore) -> Self {
        Connector {
            connect_timeout,
            permits,
            blocked_endpoints: BlockedEndpoints::new(),
            late: Arc::new(Mutex::new(LateConnections {
                by_address: HashMap::new(),
                max_age: connect_timeout,
            })),
        }
    }

    /// Returns the addresses that get no new requests.
    pub fn blocked_endpoints(&self) -> &BlockedEndpoints {
        &self.blocked_endpoints
    }

    /// Returns the limit on open connections.
    pub fn limit(&self) -> &AdjustableSemaphore {
        &self.permits
    }

    /// Returns the time limit for establishing a connection.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    fn late(&self) -> MutexGuard<'_, LateConnections> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection for a request that declares the time it has left. After [`ConnectError::Late`] the request
    /// must be rebuilt with the time that is left by then; a second call returns the late connection.
    pub async fn connect_in_time(&self, address: &str) -> Result<Transport, ConnectError> {
        let target: SocketAddr = address.parse().map_err(ConnectError::InvalidAddress)?;
        let late_connection = self.late().take(target);
        if let Some(transport) = late_connection {
            return Ok(transport);
        }
        let started_at = Instant::now();
        let transport = self.connect(address).await?;
        if started_at.elapsed() <= LATE_CONNECT_THRESHOLD {
            return Ok(transport);
        }
        self.late().put(target, transport);
        Err(ConnectError::Late)
    }

    /// Opens a connection. Waiting for a permit and connecting may each take up to the connect timeout.
    pub async fn connect(&self, address: &str) -> Result<Transport, ConnectError> {
        let target: SocketAddr = address.parse().map_err(ConnectError::InvalidAddress)?;
        let Ok(Some(permit)) = timeout(self.connect_timeout, self.permits.acquire(1)).await else {
            return Err(ConnectError::NoPermit);
        };
        let stream = connect_within(self.connect_timeout, || TcpStream::connect(target)).await?;
        // Without TCP_NODELAY small writes are only delayed, which is no reason to fail the connection.
        let _ = stream.set_nodelay(true);
        let transport = Transport::new(stream, permit);
        self.blocked_endpoints
            .register(target, transport.connection());
        Ok(transport)
    }
}

/// Connects within the time `limit`. Tries again while this machine itself is short of a resource; if the shortage
/// lasts, the error is [`ConnectError::NoPermit`].
async fn connect_within<T, C>(
    limit: Duration,
    mut connect: impl FnMut() -> C,
) -> Result<T, ConnectError>
where
    C: Future<Output = io::Result<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        match timeout_at(deadline, connect()).await {
            Err(_) => return Err(ConnectError::Timeout),
            Ok(Err(error)) if is_local_shortage(&error) => {
                if Instant::now() + SHORTAGE_RETRY_DELAY >= deadline {
                    return Err(ConnectError::NoPermit);
                }
                sleep(SHORTAGE_RETRY_DELAY).await;
            }
            Ok(connected) => return connected.map_err(ConnectError::Io),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/backend/connector.rs"]
mod tests;
