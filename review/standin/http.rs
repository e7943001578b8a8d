//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A message: its start line, its headers and its body.
pub struct Message {
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection; keeps what comes behind a message.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Some(())
            }
            _ => None,
        }
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.take(end + 1)?;
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message {
                    start,
                    headers,
                    body: Vec::new(),
                });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a message. A chunked body without its last chunk gives `None`, as a connection that ends does.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding") == "chunked" {
            loop {
                let length = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                if length == 0 {
                    self.line()?;
                    return Some(message);
                }
                message.body.extend(self.take(length)?);
                self.line()?;
            }
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(length)?;
        Some(message)
    }
}

/// What a client asks for.
#[derive(Clone)]
pub struct ClientRequest {
    pub id: String,
    pub class: &'static str,
    pub session: String,
    pub deadline_ms: u64,
    pub prompt_tokens: usize,
    pub text: String,
}

impl ClientRequest {
    pub fn body(&self) -> String {
        format!(
            "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":60,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
            self.text
        )
    }

    pub fn bytes(&self) -> Vec<u8> {
        let body = self.body();
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {}\r\nX-Qos: {}\r\nX-Customer: coop-serrana\r\nX-Object: {}\r\nX-Expires-In-Ms: {}\r\nX-Props: prompt_len={},max_out=60\r\nContent-Length: {}\r\n\r\n{body}",
            self.id, self.class, self.session, self.deadline_ms, self.prompt_tokens, body.len()
        )
        .into_bytes()
    }
}

/// Sends a request on `reader`'s connection and reads its answer.
pub fn exchange(reader: &mut Reader, request: &ClientRequest) -> Option<Message> {
    let _ = reader
        .stream
        .set_read_timeout(Some(Duration::from_secs(25)));
    reader.stream.write_all(&request.bytes()).ok()?;
    reader.message()
}

pub fn get(address: &str, target: &str) -> Option<Message> {
    let stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut reader = Reader::new(stream);
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    reader.stream.write_all(text.as_bytes()).ok()?;
    reader.message()
}
