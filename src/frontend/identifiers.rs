//! Names and keys as the clients of all frontends write them.

use crate::config::fnv1a_hash;

/// A session's or a shared prefix's key: the value of up to 16 hexadecimal digits, or the hash of any other word.
pub fn parse_key(word: &str) -> u64 {
    // The conversion alone would take a sign.
    let is_number = word.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(word, 16).ok();
    number
        .filter(|_| is_number)
        .unwrap_or_else(|| fnv1a_hash(word))
}

/// Whether a name may stand in an endpoint's path without escapes: 1 to 128 unreserved characters, and not dots alone.
pub fn is_valid_name(name: &str) -> bool {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=128).contains(&name.len())
        && name.bytes().all(is_unreserved)
        && !name.bytes().all(|byte| byte == b'.')
}

#[cfg(test)]
#[path = "../../tests/unit/frontend/identifiers.rs"]
mod tests;
