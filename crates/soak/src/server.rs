//! Stand-in readers and writers that misbehave as they are told. Each process reaches each server at an address of its own,
//! so that faults can be for one pair.

use crate::oracle::{Oracle, Outcome};
use crate::wire::{self, Message};
use quartzhall::routing::api::Role;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Between two looks whether a server or a connection goes on.
const LOOK: Duration = Duration::from_millis(4);
/// Events of a stream, and the time between them.
const EVENTS: u32 = 4;
const EVENT_EACH: Duration = Duration::from_millis(40);

/// How long ago a process was told that a server drains.
pub type DrainTold = Arc<dyn Fn(usize, usize) -> Option<Duration> + Send + Sync>;

/// How a server behaves now.
#[derive(Default)]
pub struct Conduct {
    /// It takes connections and bytes, and runs nothing.
    pub stopped: AtomicBool,
    /// It is dead.
    pub dead: AtomicBool,
    /// Its answers are lost.
    pub loses_answers: AtomicBool,
    /// It answers with errors.
    pub fails: AtomicBool,
    /// It is full.
    pub full: AtomicBool,
    /// Its streams break off.
    pub breaks_streams: AtomicBool,
}

/// What may happen to one connection.
#[derive(Default)]
struct Line {
    silent: AtomicBool,
    reset: AtomicBool,
}

/// A server.
pub struct Server {
    number: usize,
    role: Role,
    oracle: Arc<Oracle>,
    drain_told: DrainTold,
    /// How it behaves.
    pub conduct: Conduct,
    lines: Mutex<Vec<(usize, Weak<Line>)>>,
    draws: AtomicU64,
}

/// Why a connection's task ends.
enum Ends {
    /// Its other side has closed it.
    Closed,
    /// It is to be reset.
    Reset,
}

fn is(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

/// Waits until the other side closes the connection; what it sends meanwhile is kept.
async fn closed(stream: &mut TcpStream, buffer: &mut Vec<u8>) {
    let mut some = [0; 1024];
    while let Ok(read @ 1..) = stream.read(&mut some).await {
        buffer.extend_from_slice(&some[..read]);
    }
}

impl Server {
    /// A server that behaves.
    pub fn new(
        number: usize,
        role: Role,
        seed: u64,
        oracle: Arc<Oracle>,
        drain_told: DrainTold,
    ) -> Arc<Server> {
        Arc::new(Server {
            number,
            role,
            oracle,
            drain_told,
            conduct: Conduct::default(),
            lines: Mutex::default(),
            draws: AtomicU64::new(seed),
        })
    }

    fn lines(&self) -> MutexGuard<'_, Vec<(usize, Weak<Line>)>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn each_line(&self, process: usize, act: impl Fn(&Line)) {
        let mut lines = self.lines();
        lines.retain(|(_, line)| line.strong_count() > 0);
        lines
            .iter()
            .filter(|(of, _)| *of == process)
            .filter_map(|(_, line)| line.upgrade())
            .for_each(|it| act(&it));
    }

    /// The connections of a process fall silent.
    pub fn silence(&self, process: usize) {
        self.each_line(process, |line| line.silent.store(true, Ordering::Relaxed));
    }

    /// The connections of a process are reset.
    pub fn reset(&self, process: usize) {
        self.each_line(process, |line| line.reset.store(true, Ordering::Relaxed));
    }

    /// Serves a process at this address, for as long as the task runs; refuses connections while it is dead.
    pub async fn serve(self: Arc<Self>, process: usize, address: SocketAddr, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if is(&self.conduct.dead) {
                listener = None;
                sleep(LOOK).await;
                continue;
            }
            let Some(open) = &listener else {
                listener = wire::listen(address).ok();
                continue;
            };
            let dies = async {
                while !is(&self.conduct.dead) {
                    sleep(LOOK).await;
                }
            };
            tokio::select! {
                accepted = open.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let line = Arc::new(Line::default());
                    self.lines().push((process, Arc::downgrade(&line)));
                    tokio::spawn(self.clone().converse(process, stream, line));
                }
                () = dies => {}
            }
        }
    }

    /// Waits while nothing runs here or the connection is silent; tells whether it had to.
    async fn passes(&self, line: &Line) -> bool {
        let mut waited = false;
        while is(&self.conduct.stopped) || is(&line.silent) {
            waited = true;
            sleep(LOOK).await;
        }
        waited
    }

    async fn is_cut(&self, line: &Line) {
        while !is(&self.conduct.dead) && !is(&line.reset) {
            sleep(LOOK).await;
        }
    }

    async fn converse(self: Arc<Self>, process: usize, mut stream: TcpStream, line: Arc<Line>) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let message = tokio::select! {
                message = wire::read(&mut stream, &mut buffer) => message,
                () = self.is_cut(&line) => return wire::reset(stream),
            };
            let Some(message) = message else { return };
            let waited = tokio::select! {
                waited = self.passes(&line) => waited,
                () = self.is_cut(&line) => return wire::reset(stream),
            };
            match self
                .answer(process, &mut stream, &mut buffer, &line, &message, !waited)
                .await
            {
                Ok(()) => {}
                Err(Ends::Closed) => return,
                Err(Ends::Reset) => return wire::reset(stream),
            }
        }
    }

    fn draw(&self) -> Pcg32 {
        Pcg32::seed_from_u64(self.draws.fetch_add(0x9e37_79b9, Ordering::Relaxed))
    }

    async fn answer(
        &self,
        process: usize,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        line: &Line,
        message: &Message,
        prompt: bool,
    ) -> Result<(), Ends> {
        if message.word(0) == "DELETE" {
            let id = message.word(1).trim_start_matches("/kv/leases/").to_owned();
            self.oracle.released(&id, self.number);
            return self
                .say(stream, buffer, line, "HTTP/1.1 204 No Content\r\n\r\n")
                .await;
        }
        let id = message.header("x-trace-id").unwrap_or_default().to_owned();
        let told = message
            .header("x-expires-in-ms")
            .and_then(|it| it.parse().ok());
        let writes = self.role == Role::Decode;
        let draining = (self.drain_told)(process, self.number);
        self.oracle
            .arrived(&id, self.number, writes, prompt, told, draining);
        let (outcome, ends) = self.work(stream, buffer, line, &id).await;
        self.oracle.attempt_over(&id, self.number, writes, outcome);
        ends
    }

    async fn work(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        line: &Line,
        id: &str,
    ) -> (Outcome, Result<(), Ends>) {
        let never = "X-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
        let writes = self.role == Role::Decode;
        if is(&self.conduct.full) {
            self.oracle.turned_away(id, self.number, writes);
            let text = format!("HTTP/1.1 503 Service Unavailable\r\n{never}");
            return (
                Outcome::NeverRan,
                self.say(stream, buffer, line, &text).await,
            );
        }
        if writes && !self.oracle.is_held(id) {
            self.oracle.turned_away(id, self.number, writes);
            let text = format!("HTTP/1.1 410 Gone\r\n{never}");
            return (
                Outcome::NeverRan,
                self.say(stream, buffer, line, &text).await,
            );
        }
        if is(&self.conduct.fails) {
            let text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            return (Outcome::Other, self.say(stream, buffer, line, text).await);
        }
        let mut rng = self.draw();
        let most = if self.role == Role::Prefill { 150 } else { 500 };
        let works = Duration::from_millis(rng.gen_range(5..most));
        if let Err(ends) = self.unless_cut(stream, buffer, line, sleep(works)).await {
            return (Outcome::Other, Err(ends));
        }
        if self.role == Role::Prefill {
            self.oracle.state_made(id, self.number);
            if is(&self.conduct.loses_answers) {
                // The read has ended well, and nobody hears of it.
                return (Outcome::Read, Err(Ends::Reset));
            }
            let answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
            return (Outcome::Read, self.say(stream, buffer, line, answer).await);
        }
        if !self.oracle.take_state(id, self.number) {
            return (Outcome::Other, Err(Ends::Reset));
        }
        match self.stream(stream, buffer, line, id).await {
            Ok(()) => (Outcome::Streamed, Ok(())),
            Err(ends) => {
                self.oracle.stream_broken(id);
                (Outcome::Other, Err(ends))
            }
        }
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        line: &Line,
        id: &str,
    ) -> Result<(), Ends> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.say(stream, buffer, line, head).await?;
        for number in 0..EVENTS {
            let event = format!("data: {{\"id\":\"{id}\",\"n\":{number}}}\n\n");
            self.say(
                stream,
                buffer,
                line,
                &format!("{:x}\r\n{event}\r\n", event.len()),
            )
            .await?;
            self.unless_cut(stream, buffer, line, sleep(EVENT_EACH))
                .await?;
            if is(&self.conduct.breaks_streams) {
                return Err(Ends::Reset);
            }
        }
        self.say(stream, buffer, line, "0\r\n\r\n").await
    }

    /// Does something unless the connection is closed or cut before.
    async fn unless_cut<T>(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        line: &Line,
        work: impl Future<Output = T>,
    ) -> Result<T, Ends> {
        let goes_on = async {
            let done = work.await;
            self.passes(line).await;
            done
        };
        tokio::select! {
            done = goes_on => Ok(done),
            () = closed(stream, buffer) => Err(Ends::Closed),
            () = self.is_cut(line) => Err(Ends::Reset),
        }
    }

    async fn say(
        &self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        line: &Line,
        text: &str,
    ) -> Result<(), Ends> {
        self.unless_cut(stream, buffer, line, async {}).await?;
        stream
            .write_all(text.as_bytes())
            .await
            .map_err(|_| Ends::Closed)
    }
}
