//! Opens the listening sockets of a process: for HTTP clients, sessions, agent checks and operators.
//!
//! Only the socket for HTTP clients may be inherited, and is then shared with the predecessor. The addresses for
//! sessions and agent checks are in use until the predecessor closes them, so a successor binds them later. Each
//! process has an address of its own for operators.

use super::{ServeError, ServeOptions};
use crate::frontend::ShutdownPhase;
use crate::upgrade;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// The environment variable with the descriptor number of the inherited listening socket.
const INHERITED_SOCKET_VARIABLE: &str = "GW_SOCKET_FD";
/// Time between two attempts to bind an address that the predecessor still uses.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the descriptor of the inherited listening socket as the environment gives it; `None` if it is unset or
/// empty.
pub(super) fn inherited_descriptor() -> Option<String> {
    let descriptor = std::env::var(INHERITED_SOCKET_VARIABLE).ok()?;
    if descriptor.is_empty() {
        return None;
    }
    Some(descriptor)
}

/// Opens the listener for HTTP clients: the inherited socket if there is one, else a new one on this address.
pub(super) async fn bind_clients(
    inherited: Option<&str>,
    address: &str,
) -> Result<TcpListener, ServeError> {
    let Some(descriptor) = inherited else {
        return bind(address).await;
    };
    let listener = upgrade::inherited_listener(descriptor)
        .map_err(|error| ServeError::InheritedSocket(error.to_string()))?;
    TcpListener::from_std(listener).map_err(ServeError::InheritedListener)
}

async fn bind(address: &str) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ServeError::Bind {
            address: address.to_owned(),
            source,
        })
}

/// All listeners of the process.
pub(super) struct Listeners {
    pub clients: TcpListener,
    pub auxiliary: AuxiliaryListeners,
}

/// The listeners other than the one for HTTP clients; each is `None` if no address is configured for it.
pub(super) struct AuxiliaryListeners {
    pub sessions: Option<DeferredListener>,
    pub agent_check: Option<DeferredListener>,
    pub management: Option<TcpListener>,
}

impl AuxiliaryListeners {
    /// Binds the listeners; those that a predecessor may still have are left pending.
    pub(super) async fn bind(
        options: &ServeOptions,
        has_predecessor: bool,
    ) -> Result<AuxiliaryListeners, ServeError> {
        let files = &options.files;
        let sessions =
            DeferredListener::bind(files.sessions.listen.as_deref(), has_predecessor).await?;
        let agent_check =
            DeferredListener::bind(files.sessions.agent_check.as_deref(), has_predecessor).await?;
        let management = match options.management_address() {
            Some(address) => Some(bind(address).await?),
            None => None,
        };
        Ok(AuxiliaryListeners {
            sessions,
            agent_check,
            management,
        })
    }
}

/// A listener on an address that is not inherited, which a successor can bind only when its predecessor has closed it.
pub(super) enum DeferredListener {
    Bound(TcpListener),
    /// Not bound yet, as the predecessor may still use this address.
    Pending(String),
}

impl DeferredListener {
    async fn bind(
        address: Option<&str>,
        has_predecessor: bool,
    ) -> Result<Option<DeferredListener>, ServeError> {
        let Some(address) = address else {
            return Ok(None);
        };
        if has_predecessor {
            return Ok(Some(DeferredListener::Pending(address.to_owned())));
        }
        Ok(Some(DeferredListener::Bound(bind(address).await?)))
    }

    /// Returns the listener when its address can be bound; `None` if the process shuts down before that.
    pub(super) async fn wait_until_bound(
        self,
        mut shutdown_phase: watch::Receiver<ShutdownPhase>,
    ) -> Option<TcpListener> {
        let address = match self {
            DeferredListener::Bound(listener) => return Some(listener),
            DeferredListener::Pending(address) => address,
        };
        loop {
            if let Ok(listener) = bind(&address).await {
                return Some(listener);
            }
            let shutdown = shutdown_phase.wait_for(|phase| *phase > ShutdownPhase::Serving);
            if timeout(BIND_RETRY_INTERVAL, shutdown).await.is_ok() {
                return None;
            }
        }
    }
}
