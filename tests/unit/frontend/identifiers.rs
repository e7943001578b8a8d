use super::*;

#[test]
fn key_is_the_value_of_digits_alone() {
    assert_eq!(parse_key("5c"), 0x5c);
    assert_eq!(parse_key("ffffffffffffffff"), u64::MAX);
    for word in ["+5c", "-5c", "5c5c5c5c5c5c5c5c5", "chat", ""] {
        assert_eq!(parse_key(word), fnv1a_hash(word), "{word:?}");
    }
}
