//! Simulated discovery: serves the endpoint list and watches on it to all dispatchers from one process.
//!
//! [`Discovery`] owns the list. Each real dispatcher polls an agent at an address of its own, whose [`DeliveryLog`] records what
//! was written to that dispatcher, and when.

use quartzhall::routing::api::{EndpointRecord, EndpointStatus, Role};
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Revision of the list before its first change.
pub const FIRST_REVISION: u64 = 1;
/// Number of changes that are retained. A dispatcher with an older revision is sent the full list.
const MAX_RETAINED_CHANGES: usize = 4096;
/// Longest time for which the response to a watch is delayed.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// A replica's entry in the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Its endpoint number, role, location and status.
    pub record: EndpointRecord,
    /// The host and port at which it listens.
    pub address: String,
    /// Time of its last start, in Unix milliseconds; 0 if that is long ago.
    pub up_since_ms: u64,
}

impl EndpointEntry {
    /// Formats the entry as a member of a list in the discovery protocol.
    fn to_json(&self) -> String {
        let record = &self.record;
        let flavor = if record.role == Role::Prefill {
            "prefill"
        } else {
            "decode"
        };
        let phase = match record.status {
            EndpointStatus::Ready => "Ready",
            EndpointStatus::Draining => "Terminating",
            EndpointStatus::Removed => "Gone",
        };
        format!(
            r#"{{"id":"replica-{}","host_port":"{}","locality":"zone-{}","flavor":"{flavor}","cell":{},"phase":"{phase}","size":1.0,"up_since_ms":{}}}"#,
            record.endpoint, self.address, record.zone, record.cell, self.up_since_ms
        )
    }
}

/// The text of a full list, or of the entries that changed since a revision.
struct SerializedList {
    text: String,
    is_full: bool,
    statuses: Vec<(usize, EndpointStatus)>, // of the listed endpoints, with their numbers
}

/// A change of one entry of the list.
struct Change {
    revision: u64,
    endpoint: usize,
}

struct EndpointTable {
    revision: u64,
    endpoints: Vec<EndpointEntry>,
    serialized: HashMap<Option<u64>, Arc<SerializedList>>, // lists at `revision`, by the revision that they update
    changes: Vec<Change>,
    oldest_diff_base: u64, // the oldest revision whose later changes are all retained
}

impl EndpointTable {
    /// Serializes the changes since the revision `from`, or the full list where they are not retained.
    fn serialize(&self, from: Option<u64>) -> SerializedList {
        let diff_base = from.filter(|from| (self.oldest_diff_base..=self.revision).contains(from));
        let is_full = diff_base.is_none();
        let mut numbers: Vec<usize> = match diff_base {
            None => (0..self.endpoints.len()).collect(),
            Some(from) => self
                .changes
                .iter()
                .filter(|change| change.revision > from)
                .map(|change| change.endpoint)
                .collect(),
        };
        numbers.sort_unstable();
        numbers.dedup();
        let mut text = format!(
            r#"{{"revision":{},"complete":{is_full},"members":["#,
            self.revision
        );
        let mut statuses = Vec::with_capacity(numbers.len());
        for (index, number) in numbers.into_iter().enumerate() {
            let endpoint = &self.endpoints[number];
            let separator = if index == 0 { "" } else { "," };
            let _ = write!(text, "{separator}{}", endpoint.to_json());
            statuses.push((number, endpoint.record.status));
        }
        text.push_str("]}");
        SerializedList {
            text,
            is_full,
            statuses,
        }
    }
}

/// A record of the lists that were written to one dispatcher.
#[derive(Default)]
pub struct DeliveryLog {
    /// Bytes of all responses, heads included.
    pub bytes: AtomicU64,
    /// Number of lists, full ones included.
    pub lists: AtomicU64,
    /// Number of full lists.
    pub full_lists: AtomicU64,
    drain_notified_at: Mutex<HashMap<usize, Instant>>, // when a drain was notified, by endpoint number
}

impl DeliveryLog {
    fn drain_times(&self) -> MutexGuard<'_, HashMap<usize, Instant>> {
        self.drain_notified_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when this dispatcher was notified that an endpoint is draining. `None` if it has not been notified, or a list in
    /// which the endpoint is ready has since been sent to it.
    pub fn drain_notified_at(&self, endpoint: usize) -> Option<Instant> {
        self.drain_times().get(&endpoint).copied()
    }

    /// Clears the drains of endpoints that a list shows as ready. This happens before the write, because the dispatcher may send
    /// to these endpoints as soon as it has read the list.
    fn on_write_started(&self, list: &SerializedList) {
        for (endpoint, status) in &list.statuses {
            if *status == EndpointStatus::Ready {
                self.drain_times().remove(endpoint);
            }
        }
    }

    /// Counts a list and records the drains in it. This happens after the write, because the dispatcher cannot know of them
    /// before.
    fn on_written(&self, list: &SerializedList, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.lists.fetch_add(1, Ordering::Relaxed);
        self.full_lists
            .fetch_add(u64::from(list.is_full), Ordering::Relaxed);
        let now = Instant::now();
        let mut drain_times = self.drain_times();
        for (endpoint, status) in &list.statuses {
            if *status != EndpointStatus::Ready {
                drain_times.entry(*endpoint).or_insert(now);
            }
        }
    }
}

/// The endpoint list, shared by all discovery agents.
#[derive(Clone)]
pub struct Discovery {
    table: Arc<Mutex<EndpointTable>>,
    latest_revision: watch::Sender<u64>,
}

impl Discovery {
    /// Creates the list at [`FIRST_REVISION`].
    pub fn new(endpoints: Vec<EndpointEntry>) -> Discovery {
        let table = EndpointTable {
            revision: FIRST_REVISION,
            endpoints,
            serialized: HashMap::new(),
            changes: Vec::new(),
            oldest_diff_base: 0,
        };
        Discovery {
            table: Arc::new(Mutex::new(table)),
            latest_revision: watch::channel(FIRST_REVISION).0,
        }
    }

    fn table(&self) -> MutexGuard<'_, EndpointTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to the endpoints with these numbers, one revision each, and completes the open watches.
    pub fn update(&self, numbers: &[usize], change: impl Fn(&mut EndpointEntry)) {
        let mut table = self.table();
        table.serialized.clear();
        for number in numbers {
            change(&mut table.endpoints[*number]);
            table.revision += 1;
            let change = Change {
                revision: table.revision,
                endpoint: *number,
            };
            table.changes.push(change);
        }
        let surplus = table.changes.len().saturating_sub(MAX_RETAINED_CHANGES);
        if surplus > 0 {
            table.oldest_diff_base = table.changes[surplus - 1].revision;
            table.changes.drain(..surplus);
        }
        self.latest_revision.send_replace(table.revision);
    }

    /// Completes the open watches with the full list, as if no change were retained.
    pub fn send_full_list(&self) {
        let mut table = self.table();
        table.serialized.clear();
        table.revision += 1;
        table.oldest_diff_base = table.revision;
        table.changes.clear();
        self.latest_revision.send_replace(table.revision);
    }

    /// Returns the numbers of the endpoints that match.
    pub fn find(&self, matches: impl Fn(&EndpointEntry) -> bool) -> Vec<usize> {
        let table = self.table();
        let endpoints = table.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| matches(endpoint))
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns the changes since the revision `from`, or the full list. Many dispatchers ask for the same changes, so each list is
    /// serialized once.
    fn list(&self, from: Option<u64>) -> Arc<SerializedList> {
        let mut table = self.table();
        if let Some(list) = table.serialized.get(&from) {
            return list.clone();
        }
        let list = Arc::new(table.serialize(from));
        table.serialized.insert(from, list.clone());
        list
    }

    /// Runs the agent of one dispatcher until the task is aborted.
    pub async fn serve(self, listener: TcpListener, log: Arc<DeliveryLog>) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream, log.clone()));
        }
    }

    async fn serve_connection(self, mut stream: TcpStream, log: Arc<DeliveryLog>) {
        let _ = stream.set_nodelay(true);
        let mut received = Vec::new();
        let mut buffer = [0; 1024];
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
            }
            while let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&received[..end]).into_owned();
                received.drain(..end + 4);
                if self.respond(&mut stream, &head, &log).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Responds to a poll with the head `head`; a watch waits for a revision after the one that the dispatcher has.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        head: &str,
        log: &DeliveryLog,
    ) -> std::io::Result<()> {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let from = query_number(target, "from");
        if let Some(from) = from {
            let hold_ms = query_number(target, "hold_ms").unwrap_or(0);
            let hold = Duration::from_millis(hold_ms).min(MAX_HOLD);
            let mut revisions = self.latest_revision.subscribe();
            let _ = timeout(hold, revisions.wait_for(|revision| *revision > from)).await;
        }
        let list = self.list(from);
        let text = &list.text;
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        log.on_write_started(&list);
        stream.write_all(response.as_bytes()).await?;
        log.on_written(&list, response.len());
        Ok(())
    }
}

/// Returns the number of a parameter in the query of a request target.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let value = target
        .split(['?', '&'])
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
