use super::*;
use crate::gossip::Gossip;
use quickcheck::{Gen, QuickCheck};

const START: Time = 1_700_000_000_000_000;

#[test]
fn garbage_is_dropped_or_read_within_bounds() {
    fn observations_are_within_bounds(message: &[u8]) -> bool {
        Gossip::new(100, 0.0028)
            .receive(START, 1, message)
            .into_iter()
            .flatten()
            .all(|observation| {
                let load = observation.load.unwrap_or_default();
                observation.key <= 0x00ff_ffff
                    && load.in_flight.unwrap_or(0.0) <= MAX_IN_FLIGHT
                    && load.kv_memory_share.unwrap_or(0.0) <= 1.0
            })
    }
    fn property(bytes: Vec<u8>, timestamp: u16) -> bool {
        let mut message = vec![FORMAT_VERSION];
        message.extend(timestamp.to_be_bytes());
        message.extend(&bytes);
        observations_are_within_bounds(&message) && observations_are_within_bounds(&bytes)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 7))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>, u16) -> bool);
}
