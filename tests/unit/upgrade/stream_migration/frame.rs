use super::*;

fn header(partial_event_bytes: u32) -> [u8; HEADER_BYTES] {
    let header = FrameHeader {
        chunks: ChunkedDecoder::default(),
        partial_event_bytes,
    };
    header.to_bytes().try_into().unwrap()
}

#[test]
fn frame_header_parses_to_what_was_formatted_and_other_bytes_are_rejected() {
    let longest = FrameHeader::parse(&header(64 * 1024)).unwrap();
    assert_eq!(longest.partial_event_bytes, 64 * 1024);
    assert_eq!(
        longest.chunks.to_bytes(),
        ChunkedDecoder::default().to_bytes()
    );
    assert!(FrameHeader::parse(&header(64 * 1024 + 1)).is_none());
    let mut wrong_magic = header(0);
    wrong_magic[3] = b'2';
    assert!(FrameHeader::parse(&wrong_magic).is_none());
    let mut wrong_position = header(0);
    wrong_position[4] = 9;
    assert!(FrameHeader::parse(&wrong_position).is_none());
}
