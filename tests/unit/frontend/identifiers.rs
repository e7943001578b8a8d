use super::*;

#[test]
fn key_is_the_value_of_digits_alone() {
    assert_eq!(parse_key("5c"), 0x5c);
    assert_eq!(parse_key("ffffffffffffffff"), u64::MAX);
    for word in ["+5c", "-5c", "5c5c5c5c5c5c5c5c5", "chat", ""] {
        assert_eq!(parse_key(word), fnv1a_hash(word), "{word:?}");
    }
}

/// Names stand in endpoints' paths as they are. `?` stands for the id of a moved stream whose sender did not tell it, so that
/// no client may send it.
#[test]
fn names_that_need_escapes_are_invalid() {
    let longest = "a".repeat(128);
    for name in ["9b1f03aa5c7e2d41", "a-b_c.d~e", "...a", longest.as_str()] {
        assert!(is_valid_name(name), "{name:?}");
    }
    let too_long = "a".repeat(129);
    for name in [
        "",
        "?",
        ".",
        "..",
        "a/b",
        "a b",
        "ä",
        "a%20",
        too_long.as_str(),
    ] {
        assert!(!is_valid_name(name), "{name:?}");
    }
}
