//! The session file: settings of WebSocket sessions, from clients and to endpoints.

use super::ConfigError;
use miniserde::{json, Deserialize};

/// The largest valid value of `most_sessions`, `most_requests` and `most_message`.
const MAX_BOUND: usize = 1 << 24;

/// The session file as deserialized; `deploy/websocket.json` has all its settings with their defaults.
#[derive(Deserialize)]
struct SessionFile {
    listen: Option<String>,
    agent_check: Option<String>,
    nodes: Option<Vec<String>>,
    most_sessions: Option<usize>,
    most_requests: Option<usize>,
    most_message: Option<usize>,
    ping_ms: Option<u64>,
    silent_ms: Option<u64>,
    reattach_ms: Option<u64>,
    record_entries: Option<usize>,
    record_text: Option<usize>,
    record_bytes: Option<usize>,
}

/// The addresses and limits of WebSocket sessions, from clients and to endpoints.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The address for clients' sessions and for the health checks of load balancers; `None`: off.
    pub listen: Option<String>,
    /// The address for HAProxy agent checks; `None`: off.
    pub agent_check: Option<String>,
    /// Addresses of endpoints that speak WebSocket.
    pub websocket_endpoints: Vec<String>,
    /// The maximum number of open sessions.
    pub max_sessions: usize,
    /// The maximum number of open requests of one session.
    pub max_requests: usize,
    /// The maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// The time between two pings.
    pub ping_interval_ms: u64,
    /// The time without any message after which a session is closed. Checked when a ping is due.
    pub session_timeout_ms: u64,
    /// How long a request continues after its session's connection is lost, so that the client can reattach to it.
    pub reattach_window_ms: u64,
    /// The maximum number of requests in the idempotency cache. Requests in flight count too, but are not evicted.
    pub max_cached_responses: usize,
    /// The maximum size of a cached response, in bytes; longer responses aren't cached.
    pub max_cached_response_bytes: usize,
    /// The maximum total size of cached responses, in bytes.
    pub max_cache_bytes: usize,
}

/// Session limits that fit the machine, and the file descriptors reserved for handshakes.
#[derive(Clone, Debug)]
pub struct SessionBudget {
    /// The configuration, with limits reduced to what the machine allows.
    pub config: SessionConfig,
    /// File descriptors for connections whose WebSocket handshake isn't complete.
    pub handshake_sockets: usize,
}

impl SessionConfig {
    /// Parses and validates the session file.
    ///
    /// # Errors
    ///
    /// The text isn't the expected JSON object, or a limit is 0 or too large.
    pub fn parse(text: &str) -> Result<SessionConfig, ConfigError> {
        let file: SessionFile =
            json::from_str(text).map_err(|_| ConfigError::SessionFileNotJsonObject)?;
        let config = SessionConfig {
            listen: file.listen,
            agent_check: file.agent_check,
            websocket_endpoints: file.nodes.unwrap_or_default(),
            max_sessions: file.most_sessions.unwrap_or(128),
            max_requests: file.most_requests.unwrap_or(32),
            max_message_bytes: file.most_message.unwrap_or(300 * 1024),
            ping_interval_ms: file.ping_ms.unwrap_or(15_000),
            session_timeout_ms: file.silent_ms.unwrap_or(40_000),
            reattach_window_ms: file.reattach_ms.unwrap_or(400),
            max_cached_responses: file.record_entries.unwrap_or(4096),
            max_cached_response_bytes: file.record_text.unwrap_or(16 * 1024),
            max_cache_bytes: file.record_bytes.unwrap_or(8 * 1024 * 1024),
        };
        config.check_bounds()?;
        Ok(config)
    }

    fn check_bounds(&self) -> Result<(), ConfigError> {
        let bounds = [
            ("most_sessions", self.max_sessions),
            ("most_requests", self.max_requests),
            ("most_message", self.max_message_bytes),
        ];
        for (setting, bound) in bounds {
            if bound == 0 || bound > MAX_BOUND {
                return Err(ConfigError::InvalidSessionBound { setting });
            }
        }
        if self.ping_interval_ms == 0 {
            return Err(ConfigError::InvalidSessionBound { setting: "ping_ms" });
        }
        Ok(())
    }

    /// Reduces the limits to the machine's resources. Sessions get up to three eighths of the clients' file descriptors
    /// and a quarter of the memory for messages in transit; cached responses get up to an eighth of the memory.
    pub fn fit_to_machine(self, client_sockets: usize, memory_bytes: usize) -> SessionBudget {
        let max_sessions = self
            .max_sessions
            .min(client_sockets * 3 / 8)
            .min(memory_bytes / 4 / self.max_message_bytes)
            .max(1);
        let max_cache_bytes = self.max_cache_bytes.min(memory_bytes / 8);
        SessionBudget {
            config: SessionConfig {
                max_sessions,
                max_cache_bytes,
                ..self
            },
            handshake_sockets: (client_sockets / 8).max(1),
        }
    }
}
