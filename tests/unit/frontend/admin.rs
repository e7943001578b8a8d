use super::*;

/// Parses a line, with the error as the text that operators receive.
fn parse_line(line: &[u8]) -> Result<AdminCommand, String> {
    parse(line).map_err(|error| error.to_string())
}

#[test]
fn a_line_parses_to_one_command_or_an_error() {
    assert_eq!(parse_line(b"ready"), Ok(AdminCommand::Ready));
    assert_eq!(
        parse_line(b"disable-server s-1\r"),
        Ok(AdminCommand::Disable("s-1".into()))
    );
    assert_eq!(
        parse_line(b" enable-server  s-1 "),
        Ok(AdminCommand::Enable("s-1".into()))
    );
    for invalid in [
        "",
        "  ",
        "READY",
        "ready now",
        "disable-server",
        "disable-server a b",
        "enable-server",
        "quit",
    ] {
        assert!(parse_line(invalid.as_bytes()).is_err(), "{invalid:?}");
    }
    assert_eq!(
        parse_line(b"disable-server \xff"),
        Err("the line is not UTF-8".to_owned())
    );
}
