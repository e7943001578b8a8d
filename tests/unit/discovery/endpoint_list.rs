use super::*;

/// Operators search the log for these texts.
#[test]
fn endpoint_errors_have_their_texts() {
    for (error, text) in [
        (EndpointError::MissingId, "no id"),
        (
            EndpointError::UnknownPhase(Some("Dancing".into())),
            r#"unknown phase Some("Dancing")"#,
        ),
        (EndpointError::UnknownPhase(None), "unknown phase None"),
        (
            EndpointError::InvalidAddress("nowhere".into()),
            r#"no address: "nowhere""#,
        ),
        (
            EndpointError::InvalidMachineType("a kind without a role".into()),
            "a kind without a role",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn list_errors_have_their_texts() {
    let encoding = parse_list(b"\xff").err().map(|error| error.to_string());
    assert_eq!(encoding.as_deref(), Some("not UTF-8"));
    let format = parse_list(b"[what?").err().map(|error| error.to_string());
    assert_eq!(format.as_deref(), Some("not a list of members"));
}
