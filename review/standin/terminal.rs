//! A branch terminal: a client of WebSocket sessions (RFC 6455).

use crate::http::Reader;
use crate::record;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// What a terminal receives.
#[derive(Clone, Debug)]
pub enum Received {
    Message(String),
    /// The session's end, with the close code where there was one.
    End(Option<u16>),
}

pub struct Terminal {
    name: String,
    stream: TcpStream,
    pub received: Receiver<Received>,
}

fn frame(opcode: u8, payload: &[u8]) -> Vec<u8> {
    let mask = [0x11, 0x22, 0x33, 0x44];
    let mut bytes = vec![0x80 | opcode];
    match payload.len() {
        length @ 0..=125 => bytes.push(0x80 | length as u8),
        length @ 126..=65535 => {
            bytes.push(0x80 | 126);
            bytes.extend((length as u16).to_be_bytes());
        }
        length => {
            bytes.push(0x80 | 127);
            bytes.extend((length as u64).to_be_bytes());
        }
    }
    bytes.extend(mask);
    bytes.extend(
        payload
            .iter()
            .enumerate()
            .map(|(index, byte)| byte ^ mask[index % 4]),
    );
    bytes
}

fn take(reader: &mut Reader, length: usize) -> Option<Vec<u8>> {
    while reader.buffer.len() < length {
        reader.fill()?;
    }
    Some(reader.buffer.drain(..length).collect())
}

/// Reads a frame: its opcode and its payload.
fn read_frame(reader: &mut Reader) -> Option<(u8, Vec<u8>)> {
    let head = take(reader, 2)?;
    let length = match head[1] & 0x7f {
        126 => u64::from(u16::from_be_bytes(take(reader, 2)?.try_into().ok()?)),
        127 => u64::from_be_bytes(take(reader, 8)?.try_into().ok()?),
        length => u64::from(length),
    };
    Some((head[0] & 0x0f, take(reader, length as usize)?))
}

impl Terminal {
    /// Opens a session; tries again for up to 3 s while nobody listens or the answer is not 101.
    pub fn open(name: &str, address: &str) -> Result<Terminal, String> {
        let give_up_at = Instant::now() + Duration::from_secs(3);
        loop {
            match Terminal::try_open(name, address) {
                Some(terminal) => return Ok(terminal),
                None if Instant::now() > give_up_at => {
                    return Err(format!("no session for {name}"))
                }
                None => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    pub fn try_open(name: &str, address: &str) -> Option<Terminal> {
        let stream = TcpStream::connect(address).ok()?;
        let mut reader = Reader::new(stream.try_clone().ok()?);
        let text = "GET /v1/sessions HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        reader.stream.write_all(text.as_bytes()).ok()?;
        if reader.head()?.word(1) != "101" {
            return None;
        }
        record::line(&format!("{name}: session open"));
        let (sender, received) = channel();
        let (thread_name, mut pong_stream) = (name.to_owned(), stream.try_clone().ok()?);
        thread::spawn(move || loop {
            let frame_read = read_frame(&mut reader);
            let message = match frame_read {
                Some((1, payload)) => {
                    Received::Message(String::from_utf8_lossy(&payload).into_owned())
                }
                Some((9, payload)) => {
                    let _ = pong_stream.write_all(&frame(10, &payload));
                    continue;
                }
                Some((8, payload)) => {
                    let code = payload
                        .get(..2)
                        .map(|code| u16::from_be_bytes([code[0], code[1]]));
                    let _ = pong_stream.write_all(&frame(8, &payload));
                    Received::End(code)
                }
                Some(_) => continue,
                None => Received::End(None),
            };
            record::line(&format!("{thread_name} receives {message:?}"));
            let is_end = matches!(message, Received::End(_));
            if sender.send(message).is_err() || is_end {
                return;
            }
        });
        Some(Terminal {
            name: name.to_owned(),
            stream,
            received,
        })
    }

    /// Sends a request; `id` is the terminal's own.
    pub fn send(&mut self, id: &str, class: &str, deadline_ms: u64, text: &str) {
        record::line(&format!("{} sends {id}: {class}", self.name));
        let body = format!(
            "{{\\\"messages\\\":[{{\\\"role\\\":\\\"user\\\",\\\"content\\\":\\\"{text}\\\"}}]}}"
        );
        let tokens = text.len() / 4;
        let message = format!(
            "{{\"type\":\"request\",\"id\":\"{id}\",\"class\":\"{class}\",\"tenant\":\"coop-serrana\",\"session\":\"7f3a9c21e0b4d655\",\"expires_in_ms\":{deadline_ms},\"prompt_len\":{tokens},\"max_out\":60,\"body\":\"{body}\"}}"
        );
        let _ = self.stream.write_all(&frame(1, message.as_bytes()));
    }

    /// The socket drops: the connection ends without a closing handshake.
    pub fn drop_socket(&self) {
        record::line(&format!("{}: the socket drops", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// What a terminal has of its request at the end.
#[derive(Default, Debug)]
pub struct Answer {
    /// The texts of all events.
    pub text: String,
    /// The final message's type and its text.
    pub finals: Vec<String>,
    /// The session ended before a final message, with this close code.
    pub ended: Option<Option<u16>>,
}

/// Collects what a terminal receives for a request until its final message, the session's end or the time.
pub fn collect(terminal: &Terminal, id: &str, until: Instant) -> Answer {
    let mut answer = Answer::default();
    let id_field = format!("\"id\":\"{id}\"");
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match terminal.received.recv_timeout(left) {
            Ok(Received::Message(text)) if text.contains(&id_field) => {
                if text.contains("\"type\":\"event\"") {
                    answer
                        .text
                        .push_str(text.split("\"data\":").nth(1).unwrap_or(""));
                } else if !text.contains("\"type\":\"error\"") {
                    answer.finals.push(text);
                    return answer;
                }
            }
            Ok(Received::Message(_)) => {}
            Ok(Received::End(code)) => {
                answer.ended = Some(code);
                return answer;
            }
            Err(_) => return answer,
        }
    }
}
