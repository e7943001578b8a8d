use super::*;

fn notice(born: u64, phase: ProcessState, part: u32) -> ProcessAnnouncement {
    ProcessAnnouncement {
        started_at: born,
        state: phase,
        share: part,
    }
}

#[test]
fn a_notice_is_read_as_it_was_written_and_nothing_else_is() {
    for phase in [
        ProcessState::Starting,
        ProcessState::Serving,
        ProcessState::Leaving,
    ] {
        let notice = notice(1_700_000_000_000_000, phase, 15);
        assert_eq!(ProcessAnnouncement::parse(&notice.to_line()), Some(notice));
        assert_eq!(notice.to_line().len(), 35);
        let line = notice.to_line();
        for cut in 0..line.len() {
            assert_eq!(ProcessAnnouncement::parse(&line[..cut]), None);
        }
    }
    for bad in [
        "2 5 serving 03\n",
        "1 5 serving 17\n",
        "1 5 resting 03\n",
        "1 5 serving 03 04\n",
        "1 x serving 1\n",
    ] {
        assert_eq!(ProcessAnnouncement::parse(bad), None);
    }
}

/// Three processes, one after another, each coming to its part at any moment: the whole is never exceeded.
#[test]
fn the_whole_is_never_exceeded() {
    for seed in 0..500u64 {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |below: u64| {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            (state >> 33) % below
        };
        let mut alive = vec![notice(1, ProcessState::Serving, SHARE_UNITS - START)];
        let mut born = 1;
        for _ in 0..200 {
            match draw(12) {
                0 if alive.len() < 3
                    && alive.iter().all(|it| it.state != ProcessState::Starting) =>
                {
                    // A second one starts only when the first has come down, as a third one's does.
                    let kept: u32 = alive.iter().map(|it| it.share).sum();
                    if kept < SHARE_UNITS {
                        born += 1;
                        alive.push(notice(born, ProcessState::Starting, START));
                    }
                }
                1 if alive.len() > 1 => drop(alive.remove(0)),
                2 => {
                    alive[0].state = if alive.len() > 1 {
                        ProcessState::Leaving
                    } else {
                        ProcessState::Serving
                    }
                }
                _ => {
                    let at = draw(alive.len() as u64) as usize;
                    let own = alive.remove(at);
                    let to = target_share(&own, &alive);
                    alive.insert(at, ProcessAnnouncement { share: to, ..own });
                }
            }
            let kept: u32 = alive.iter().map(|it| it.share).sum();
            assert!(kept <= SHARE_UNITS, "seed {seed}: {alive:?}");
        }
    }
}

#[test]
fn the_young_one_gets_half_beside_one_that_serves_and_more_beside_one_that_leaves() {
    let own = notice(2, ProcessState::Starting, START);
    assert_eq!(
        target_share(&own, &[notice(1, ProcessState::Serving, 15)]),
        1
    );
    assert_eq!(
        target_share(&notice(1, ProcessState::Serving, 15), &[own]),
        7
    );
    assert_eq!(
        target_share(&own, &[notice(1, ProcessState::Serving, 7)]),
        9
    );
    assert_eq!(
        target_share(&own, &[notice(1, ProcessState::Leaving, 4)]),
        12
    );
    assert_eq!(target_share(&own, &[]), 15);
}
