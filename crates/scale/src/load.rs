//! An open-loop load: requests are sent at their times, whatever has become of those before, and their times count from
//! when they were due. So a dispatcher that stands still is seen to.

use crate::hollow::replica::{Ledger, TOKENS_PER_BYTE};
use crate::results::Answers;
use crate::scenario::Load;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant};

/// How long a client waits for the first token.
pub const PATIENCE: Duration = Duration::from_millis(4_000);
/// A request is lost that has no whole answer so long after its time was up; streams have as much for each event.
const LOST_AFTER: Duration = Duration::from_millis(5_000);
/// Conversations and shared texts of one dispatcher's clients.
const CONVERSATIONS: u64 = 2_000;
const TEXTS: u64 = 300;

/// What came of the requests to one dispatcher.
pub struct Outcomes {
    /// Counts of answers.
    pub answers: Answers,
    /// Microseconds from when a request was due to its first token.
    pub first_token: Histogram<u64>,
    /// Microseconds by which requests were sent later than they were due: the rig's own delay.
    pub sent_late: Histogram<u64>,
}

enum ClientOutcome {
    Served(Duration),
    Refused,
    Failed,
    Lost,
}

/// One dispatcher, as its clients see it.
struct Target {
    address: String,
    number: usize,
    idle: Mutex<Vec<TcpStream>>,
    ledger: Arc<Ledger>,
}

impl Target {
    fn idle(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new(3).map_err(|error| error.to_string())
}

/// Sends requests to a dispatcher until this moment, and waits for their answers.
pub async fn run(
    address: String,
    number: usize,
    load: Load,
    seed: u64,
    until: Instant,
    ledger: Arc<Ledger>,
) -> Result<Outcomes, String> {
    let target = Arc::new(Target {
        address,
        number,
        idle: Mutex::default(),
        ledger,
    });
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut outcomes = Outcomes {
        answers: Answers::default(),
        first_token: histogram()?,
        sent_late: histogram()?,
    };
    let mut requests = JoinSet::new();
    let mut due = Instant::now();
    let mut count = 0_u64;
    loop {
        let even: f64 = rng.gen_range(1e-9..1.0);
        due += Duration::from_secs_f64(-even.ln() / load.per_dispatcher);
        if due >= until {
            break;
        }
        sleep_until(due).await;
        let _ = outcomes.sent_late.record(due.elapsed().as_micros() as u64);
        count += 1;
        let text = request(&target, count, &load, &mut rng);
        requests.spawn(ask(target.clone(), text, due));
        while let Some(answer) = requests.try_join_next() {
            outcomes.count(answer);
        }
    }
    while let Some(answer) = requests.join_next().await {
        outcomes.count(answer);
    }
    Ok(outcomes)
}

impl Outcomes {
    fn count(&mut self, answer: Result<ClientOutcome, tokio::task::JoinError>) {
        let answers = &mut self.answers;
        answers.sent += 1;
        match answer {
            Ok(ClientOutcome::Served(first)) => {
                answers.served += 1;
                let _ = self.first_token.record(first.as_micros() as u64);
            }
            Ok(ClientOutcome::Refused) => answers.refused += 1,
            Ok(ClientOutcome::Failed) => answers.failed += 1,
            Ok(ClientOutcome::Lost) | Err(_) => answers.lost += 1,
        }
    }
}

/// A request's name: its dispatcher can be read from it.
pub fn name(dispatcher: usize, number: u64) -> String {
    format!("d{dispatcher}-{number:08x}")
}

/// The dispatcher that a request of this name was sent to.
pub fn dispatcher_of(name: &str) -> Option<usize> {
    name.strip_prefix('d')?.split('-').next()?.parse().ok()
}

fn request(target: &Target, number: u64, load: &Load, rng: &mut Pcg32) -> (String, String) {
    let name = name(target.number, number);
    let prompt = rng.gen_range(load.prompt.0..=load.prompt.1);
    let tokens = rng.gen_range(load.answer.0..=load.answer.1);
    let (object, text) = (rng.gen_range(0..CONVERSATIONS), rng.gen_range(0..TEXTS));
    let shared = prompt / 2;
    let filler = "x".repeat((f64::from(prompt) / TOKENS_PER_BYTE) as usize);
    let body =
        format!(r#"{{"model":"chat","stream":true,"max_tokens":{tokens},"messages":"{filler}"}}"#);
    let (expires, length) = (PATIENCE.as_millis(), body.len());
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: scale\r\nX-Trace-Id: {name}\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Object: {:x}\r\nX-Expires-In-Ms: {expires}\r\nX-Props: prefix={text:x},prompt_len={prompt},prefix_len={shared},max_out={tokens}\r\nContent-Length: {length}\r\n\r\n",
        object + CONVERSATIONS * target.number as u64
    );
    (name, head + &body)
}

async fn ask(target: Arc<Target>, (name, text): (String, String), due: Instant) -> ClientOutcome {
    let mut again = true;
    loop {
        let kept = target.idle().pop();
        let was_kept = kept.is_some();
        let stream = match kept {
            Some(stream) => Ok(stream),
            None => TcpStream::connect(&target.address).await,
        };
        let Ok(mut stream) = stream else {
            return ClientOutcome::Lost;
        };
        let _ = stream.set_nodelay(true);
        let waiting = |add: bool| {
            let mut waiting = target
                .ledger
                .waiting
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            match add {
                true => drop(waiting.insert(name.clone(), due)),
                false => drop(waiting.remove(&name)),
            }
        };
        waiting(true);
        let exchange = exchange(&mut stream, &text, due).await;
        waiting(false);
        match exchange {
            // The dispatcher may close a connection between requests: the client sends once more on a new one.
            Err(Unanswered) if was_kept && again => again = false,
            Err(Unanswered) => return ClientOutcome::Lost,
            Ok((answer, keeps)) => {
                if keeps {
                    target.idle().push(stream);
                }
                return answer;
            }
        }
    }
}

/// The connection ended before anything came.
struct Unanswered;

/// One request and its answer; and whether the connection may be used again.
async fn exchange(
    stream: &mut TcpStream,
    text: &str,
    due: Instant,
) -> Result<(ClientOutcome, bool), Unanswered> {
    stream
        .write_all(text.as_bytes())
        .await
        .map_err(|_| Unanswered)?;
    let mut answer: Vec<u8> = Vec::new();
    let mut some = vec![0; 16 * 1024];
    let mut first = None;
    loop {
        let patience = if first.is_some() {
            Instant::now() + LOST_AFTER
        } else {
            due + PATIENCE + LOST_AFTER
        };
        let read = match timeout_at(patience, stream.read(&mut some)).await {
            Ok(Ok(read)) if read > 0 => read,
            Ok(_) if answer.is_empty() => return Err(Unanswered),
            _ => return Ok((ClientOutcome::Lost, false)),
        };
        answer.extend_from_slice(&some[..read]);
        let Some(head_end) = position(&answer, b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&answer[..head_end]).to_ascii_lowercase();
        let keeps = !head.contains("connection: close");
        let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if status == "200" {
            if first.is_none() && answer.len() > head_end + 4 {
                first = Some(due.elapsed());
            }
            if answer.ends_with(b"\r\n0\r\n\r\n") {
                return Ok((ClientOutcome::Served(first.unwrap_or_default()), keeps));
            }
            continue;
        }
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
        if answer.len() >= head_end + 4 + length.unwrap_or(0) {
            let refused = status == "503" || status == "429";
            return Ok((
                if refused {
                    ClientOutcome::Refused
                } else {
                    ClientOutcome::Failed
                },
                keeps,
            ));
        }
    }
}

fn position(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}
