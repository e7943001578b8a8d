use super::*;
use quickcheck::{Gen, QuickCheck};

/// Reads all bytes, one request after the other.
fn feed_all(requests: &mut RequestFraming, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        let ended = requests.ended();
        let read = requests.feed(bytes);
        assert!(read > 0 && requests.ended() <= ended + 1);
        assert!(
            read == bytes.len() || requests.ended() == ended + 1,
            "it stops at a request's end only"
        );
        bytes = &bytes[read..];
    }
}

fn heads(bytes: &[u8], cuts: &[usize]) -> Vec<DeclaredBody> {
    let mut requests = RequestFraming::default();
    let mut from = 0;
    for cut in cuts
        .iter()
        .map(|cut| cut % (bytes.len() + 1))
        .collect::<std::collections::BTreeSet<_>>()
    {
        feed_all(&mut requests, &bytes[from..cut]);
        from = cut;
    }
    feed_all(&mut requests, &bytes[from..]);
    std::iter::from_fn(|| requests.next_head()).collect()
}

const MANY: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5;x=y\r\nab\ncd\r\n1A\r\nTransfer-Encoding: chunked\r\n0\r\nT: 1\r\n\r\n\
    \r\nGET / HTTP/1.1\r\nHost: x\r\n\r\nPOST / HTTP/1.1\ncontent-length: 7\r\n\r\nPOST / \
    POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n";

#[test]
fn heads_are_told_in_order_whatever_the_cuts() {
    let whole = heads(MANY.as_bytes(), &[]);
    let chunked = DeclaredBody {
        chunked: true,
        length: None,
        coded: true,
    };
    let plain = DeclaredBody::default();
    let length = DeclaredBody {
        length: Some(7),
        ..plain
    };
    assert_eq!(
        whole,
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
    let cut = |cuts: Vec<usize>| heads(MANY.as_bytes(), &cuts) == heads(MANY.as_bytes(), &[]);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(300)
        .quickcheck(cut as fn(_) -> _);
}

#[test]
fn what_can_not_be_followed_says_nothing_more() {
    let after = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for bad in [
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ] {
        assert!(
            heads(format!("{bad}{after}").as_bytes(), &[]).is_empty(),
            "{bad}"
        );
    }
    let broken = format!("{after}zz\r\n{after}");
    assert_eq!(
        heads(broken.as_bytes(), &[]).len(),
        1,
        "the head before is told"
    );
    assert!(heads(&[b'x'; 3 * LONGEST_LINE], &[]).is_empty());
}

#[test]
fn garbage_is_read_to_its_end() {
    let garbage = |bytes: Vec<u8>, cuts: Vec<usize>| heads(&bytes, &cuts) == heads(&bytes, &[]);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 12))
        .tests(500)
        .quickcheck(garbage as fn(_, _) -> _);
}

/// Two that read the two parts of an answer, the second one from what the first one told, read all of it.
#[test]
fn an_answer_is_read_on_by_another() {
    let text = b"HTTP/1.1 103 Early\r\nTransfer-Encoding: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        5\r\nabcde\r\n1f;e=1\r\n0123456789012345678901234567890\r\n0\r\nT: 1\r\n\r\n";
    let head = text.windows(8).position(|it| it == b"5\r\nabcde").unwrap();
    for cut in 0..text.len() {
        let mut answer = ResponseFraming::default();
        text[..cut].chunks(3).for_each(|part| answer.feed(part));
        let Some((body, data)) = answer.body() else {
            assert!(cut < head, "{cut}");
            continue;
        };
        let mut second = ChunkedDecoder::from_bytes(&body.to_bytes()).unwrap();
        let mut rest = 0;
        assert_eq!(
            second.feed(&text[cut..], |piece| rest += piece.len() as u64),
            Ok(text.len() - cut)
        );
        assert_eq!((data + rest, second.ended()), (36, true));
    }
    for bad in [
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "x\r\n",
    ] {
        let mut answer = ResponseFraming::default();
        answer.feed(bad.as_bytes());
        assert_eq!(answer.body(), None);
    }
    assert_eq!(
        ChunkedDecoder::from_bytes(&[9; ChunkedDecoder::BYTES]),
        None
    );
}

#[test]
fn an_answer_is_over_with_its_last_byte_and_not_before() {
    for text in [
        "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    ] {
        let mut answer = ResponseFraming::default();
        for byte in text.as_bytes() {
            assert!(!answer.is_over(), "{text}");
            answer.feed(&[*byte]);
        }
        assert!(answer.is_over(), "{text}");
        let mut whole = ResponseFraming::default();
        whole.feed(text.as_bytes());
        assert!(whole.is_over());
    }
    let mut endless = ResponseFraming::default();
    endless.feed(b"HTTP/1.1 200 OK\r\n\r\nabc");
    assert!(!endless.is_over());
}

#[test]
fn the_data_of_chunks_is_handed_on() {
    let text = b"3\r\nabc\r\n0A;q\r\n0123456789\r\n0\r\n\r\nnext";
    for cut in 0..text.len() {
        let (mut chunks, mut data, mut read) = (ChunkedDecoder::default(), Vec::new(), 0);
        for part in [&text[..cut], &text[cut..]] {
            read += chunks
                .feed(part, |piece| data.extend_from_slice(piece))
                .unwrap();
        }
        assert_eq!(
            (data.as_slice(), read, chunks.ended()),
            (b"abc0123456789".as_slice(), text.len() - 4, true)
        );
    }
    for bad in [
        "\r\n",
        "x\r\n",
        "3\r\nabcd",
        "3\n",
        "10000000000000000\r\n",
        "3;\n",
    ] {
        assert_eq!(
            ChunkedDecoder::default().feed(bad.as_bytes(), |_| {}),
            Err(FramingLost),
            "{bad:?}"
        );
    }
}
