use super::*;

#[test]
fn a_line_is_one_call_or_a_reason() {
    assert_eq!(parse(b"ready"), Ok(Call::Ready));
    assert_eq!(
        parse(b"disable-server s-1\r"),
        Ok(Call::Disable("s-1".into()))
    );
    assert_eq!(
        parse(b" enable-server  s-1 "),
        Ok(Call::Enable("s-1".into()))
    );
    for bad in [
        "",
        "  ",
        "READY",
        "ready now",
        "disable-server",
        "disable-server a b",
        "enable-server",
        "quit",
    ] {
        assert!(parse(bad.as_bytes()).is_err(), "{bad:?}");
    }
    assert_eq!(parse(b"disable-server \xff"), Err("the line is not UTF-8"));
}
