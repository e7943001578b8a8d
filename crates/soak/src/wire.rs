//! Messages on raw sockets, for clients and servers that misbehave.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A message: its head's lines and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line and the header's lines.
    pub lines: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.lines.iter().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// A word of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.lines
            .first()
            .and_then(|line| line.split(' ').nth(at))
            .unwrap_or_default()
    }
}

/// Reads a message with a stated length; `None` at the connection's end.
pub async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = take(buffer) {
            return Some(message);
        }
        let mut some = [0; 8192];
        let read = stream.read(&mut some).await.ok().filter(|read| *read > 0)?;
        buffer.extend_from_slice(&some[..read]);
    }
}

/// Takes a whole message out of what was read.
fn take(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut message = Message {
        lines: head.lines().map(str::to_owned).collect(),
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    if buffer.len() < end + 4 + length {
        return None;
    }
    message.body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(message)
}

/// Listens on an address of this machine, also where connections of before are still closing.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}

/// Has a connection reset when it is dropped.
pub fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
