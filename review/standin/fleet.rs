//! Stand-in replicas and discovery, as the protocol page describes them.
//!
//! A reader reads the prompt, then holds its state under the request's id. A writer takes the state of that id and
//! writes its answer from it; without a state it answers 410. The answer repeats a word of the prompt, so that a client
//! can tell whose answer it got.

use crate::http::{Message, Reader};
use crate::record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How the replicas of a fleet behave.
#[derive(Clone, Copy)]
pub struct Behavior {
    /// Tokens that a reader reads in a second.
    pub read_rate: f64,
    /// How long a request waits at a writer for a slot, before its state is fetched.
    pub writer_wait: Duration,
    /// Events of an answer, and the time before each of them.
    pub events: usize,
    pub event_interval: Duration,
    /// One of so many answers of writers is spoilt: it comes a second time, some milliseconds late. 0: none.
    pub second_answer_every: u64,
}

/// Something that a replica did.
pub struct Run {
    pub id: String,
    pub is_writer: bool,
}

pub struct Fleet {
    behavior: Behavior,
    /// The states that are held, by request id.
    states: Mutex<HashMap<String, String>>,
    /// What ran: reads that ended, and writes that began.
    pub runs: Mutex<Vec<Run>>,
    answers: AtomicU64,
    pub second_answers: AtomicU64,
    pub members: Mutex<Vec<String>>,
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The text in the prompt of a request's body.
fn prompt_text(message: &Message) -> String {
    let body = message.text();
    let text = body.split("\"content\":\"").nth(1).unwrap_or("");
    text.split('"').next().unwrap_or("").to_owned()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn event(content: &str, finish: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":{finish}}}]}}\n\n")
}

/// All events of the answer to this text: each repeats the text's first word, which is about six tokens.
pub fn answer_events(text: &str, count: usize) -> Vec<String> {
    let text = text.split(' ').next().unwrap_or("");
    let mut events: Vec<String> = (0..count)
        .map(|number| event(&format!("{text} #{number} "), "null"))
        .collect();
    events.push(event("", "\"stop\""));
    events.push(format!("data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":500,\"completion_tokens\":{},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n", 6 * count));
    events.push("data: [DONE]\n\n".to_owned());
    events
}

impl Fleet {
    /// Starts readers and writers on free ports.
    pub fn start(readers: usize, writers: usize, behavior: Behavior) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            behavior,
            states: Mutex::default(),
            runs: Mutex::default(),
            answers: AtomicU64::new(0),
            second_answers: AtomicU64::new(0),
            members: Mutex::default(),
        });
        for number in 0..readers + writers {
            let is_writer = number >= readers;
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let kind = if is_writer { "decode" } else { "prefill" };
            fleet.members.lock().unwrap().push(format!(
                "{{\"id\":\"s-{number}\",\"host_port\":\"{address}\",\"locality\":\"dc-canoas\",\"flavor\":\"{kind}\",\"cell\":1,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}}"
            ));
            let fleet = fleet.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let fleet = fleet.clone();
                    thread::spawn(move || fleet.serve(Reader::new(stream), number, is_writer));
                }
            });
        }
        fleet
    }

    fn serve(&self, mut reader: Reader, number: usize, is_writer: bool) {
        while let Some(message) = reader.message() {
            let done = match message.word(0) {
                "DELETE" => self.release(&mut reader.stream, &message, number),
                "POST" if is_writer => self.write(&mut reader.stream, &message, number),
                "POST" => self.read(&mut reader.stream, &message, number),
                _ => reader
                    .stream
                    .write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .ok(),
            };
            if done.is_none() {
                return;
            }
        }
    }

    fn release(&self, stream: &mut TcpStream, message: &Message, number: usize) -> Option<()> {
        let id = message.word(1).trim_start_matches("/kv/leases/").to_owned();
        let had = self.states.lock().unwrap().remove(&id).is_some();
        record::line(&format!("s-{number} release {id} held {had}"));
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()
    }

    fn read(&self, stream: &mut TcpStream, message: &Message, number: usize) -> Option<()> {
        let (id, text) = (
            message.header("x-trace-id").to_owned(),
            prompt_text(message),
        );
        let tokens = message.body.len() as f64 / 4.0;
        record::line(&format!("s-{number} read {id} begins: {}", short(&text)));
        thread::sleep(Duration::from_secs_f64(
            0.01 + tokens / self.behavior.read_rate,
        ));
        self.states.lock().unwrap().insert(id.clone(), text.clone());
        record::line(&format!("s-{number} read {id} ended: {}", short(&text)));
        self.runs.lock().unwrap().push(Run {
            id,
            is_writer: false,
        });
        let body = "{\"cached_tokens\":0}";
        let head = format!(
            "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nEndpoint-Load-Metrics: TEXT inflight=1, x0=0.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).ok()
    }

    fn write(&self, stream: &mut TcpStream, message: &Message, number: usize) -> Option<()> {
        let (id, asked) = (
            message.header("x-trace-id").to_owned(),
            prompt_text(message),
        );
        record::line(&format!("s-{number} write {id} arrived: {}", short(&asked)));
        thread::sleep(self.behavior.writer_wait);
        let Some(text) = self.states.lock().unwrap().remove(&id) else {
            record::line(&format!("s-{number} write {id}: 410, no state"));
            return stream
                .write_all(b"HTTP/1.1 410 Gone\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
                .ok();
        };
        record::line(&format!(
            "s-{number} write {id} runs with the state of: {}",
            short(&text)
        ));
        self.runs.lock().unwrap().push(Run {
            id: id.clone(),
            is_writer: true,
        });
        let mut answer = STREAM_HEAD.to_owned();
        stream.write_all(STREAM_HEAD.as_bytes()).ok()?;
        for event in answer_events(&text, self.behavior.events) {
            thread::sleep(self.behavior.event_interval);
            let event = chunk(&event);
            stream.write_all(event.as_bytes()).ok()?;
            answer.push_str(&event);
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
        answer.push_str("0\r\n\r\n");
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.behavior.second_answer_every;
        if every > 0 && count % every == 0 {
            // 2 to 9 ms after the first one.
            thread::sleep(Duration::from_millis(2 + count / every % 8));
            self.second_answers.fetch_add(1, Ordering::Relaxed);
            record::line(&format!("s-{number} write {id}: the answer a second time"));
            stream.write_all(answer.as_bytes()).ok()?;
        }
        Some(())
    }

    /// Starts discovery's agent. Returns its address.
    pub fn start_discovery(self: &Arc<Self>) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let fleet = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.serve_discovery(Reader::new(stream)));
            }
        });
        address
    }

    /// The list never changes: a watch from its revision waits for its whole time.
    fn serve_discovery(&self, mut reader: Reader) {
        while let Some(message) = reader.message() {
            let target = message.word(1);
            let value = |name: &str| {
                let query = target.split_once('?')?.1;
                let found = query.split('&').find_map(|pair| pair.strip_prefix(name));
                found.and_then(|value| value.parse::<u64>().ok())
            };
            let body = if value("from=") == Some(1) {
                thread::sleep(Duration::from_millis(value("hold_ms=").unwrap_or(0)));
                "{\"revision\":1,\"complete\":false,\"members\":[]}".to_owned()
            } else {
                self.list()
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn list(&self) -> String {
        let members = self.members.lock().unwrap().join(",");
        format!("{{\"revision\":1,\"complete\":true,\"members\":[{members}]}}")
    }
}

/// The beginning of a text, for the record.
pub fn short(text: &str) -> &str {
    &text[..text.len().min(24)]
}
