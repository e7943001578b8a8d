//! Opens connections to endpoints, within the connect timeout and the number of descriptors allowed.
//!
//! A connection that came up too late for the request that opened it is retained for a moment, for the request that
//! replaces that one. The connector owns those; all others belong to their users.

use super::blocked_endpoints::ConnectionGate;
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

/// A connection that took longer than this to come up has used time that its request declares as left.
const LATE_CONNECT_THRESHOLD: Duration = Duration::from_millis(50);
/// Between two tries while this machine is short of a resource.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How many connections that came up late are retained for each address.
const MAX_LATE_CONNECTIONS_PER_ADDRESS: usize = 8;

/// Why no connection is there for a request.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The endpoint's address is not a socket address.
    #[error("invalid endpoint address")]
    InvalidAddress(#[source] AddrParseError),
    /// No permit or no local resource came free within the connect timeout. This says nothing about the endpoint.
    #[error("no connection permit within the connect timeout")]
    NoPermit,
    /// The connection did not come up within the connect timeout.
    #[error("connect timeout")]
    Timeout,
    /// The connection came up late and is retained: a request that declares the time left now gets it at once.
    #[error("the connection came up late")]
    Late,
    /// The operating system reported an error.
    #[error("connect failed")]
    Io(#[source] io::Error),
}

struct LateConnection {
    transport: Transport,
    connected_at: Instant,
}

/// Connections that came up late, by address, for the requests that replace those that opened them.
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

/// Opens connections. Cheap to clone; clones share the permits, the blocked addresses and the late connections.
#[derive(Clone)]
pub struct Connector {
    connect_timeout: Duration,
    permits: AdjustableSemaphore,
    gate: ConnectionGate,
    late: Arc<Mutex<LateConnections>>,
}

impl Connector {
    /// Opens as many connections as there are permits, each within `connect_timeout`.
    pub fn new(connect_timeout: Duration, permits: AdjustableSemaphore) -> Self {
        Connector {
            connect_timeout,
            permits,
            gate: ConnectionGate::new(),
            late: Arc::new(Mutex::new(LateConnections {
                by_address: HashMap::new(),
                max_age: connect_timeout,
            })),
        }
    }

    /// Which addresses new requests may go to.
    pub fn gate(&self) -> &ConnectionGate {
        &self.gate
    }

    /// The limit on connections.
    pub fn limit(&self) -> &AdjustableSemaphore {
        &self.permits
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    fn late(&self) -> MutexGuard<'_, LateConnections> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a connection for a request that declares the time it has left. [`ConnectError::Late`] means that the
    /// connection came up so late that the declared time is wrong; a second call gets that connection.
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

    /// Opens a connection. A permit and the connection itself may each take the connect timeout.
    pub async fn connect(&self, address: &str) -> Result<Transport, ConnectError> {
        let target: SocketAddr = address.parse().map_err(ConnectError::InvalidAddress)?;
        let Ok(Some(permit)) = timeout(self.connect_timeout, self.permits.acquire(1)).await else {
            return Err(ConnectError::NoPermit);
        };
        let stream = connect_within(self.connect_timeout, || TcpStream::connect(target)).await?;
        // Without it small writes wait a little, which is no reason to fail the connection.
        let _ = stream.set_nodelay(true);
        let transport = Transport::new(stream, permit);
        self.gate.register(target, transport.connection());
        Ok(transport)
    }
}

/// Connects within `limit`. While this machine itself is short of a resource it tries again, and where that lasts the
/// error is [`ConnectError::NoPermit`].
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
