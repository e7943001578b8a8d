use super::*;

#[test]
fn data_of_chunks_is_passed_on_wherever_the_bytes_are_split() {
    let text = b"3\r\nabc\r\n0A;q\r\n0123456789\r\n0\r\n\r\nnext";
    for split in 0..text.len() {
        let mut decoder = ChunkedDecoder::default();
        let mut data = Vec::new();
        let mut consumed = 0;
        for bytes in [&text[..split], &text[split..]] {
            consumed += decoder
                .feed(bytes, |chunk| data.extend_from_slice(chunk))
                .unwrap();
        }
        assert_eq!(
            (data.as_slice(), consumed, decoder.has_ended()),
            (b"abc0123456789".as_slice(), text.len() - 4, true)
        );
    }
    for invalid in [
        "\r\n",
        "x\r\n",
        "3\r\nabcd",
        "3\n",
        "10000000000000000\r\n",
        "3;\n",
    ] {
        assert_eq!(
            ChunkedDecoder::default().feed(invalid.as_bytes(), |_| {}),
            Err(FramingError),
            "{invalid:?}"
        );
    }
}
