//! Hollow discovery: the list of replicas and watches on it, for all dispatchers, from one process.
//!
//! Each dispatcher calls an address of its own, so that it is known to whom a change was written, and when.

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

/// The version of the list at the start.
pub const FIRST_REVISION: u64 = 1;
/// Versions of which the changes are kept; who has an older one is sent the whole list.
const KEPT_CHANGES: usize = 4096;
/// The longest wait of a watch.
const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// One replica, as discovery lists it.
#[derive(Clone, Debug)]
pub struct DiscoveredEndpoint {
    /// Its number in the fleet.
    pub entry: EndpointRecord,
    /// Where it listens.
    pub address: String,
    /// Its last start, in Unix milliseconds; 0: long ago.
    pub up_since_ms: u64,
}

impl DiscoveredEndpoint {
    fn line(&self) -> String {
        let flavor = if self.entry.role == Role::Prefill {
            "prefill"
        } else {
            "decode"
        };
        let phase = match self.entry.status {
            EndpointStatus::Ready => "Ready",
            EndpointStatus::Draining => "Terminating",
            EndpointStatus::Removed => "Gone",
        };
        format!(
            r#"{{"id":"replica-{}","host_port":"{}","locality":"zone-{}","flavor":"{flavor}","cell":{},"phase":"{phase}","size":1.0,"up_since_ms":{}}}"#,
            self.entry.endpoint, self.address, self.entry.zone, self.entry.cell, self.up_since_ms
        )
    }
}

/// A list as it is written, and which members it tells of; all of them in a whole one.
struct List {
    text: String,
    whole: bool,
    told: Vec<(usize, EndpointStatus)>,
}

struct Table {
    revision: u64,
    members: Vec<DiscoveredEndpoint>,
    written: HashMap<Option<u64>, Arc<List>>, // of this revision, by the one that it starts from
    changes: Vec<(u64, usize)>,               // by revision: which member
    whole_at: u64,                            // everybody older is sent the whole list
}

impl Table {
    fn list(&self, from: Option<u64>) -> List {
        let whole = from.is_none_or(|from| from < self.whole_at || from > self.revision);
        let mut numbers: Vec<usize> = match from.filter(|_| !whole) {
            None => (0..self.members.len()).collect(),
            Some(from) => self
                .changes
                .iter()
                .filter(|(at, _)| *at > from)
                .map(|(_, number)| *number)
                .collect(),
        };
        numbers.sort_unstable();
        numbers.dedup();
        let mut text = format!(
            r#"{{"revision":{},"complete":{whole},"members":["#,
            self.revision
        );
        for (at, number) in numbers.iter().enumerate() {
            let _ = write!(
                text,
                "{}{}",
                if at == 0 { "" } else { "," },
                self.members[*number].line()
            );
        }
        text.push_str("]}");
        let told = numbers
            .iter()
            .map(|number| (*number, self.members[*number].entry.status))
            .collect();
        List { text, whole, told }
    }
}

/// What was written to one dispatcher.
#[derive(Default)]
pub struct Written {
    /// Bytes of answers.
    pub bytes: AtomicU64,
    /// Lists, whole ones among them.
    pub lists: AtomicU64,
    /// Whole lists.
    pub whole: AtomicU64,
    told: Mutex<HashMap<usize, Instant>>, // members that it was told are draining, and when
}

impl Written {
    fn told(&self) -> MutexGuard<'_, HashMap<usize, Instant>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When this dispatcher was told that a member drains; `None` where it was not, or was told that it is back.
    pub fn told_of(&self, member: usize) -> Option<Instant> {
        self.told().get(&member).copied()
    }
}

/// The list, shared by all agents.
#[derive(Clone)]
pub struct Discovery {
    table: Arc<Mutex<Table>>,
    newest: watch::Sender<u64>,
}

impl Discovery {
    /// A discovery that has this list.
    pub fn new(members: Vec<DiscoveredEndpoint>) -> Discovery {
        let written = HashMap::new();
        let table = Table {
            revision: FIRST_REVISION,
            members,
            written,
            changes: Vec::new(),
            whole_at: 0,
        };
        Discovery {
            table: Arc::new(Mutex::new(table)),
            newest: watch::channel(FIRST_REVISION).0,
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes members, each by its number, and tells all that watch.
    pub fn change(&self, numbers: &[usize], change: impl Fn(&mut DiscoveredEndpoint)) {
        let mut table = self.table();
        table.written.clear();
        for number in numbers {
            change(&mut table.members[*number]);
            table.revision += 1;
            let change = (table.revision, *number);
            table.changes.push(change);
        }
        let surplus = table.changes.len().saturating_sub(KEPT_CHANGES);
        if surplus > 0 {
            table.whole_at = table.changes[surplus - 1].0;
            table.changes.drain(..surplus);
        }
        self.newest.send_replace(table.revision);
    }

    /// Sends the whole list to all that watch.
    pub fn send_whole(&self) {
        let mut table = self.table();
        table.written.clear();
        table.revision += 1;
        table.whole_at = table.revision;
        table.changes.clear();
        self.newest.send_replace(table.revision);
    }

    /// Members for which something holds, by number.
    pub fn members(&self, holds: impl Fn(&DiscoveredEndpoint) -> bool) -> Vec<usize> {
        let table = self.table();
        let all = table.members.iter().enumerate();
        all.filter(|(_, member)| holds(member))
            .map(|(number, _)| number)
            .collect()
    }

    /// The list from a version on. Many dispatchers ask for the same one: it is written once.
    fn list(&self, from: Option<u64>) -> Arc<List> {
        let mut table = self.table();
        if let Some(list) = table.written.get(&from) {
            return list.clone();
        }
        let list = Arc::new(table.list(from));
        table.written.insert(from, list.clone());
        list
    }

    /// Answers the calls of one dispatcher, for as long as the task runs.
    pub async fn serve(self, listener: TcpListener, written: Arc<Written>) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().converse(stream, written.clone()));
        }
    }

    async fn converse(self, mut stream: TcpStream, written: Arc<Written>) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut some = [0; 1024];
        loop {
            match stream.read(&mut some).await {
                Ok(0) | Err(_) => return,
                Ok(read) => head.extend_from_slice(&some[..read]),
            }
            while let Some(end) = head.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                head.drain(..end + 4);
                if self.answer(&mut stream, &text, &written).await.is_err() {
                    return;
                }
            }
        }
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        head: &str,
        written: &Written,
    ) -> std::io::Result<()> {
        let target = head.split(' ').nth(1).unwrap_or_default();
        let number = |name: &str| {
            let value = target
                .split(['?', '&'])
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let from = number("from");
        if let Some(from) = from {
            let hold = Duration::from_millis(number("hold_ms").unwrap_or(0)).min(LONGEST_HOLD);
            let _ = timeout(
                hold,
                self.newest.subscribe().wait_for(|newest| *newest > from),
            )
            .await;
        }
        let list = self.list(from);
        let text = &list.text;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        // Who is back may be sent to as soon as the list is written, and is no longer told to drain before that.
        for (number, _) in list
            .told
            .iter()
            .filter(|(_, state)| *state == EndpointStatus::Ready)
        {
            written.told().remove(number);
        }
        stream.write_all(answer.as_bytes()).await?;
        written
            .bytes
            .fetch_add(answer.len() as u64, Ordering::Relaxed);
        written.lists.fetch_add(1, Ordering::Relaxed);
        written
            .whole
            .fetch_add(u64::from(list.whole), Ordering::Relaxed);
        let now = Instant::now();
        let mut known = written.told();
        for (number, _) in list
            .told
            .iter()
            .filter(|(_, state)| *state != EndpointStatus::Ready)
        {
            known.entry(*number).or_insert(now);
        }
        Ok(())
    }
}
