use super::*;

#[test]
fn head_is_discarded_wherever_its_bytes_are_split_and_nothing_behind_it() {
    let response = b"HTTP/1.1 200 OK\r\na: b\r\r\n\r\nf\r\n\r\n";
    let head_bytes = response.len() - b"f\r\n\r\n".len();
    for split in 0..=head_bytes {
        let mut head = DiscardedHead::default();
        let (first, second) = response.split_at(split);
        assert_eq!(head.feed(first), split);
        assert_eq!(head.is_complete(), split == head_bytes);
        assert_eq!(head.feed(second), head_bytes - split);
        assert!(head.is_complete());
        assert_eq!(head.feed(b"more"), 0);
    }
}
