use super::*;

fn text_of(message: ServerMessage<'_>) -> String {
    match message.to_message() {
        Message::Text(text) => text.to_string(),
        other => panic!("{other:?}"),
    }
}

/// Clients depend on these bytes, the order of the fields included.
#[test]
fn server_messages_have_the_documented_bytes() {
    let id = "r1";
    let retry_after = Duration::from_micros(1001);
    let reason = "say \"no\"";
    for (message, text) in [
        (
            ServerMessage::Event {
                id,
                data: "ä\n\"x\"",
            },
            r#"{"type":"event","id":"r1","data":"ä\n\"x\""}"#,
        ),
        (
            ServerMessage::Served { id },
            r#"{"type":"served","id":"r1"}"#,
        ),
        (
            ServerMessage::ServedBefore { id, has_text: true },
            r#"{"type":"served","id":"r1","recorded":true,"whole":true}"#,
        ),
        (
            ServerMessage::ServedBefore {
                id,
                has_text: false,
            },
            r#"{"type":"served","id":"r1","recorded":true,"whole":false}"#,
        ),
        (
            ServerMessage::Shed { id, retry_after },
            r#"{"type":"refused","id":"r1","retry_after_ms":2}"#,
        ),
        (
            ServerMessage::Failed { id, reason },
            r#"{"type":"failed","id":"r1","reason":"say \"no\""}"#,
        ),
        (
            ServerMessage::Error {
                id: Some(id),
                reason: "asked too often",
            },
            r#"{"type":"error","id":"r1","reason":"asked too often"}"#,
        ),
        (
            ServerMessage::Error { id: None, reason },
            r#"{"type":"error","reason":"say \"no\""}"#,
        ),
    ] {
        assert_eq!(text_of(message), text);
    }
}

#[test]
fn invalid_messages_have_their_texts() {
    for (reason, text) in [
        (
            InvalidMessageReason::Malformed,
            "not a message of the session",
        ),
        (
            InvalidMessageReason::InvalidId,
            "id is missing or no plain name",
        ),
        (
            InvalidMessageReason::UnknownType("x".into()),
            "unknown type \"x\"",
        ),
        (
            InvalidMessageReason::MissingField("prompt_len"),
            "prompt_len is missing",
        ),
        (
            InvalidMessageReason::UnknownClass("x".into()),
            "unknown class \"x\"",
        ),
        (
            InvalidMessageReason::UnknownTenant("x".into()),
            "unknown tenant \"x\"",
        ),
        (
            InvalidMessageReason::BodyTooLarge,
            "the body is over 256 KiB",
        ),
    ] {
        assert_eq!(reason.to_string(), text);
    }
}
