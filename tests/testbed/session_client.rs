//! A client of the WebSocket session protocol.

use super::Fleet;
use futures_util::{SinkExt, StreamExt};
use miniserde::json;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream};

const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// A client with one open session.
pub(crate) struct SessionClient(pub WebSocketStream<MaybeTlsStream<TcpStream>>);

impl SessionClient {
    /// Opens a session.
    pub(crate) async fn connect(fleet: &Fleet) -> SessionClient {
        let connected = SessionClient::try_connect(&fleet.websocket_address).await;
        connected.expect("a session")
    }

    /// Opens a session with the dispatcher at this address; `None` if it accepts none.
    pub(crate) async fn try_connect(address: &str) -> Option<SessionClient> {
        let url = format!("ws://{address}/v1/sessions");
        let (socket, _) = tokio_tungstenite::connect_async(url).await.ok()?;
        Some(SessionClient(socket))
    }

    /// Sends a text message as it is.
    pub(crate) async fn send(&mut self, text: &str) {
        self.0.send(Frame::Text(text.into())).await.unwrap();
    }

    /// Sends a request; see [`request_message`].
    pub(crate) async fn send_request(&mut self, id: &str, class: &str, expires_in_ms: u32) {
        self.send(&request_message(id, class, expires_in_ms)).await;
    }

    /// Receives the next message and returns its type and its text. A close frame is returned as `close` with its code
    /// (0 without one), the end of the connection as `end`.
    pub(crate) async fn receive(&mut self) -> (String, String) {
        loop {
            let next = tokio::time::timeout(MESSAGE_TIMEOUT, self.0.next())
                .await
                .expect("a message within 10 s");
            match next {
                Some(Ok(Frame::Text(text))) => {
                    let fields: BTreeMap<String, json::Value> = json::from_str(&text).unwrap();
                    let Some(json::Value::String(kind)) = fields.get("type") else {
                        panic!("{text}")
                    };
                    return (kind.clone(), text.to_string());
                }
                Some(Ok(Frame::Close(frame))) => {
                    return (
                        "close".into(),
                        frame.map_or(0, |frame| frame.code.into()).to_string(),
                    );
                }
                Some(Ok(_)) => {}
                other => return ("end".into(), format!("{other:?}")),
            }
        }
    }

    /// Receives all messages of a request and returns the type of the final one and the joined data of the events.
    pub(crate) async fn receive_response(&mut self, id: &str) -> (String, String) {
        let mut text = String::new();
        loop {
            let (kind, message) = self.receive().await;
            assert!(message.contains(&format!("\"{id}\"")), "{message}");
            if kind != "event" {
                return (kind, text);
            }
            let fields: BTreeMap<String, json::Value> = json::from_str(&message).unwrap();
            let Some(json::Value::String(data)) = fields.get("data") else {
                panic!("{message}")
            };
            text.push_str(data);
        }
    }
}

/// Formats a request message with the deadline `expires_in_ms` milliseconds from its arrival. The tenant is `acme`, the
/// prompt has 500 tokens, and at most 100 tokens are generated.
pub(crate) fn request_message(id: &str, class: &str, expires_in_ms: u32) -> String {
    format!(
        r#"{{"type":"request","id":"{id}","class":"{class}","tenant":"acme","session":"7f3a","expires_in_ms":{expires_in_ms},"prompt_len":500,"max_out":100,"body":"{{}}"}}"#
    )
}
