use super::*;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeSet;

/// Processes all bytes. Each call of `feed` stops at the end of a request.
fn feed_all(requests: &mut RequestFraming, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        let completed_before = requests.completed_requests();
        let consumed = requests.feed(bytes);
        assert!(consumed > 0 && requests.completed_requests() <= completed_before + 1);
        assert!(
            consumed == bytes.len() || requests.completed_requests() == completed_before + 1,
            "reading stops at the end of a request only"
        );
        bytes = &bytes[consumed..];
    }
}

/// Returns the declarations of all heads, when the bytes arrive split at these positions.
fn declared_bodies(bytes: &[u8], splits: &[usize]) -> Vec<DeclaredBody> {
    let mut requests = RequestFraming::default();
    let splits: BTreeSet<_> = splits
        .iter()
        .map(|split| split % (bytes.len() + 1))
        .collect();
    let mut start = 0;
    for split in splits {
        feed_all(&mut requests, &bytes[start..split]);
        start = split;
    }
    feed_all(&mut requests, &bytes[start..]);
    std::iter::from_fn(|| requests.next_head()).collect()
}

const PIPELINED: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\nab\ncd\r\n1A\r\nTransfer-Encoding: chunked\r\n0\r\nT: 1\r\n\r\n\
    \r\nGET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\ncontent-length: 7\r\n\r\nPOST / \
    POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n";

#[test]
fn heads_are_in_order_wherever_the_bytes_are_split() {
    let unsplit = declared_bodies(PIPELINED.as_bytes(), &[]);
    let chunked = DeclaredBody {
        is_chunked: true,
        length: None,
        has_transfer_encoding: true,
    };
    let plain = DeclaredBody::default();
    let length = DeclaredBody {
        length: Some(7),
        ..plain
    };
    assert_eq!(
        unsplit,
        [
            chunked,
            plain,
            length,
            DeclaredBody {
                length: Some(4),
                ..chunked
            }
        ]
    );
    let property = |splits: Vec<usize>| {
        declared_bodies(PIPELINED.as_bytes(), &splits) == declared_bodies(PIPELINED.as_bytes(), &[])
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(300)
        .quickcheck(property as fn(_) -> _);
}

/// After invalid framing it is unknown where the next request begins.
#[test]
fn requests_behind_invalid_framing_are_not_reported() {
    let next_request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for invalid in [
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ] {
        assert!(
            declared_bodies(format!("{invalid}{next_request}").as_bytes(), &[]).is_empty(),
            "{invalid}"
        );
    }
    let broken = format!("{next_request}zz\r\n{next_request}");
    assert_eq!(
        declared_bodies(broken.as_bytes(), &[]).len(),
        1,
        "the head before is reported"
    );
    assert!(declared_bodies(&[b'x'; 3 * MAX_HEAD_LINE_BYTES], &[]).is_empty());
}

/// Random bytes are consumed completely, and the declarations found in them don't depend on where the bytes are split.
#[test]
fn garbage_is_read_to_its_end() {
    let property = |bytes: Vec<u8>, splits: Vec<usize>| {
        declared_bodies(&bytes, &splits) == declared_bodies(&bytes, &[])
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 12))
        .tests(500)
        .quickcheck(property as fn(_, _) -> _);
}
