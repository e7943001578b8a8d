use super::*;
use futures_util::FutureExt;

fn chunk(bytes: usize) -> Bytes {
    vec![b'x'; bytes].into()
}

#[test]
fn a_chunk_takes_its_part_of_the_window_until_its_last_clone_is_dropped() {
    let window = UnreadWindow::new();
    let first = window.admit(chunk(MAX_UNREAD_BYTES - 10)).now_or_never();
    let first = first.expect("the window is free");
    assert_eq!(first.len(), MAX_UNREAD_BYTES - 10);
    assert!(window.admit(chunk(11)).now_or_never().is_none());
    let second = window.admit(chunk(10)).now_or_never();
    assert!(second.is_some() && !window.is_free());
    let clone = first.clone();
    drop((first, second));
    assert!(window.admit(chunk(11)).now_or_never().is_none());
    drop(clone);
    assert!(window.is_free());
}

#[test]
fn a_chunk_that_is_longer_than_the_window_waits_alone() {
    let window = UnreadWindow::new();
    let short = window.admit(chunk(1)).now_or_never();
    let long = 2 * MAX_UNREAD_BYTES;
    assert!(window.admit(chunk(long)).now_or_never().is_none());
    drop(short);
    let admitted = window.admit(chunk(long)).now_or_never();
    assert_eq!(admitted.expect("the window is free").len(), long);
}
