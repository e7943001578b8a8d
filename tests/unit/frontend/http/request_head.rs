use super::*;

fn props_error(text: &str) -> String {
    let parsed = parse_props(text, &mut RequestMetadata::default());
    parsed.expect_err(text).to_string()
}

#[test]
fn invalid_props_have_their_texts() {
    for (props, text) in [
        ("prompt_len=5,max_out", "X-Props is not a list of pairs"),
        (
            " prompt_len = -5,max_out=1",
            "prompt_len is not a number of tokens",
        ),
        (
            "prompt_len=5,prefix_len=x",
            "prefix_len is not a number of tokens",
        ),
        (
            "prompt_len=5,max_out=1.5",
            "max_out is not a number of tokens",
        ),
        ("max_out=1", "X-Props lacks prompt_len"),
        ("prompt_len=5", "X-Props lacks max_out"),
    ] {
        assert_eq!(props_error(props), text, "{props}");
    }
}

#[test]
fn invalid_heads_have_their_texts() {
    for (error, text) in [
        (
            InvalidRequest::MissingHeader("x-trace-id"),
            "x-trace-id is missing",
        ),
        (InvalidRequest::NotText("x-qos"), "x-qos is not plain text"),
        (InvalidRequest::InvalidId, "X-Trace-Id is not a plain name"),
        (
            InvalidRequest::UnknownClass("x".into()),
            "unknown class \"x\"",
        ),
        (
            InvalidRequest::UnknownTenant("x".into()),
            "unknown tenant \"x\"",
        ),
        (
            InvalidRequest::InvalidDeadline,
            "X-Expires-In-Ms is not a number",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
