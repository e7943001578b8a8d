//! Minimal HTTP/1.1 on raw sockets, for clients and replicas that deliberately violate the protocol or fail.
//!
//! Bodies are read by their `Content-Length`; chunked bodies are not parsed. The functions keep no state between calls:
//! bytes that are not yet parsed stay in the caller's buffer.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that a listener queues before they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// An HTTP message: the lines of its head, and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// The start line, followed by the header lines.
    pub lines: Vec<String>,
    /// The body; empty where the message has no `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the trimmed value of the first header with this name, which is compared case-insensitively.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.lines.iter().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the field at `index` of the start line, which is separated by spaces; empty if there is none.
    pub fn start_line_field(&self, index: usize) -> &str {
        let Some(line) = self.lines.first() else {
            return "";
        };
        line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Splits off the head of the first message in `bytes`: returns its text, and the index at which the body starts. Returns
/// `None` while the head is incomplete.
pub fn split_head(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    Some((head, end + 4))
}

/// Reads the next message whose length is given by `Content-Length`. `buffer` keeps surplus bytes for the next call. Returns
/// `None` once the connection is closed or fails.
pub async fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    loop {
        if let Some(message) = parse_message(buffer) {
            return Some(message);
        }
        let mut chunk = [0; 8192];
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Removes the first message from the buffer if it is complete.
fn parse_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let (head, body_start) = split_head(buffer)?;
    let mut message = Message {
        lines: head.lines().map(str::to_owned).collect(),
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let end = body_start + length;
    if buffer.len() < end {
        return None;
    }
    message.body = buffer[body_start..end].to_vec();
    buffer.drain(..end);
    Some(message)
}

/// Binds a listener to a local address with SO_REUSEADDR, so that connections in TIME_WAIT do not block a restart.
///
/// # Errors
///
/// Returns the system's error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Closes a connection with RST instead of FIN.
pub fn close_with_reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Returns whether the peer has closed the connection. It reads from the stream, so it may only be called while the peer is
/// not expected to send anything.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Ok(0))
        || matches!(stream.try_read(&mut byte), Err(error) if error.kind() != std::io::ErrorKind::WouldBlock)
}
