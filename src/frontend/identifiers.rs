//! NameTable and keys, as clients of every front write them.

use crate::config::fnv1a_hash;

/// A session's or a text's key: 16 hexadecimal digits, and any other word by its hash.
pub fn key(word: &str) -> u64 {
    u64::from_str_radix(word, 16).unwrap_or_else(|_| fnv1a_hash(word))
}

/// A name that may stand in a node's path as it is.
pub fn is_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=128).contains(&name.len()) && name.bytes().all(plain) && !name.bytes().all(|it| it == b'.')
}
