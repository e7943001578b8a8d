use super::*;

/// One process decodes the first part of a body. Another one restores its decoder and decodes the rest.
#[test]
fn chunked_body_is_continued_by_another_process() {
    let text = b"HTTP/1.1 103 Early\r\nTransfer-Encoding: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        5\r\nabcde\r\n1f;e=1\r\n0123456789012345678901234567890\r\n0\r\nT: 1\r\n\r\n";
    let head_length = text
        .windows(8)
        .position(|window| window == b"5\r\nabcde")
        .unwrap();
    for split in 0..text.len() {
        let mut response = ResponseFraming::default();
        for bytes in text[..split].chunks(3) {
            response.feed(bytes);
        }
        let Some((decoder, data_before)) = response.body() else {
            assert!(split < head_length, "{split}");
            continue;
        };
        let mut decoder = ChunkedDecoder::from_bytes(&decoder.to_bytes()).unwrap();
        let mut data_after = 0;
        assert_eq!(
            decoder.feed(&text[split..], |data| data_after += data.len() as u64),
            Ok(text.len() - split)
        );
        assert_eq!((data_before + data_after, decoder.has_ended()), (36, true));
    }
    for invalid in [
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "x\r\n",
    ] {
        let mut response = ResponseFraming::default();
        response.feed(invalid.as_bytes());
        assert_eq!(response.body(), None);
    }
    assert_eq!(
        ChunkedDecoder::from_bytes(&[9; ChunkedDecoder::ENCODED_BYTES]),
        None
    );
}

#[test]
fn response_is_over_with_its_last_byte_and_not_before() {
    for text in [
        "HTTP/1.1 202 Accepted\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    ] {
        let mut response = ResponseFraming::default();
        for byte in text.as_bytes() {
            assert!(!response.is_complete(), "{text}");
            response.feed(&[*byte]);
        }
        assert!(response.is_complete(), "{text}");
        let mut unsplit = ResponseFraming::default();
        unsplit.feed(text.as_bytes());
        assert!(unsplit.is_complete());
    }
    let mut without_end = ResponseFraming::default();
    without_end.feed(b"HTTP/1.1 200 OK\r\n\r\nabc");
    assert!(!without_end.is_complete());
}
