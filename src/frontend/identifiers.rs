//! Parses the names and keys that clients send.
//!
//! All frontends use these functions, so that a session or a shared prefix has the same key over HTTP and over
//! WebSocket.

use crate::config::fnv1a_hash;

/// Parses the key of a session or a shared prefix: the value of up to 16 hexadecimal digits, or the hash of any other
/// text.
pub fn parse_key(word: &str) -> u64 {
    // `from_str_radix` alone would also accept a sign.
    let is_number = word.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(word, 16).ok();
    number
        .filter(|_| is_number)
        .unwrap_or_else(|| fnv1a_hash(word))
}

/// Returns whether a name needs no escapes in an endpoint's path: 1 to 128 unreserved characters, and not only dots.
pub fn is_valid_name(name: &str) -> bool {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=128).contains(&name.len())
        && name.bytes().all(is_unreserved)
        && !name.bytes().all(|byte| byte == b'.')
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/identifiers.rs"]
mod tests;
