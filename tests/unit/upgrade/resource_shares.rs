use super::*;
use crate::upgrade::test_support::announcement;

/// Lets the process at this index announce its target share, given what the others announce.
fn update_share(processes: &mut Vec<ProcessAnnouncement>, index: usize) {
    let own = processes.remove(index);
    let share = target_share(&own, processes);
    processes.insert(index, ProcessAnnouncement { share, ..own });
}

fn total_share(processes: &[ProcessAnnouncement]) -> u32 {
    processes.iter().map(|process| process.share).sum()
}

/// Random sequences in which up to three processes start, update their shares, begin to leave and exit.
#[test]
fn announced_shares_never_exceed_the_whole() {
    for seed in 0..500u64 {
        let mut random_state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |below: u64| {
            random_state = random_state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            (random_state >> 33) % below
        };
        let mut processes = vec![announcement(
            1,
            ProcessState::Serving,
            SHARE_UNITS - STARTING_SHARE,
        )];
        let mut last_started_at = 1;
        for _ in 0..200 {
            match draw(12) {
                0 if processes.len() < 3
                    && processes
                        .iter()
                        .all(|process| process.state != ProcessState::Starting) =>
                {
                    // A process starts only when the others have left a share free for it.
                    if total_share(&processes) < SHARE_UNITS {
                        last_started_at += 1;
                        processes.push(announcement(
                            last_started_at,
                            ProcessState::Starting,
                            STARTING_SHARE,
                        ));
                    }
                }
                1 if processes.len() > 1 => {
                    processes.remove(0);
                }
                2 => {
                    processes[0].state = if processes.len() > 1 {
                        ProcessState::Leaving
                    } else {
                        ProcessState::Serving
                    }
                }
                _ => {
                    let index = draw(processes.len() as u64) as usize;
                    update_share(&mut processes, index);
                }
            }
            assert!(
                total_share(&processes) <= SHARE_UNITS,
                "seed {seed}: {processes:?}"
            );
        }
    }
}

/// Shares are in sixteenths of the dispatcher's limits.
#[test]
fn successor_gets_about_half_beside_a_serving_predecessor_and_more_beside_a_leaving_one() {
    let own = announcement(2, ProcessState::Starting, STARTING_SHARE);
    assert_eq!(
        target_share(&own, &[announcement(1, ProcessState::Serving, 15)]),
        1
    );
    assert_eq!(
        target_share(&announcement(1, ProcessState::Serving, 15), &[own]),
        7
    );
    assert_eq!(
        target_share(&own, &[announcement(1, ProcessState::Serving, 7)]),
        9
    );
    assert_eq!(
        target_share(&own, &[announcement(1, ProcessState::Leaving, 4)]),
        12
    );
    assert_eq!(target_share(&own, &[]), 15);
}
