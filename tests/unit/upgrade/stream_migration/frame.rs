use super::*;

fn upstream_state(partial_event: &[u8]) -> UpstreamState {
    UpstreamState {
        chunks: ChunkedDecoder::default(),
        partial_event: Bytes::copy_from_slice(partial_event),
        idle_for: Duration::from_millis(1250),
    }
}

fn client_state() -> ClientState {
    ClientState {
        client_request_id: Some("9b1f".into()),
        connection: ConnectionState {
            unsent: Bytes::from_static(b"unsent"),
            pipelined: Bytes::from_static(b"pipe"),
            closes_after_response: true,
        },
    }
}

fn header(partial_event_bytes: usize) -> [u8; HEADER_BYTES] {
    let upstream = upstream_state(&vec![b'x'; partial_event_bytes]);
    let frame = format(FrameVersion::Position, &upstream, &client_state()).unwrap();
    assert_eq!(frame.len(), HEADER_BYTES + partial_event_bytes);
    *frame.first_chunk().unwrap()
}

#[test]
fn frame_header_parses_to_what_was_formatted_and_other_bytes_are_rejected() {
    let longest = FrameHeader::parse(&header(64 * 1024)).unwrap();
    assert_eq!(longest.partial_event_bytes, 64 * 1024);
    assert_eq!(longest.version, FrameVersion::Position);
    assert_eq!(
        longest.chunks.to_bytes(),
        ChunkedDecoder::default().to_bytes()
    );
    let mut too_long = header(64 * 1024);
    too_long[HEADER_BYTES - 1] = 1;
    assert!(FrameHeader::parse(&too_long).is_none());
    let too_long = upstream_state(&vec![b'x'; 64 * 1024 + 1]);
    assert!(format(FrameVersion::Position, &too_long, &client_state()).is_none());
    let mut wrong_magic = header(0);
    wrong_magic[3] = b'3';
    assert!(FrameHeader::parse(&wrong_magic).is_none());
    let mut wrong_position = header(0);
    wrong_position[4] = 9;
    assert!(FrameHeader::parse(&wrong_position).is_none());
}

#[test]
fn second_version_adds_the_request_and_the_connection() {
    let upstream = upstream_state(b"data: half");
    let frame = format(FrameVersion::WithConnection, &upstream, &client_state()).unwrap();
    let (header_bytes, rest) = frame.split_first_chunk().unwrap();
    let header = FrameHeader::parse(header_bytes).unwrap();
    assert_eq!(header.version, FrameVersion::WithConnection);
    assert_eq!(header.partial_event_bytes, 10);
    let (extension_bytes, parts) = rest.split_first_chunk().unwrap();
    let extension = FrameExtension::parse(extension_bytes).unwrap();
    assert!(extension.closes_connection);
    assert_eq!(extension.idle_ms, 1250);
    let lengths = [
        extension.unsent_bytes,
        extension.pipelined_bytes,
        extension.request_id_bytes,
    ];
    assert_eq!(lengths, [6, 4, 4]);
    assert_eq!(parts, b"data: halfunsentpipe9b1f");
}

#[test]
fn extension_that_announces_more_than_a_connection_keeps_back_is_rejected() {
    for (field, max_length) in [
        (0, MAX_BUFFERED_BYTES),
        (1, MAX_BUFFERED_BYTES),
        (2, MAX_REQUEST_ID_BYTES),
    ] {
        let mut extension = [0; EXTENSION_BYTES];
        let start = 1 + field * LENGTH_BYTES;
        let length = &mut extension[start..start + LENGTH_BYTES];
        length.copy_from_slice(&max_length.to_be_bytes());
        assert!(FrameExtension::parse(&extension).is_some());
        let length = &mut extension[start..start + LENGTH_BYTES];
        length.copy_from_slice(&(max_length + 1).to_be_bytes());
        assert!(FrameExtension::parse(&extension).is_none());
    }
}
