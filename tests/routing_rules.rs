//! Each of the five rules at its edge.

mod router_harness;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use router_harness::*;

fn pair() -> Vec<EndpointRecord> {
    vec![server(1, Role::Prefill), server(2, Role::Decode)]
}

fn desk(effect: Idempotency, servers: Vec<EndpointRecord>) -> RouterHarness {
    RouterHarness::new(settings(vec![class(1.0, effect)]), servers)
}

/// Two mixed servers in different zones and cells.
fn mixed() -> Vec<EndpointRecord> {
    vec![
        server(1, Role::Mixed),
        EndpointRecord {
            zone: 1,
            cell: 1,
            ..server(2, Role::Mixed)
        },
    ]
}

#[test]
fn a_request_without_servers_is_answered_once_in_time() {
    let mut desk = desk(Idempotency::Idempotent, vec![]);
    let mut actions = desk.ask(ask(1, 1));
    actions.extend(desk.pass(4 * SECOND));
    assert_eq!(finals(&actions, 1), 1);
    assert_eq!(sent_to(&actions, 1), None);
}

#[test]
fn a_silent_reader_does_not_keep_the_final_answer_back() {
    let mut desk = desk(Idempotency::Idempotent, pair());
    let mut actions = desk.ask(ask(1, 1));
    assert_eq!(sent_to(&actions, 1), Some(1));
    actions.extend(desk.pass(3_990 * MS));
    assert_eq!(finals(&actions, 1), 0);
    actions.extend(desk.pass(10 * MS));
    assert_eq!(finals(&actions, 1), 1);
    let late = desk.outcome(1, 0, 1, AttemptStatus::PrefillDone);
    assert!(
        late.contains(&Action::ReleaseReservation { id: 1 }),
        "a late 'read' is let go: {late:?}"
    );
    assert_eq!(sent_to(&late, 1), None);
}

/// Each send to a writer that can't be reached takes the time in which a connection may come up: none begins when the
/// state is due.
#[test]
fn a_writer_that_can_not_be_reached_is_not_tried_beyond_the_time_of_a_state() {
    let mut desk = desk(Idempotency::Idempotent, pair());
    desk.ask(ask(1, 1));
    let mut actions = desk.outcome(1, 0, 1, AttemptStatus::PrefillDone);
    let read_at = desk.now;
    for attempt in 1..4 {
        assert_eq!(
            sent_to(&actions, 1),
            Some(2),
            "after {} us",
            desk.now - read_at
        );
        desk.pass(150 * MS);
        actions = desk.outcome(1, attempt, 2, AttemptStatus::ConnectFailed);
    }
    assert_eq!((sent_to(&actions, 1), finals(&actions, 1)), (None, 1));
    assert!(
        actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

#[test]
fn expires_in_counts_and_not_the_class() {
    let mut desk = desk(Idempotency::Idempotent, pair());
    let mut actions = desk.ask(RequestMetadata {
        time_left: 300 * MS,
        ..ask(1, 1)
    });
    actions.extend(desk.pass(300 * MS));
    assert_eq!(finals(&actions, 1), 1);
}

#[test]
fn a_client_that_left_gets_nothing_and_its_state_is_let_go() {
    let mut desk = desk(Idempotency::Idempotent, pair());
    desk.ask(ask(1, 1));
    let mut actions = desk.hear(Event::ClientDisconnected { id: 1 });
    actions.extend(desk.outcome(1, 0, 1, AttemptStatus::PrefillDone));
    actions.extend(desk.pass(5 * SECOND));
    assert_eq!(finals(&actions, 1), 0);
    assert_eq!(sent_to(&actions, 1), None);
    assert!(actions.contains(&Action::ReleaseReservation { id: 1 }));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let mut desk = desk(Idempotency::NonIdempotent, mixed());
        let sent = sent_to(&desk.ask(ask(1, 1)), 1).expect("sent");
        let mut actions = desk.outcome(1, 0, sent, status);
        actions.extend(desk.pass(4 * SECOND));
        assert_eq!(sent_to(&actions, 1), None, "{status:?}");
        let failed = Action::Fail {
            id: 1,
            reason: FailureReason::NotRepeatable,
        };
        assert!(actions.contains(&failed), "{status:?}: {actions:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_sent_again() {
    for status in [AttemptStatus::Overloaded, AttemptStatus::ConnectFailed] {
        let mut desk = desk(Idempotency::NonIdempotent, mixed());
        let sent = sent_to(&desk.ask(ask(1, 1)), 1).expect("sent");
        let again = desk.outcome(1, 0, sent, status);
        assert!(sent_to(&again, 1).is_some(), "{status:?}");
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_window() {
    let window = SECOND;
    for (group, wait, may) in [
        (DeduplicationScope::AllEndpoints, 0, true),
        (DeduplicationScope::Zone, 0, false),
        (DeduplicationScope::Cell, 0, false),
        (DeduplicationScope::AllEndpoints, 2 * SECOND, false),
    ] {
        let mut desk = desk(
            Idempotency::IdempotencyKey {
                scope: group,
                window,
            },
            mixed(),
        );
        let sent = sent_to(&desk.ask(ask(1, 1)), 1).expect("sent");
        desk.pass(wait);
        // The first server is gone, so only the other one could take the repeat.
        let gone = EndpointRecord {
            status: EndpointStatus::Removed,
            ..server(sent, Role::Mixed)
        };
        desk.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                zone: sent - 1,
                cell: sent - 1,
                ..gone
            }],
        });
        let mut actions = desk.outcome(1, 0, sent, AttemptStatus::Error);
        actions.extend(desk.pass(4 * SECOND));
        assert_eq!(
            sent_to(&actions, 1).is_some(),
            may,
            "{group:?} after {wait}"
        );
        let refused = actions
            .iter()
            .any(|action| matches!(action, Action::Shed { .. }));
        assert!(
            !refused,
            "all of this ends when repeats are not dropped any more: trying again would do harm"
        );
    }
}

/// A refusal says that trying again is harmless. After an attempt that may have run that holds only while repeats are dropped
/// by all servers.
#[test]
fn what_may_have_run_is_refused_only_while_repeats_are_dropped() {
    for (group, ends_in, refused) in [
        (DeduplicationScope::AllEndpoints, 500 * MS, true),
        (DeduplicationScope::AllEndpoints, 1_500 * MS, false),
        (DeduplicationScope::Zone, 500 * MS, false),
        (DeduplicationScope::Cell, 500 * MS, false),
    ] {
        let mut desk = desk(
            Idempotency::IdempotencyKey {
                scope: group,
                window: SECOND,
            },
            mixed(),
        );
        sent_to(&desk.ask(ask(1, 1)), 1).expect("sent");
        let end = desk.now + ends_in;
        let mut actions = desk.hear(Event::ShutdownDeadline(end));
        actions.extend(desk.pass(ends_in + 10 * MS));
        let refusals = actions
            .iter()
            .filter(|it| matches!(it, Action::Shed { .. }))
            .count();
        assert_eq!(
            (finals(&actions, 1), refusals == 1),
            (1, refused),
            "{group:?} after {ends_in}"
        );
    }
}

#[test]
fn no_second_copy_where_none_is_allowed() {
    let rules = RoutingSettings {
        hedging_allowed: false,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let mut desk = RouterHarness::new(
        rules,
        vec![
            server(1, Role::Prefill),
            server(3, Role::Prefill),
            server(2, Role::Decode),
        ],
    );
    for id in 0..60 {
        desk.serve(ask(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let mut actions = desk.ask(ask(100, 100));
    actions.extend(desk.pass(3 * SECOND));
    let sends = actions
        .iter()
        .filter(|action| matches!(action, Action::StartAttempt { id: 100, .. }))
        .count();
    assert_eq!(sends, 1);
}

#[test]
fn nothing_new_goes_to_a_leaving_server() {
    for state in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut desk = desk(Idempotency::Idempotent, pair());
        desk.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                status: state,
                ..server(1, Role::Prefill)
            }],
        });
        let mut actions = desk.ask(ask(1, 1));
        actions.extend(desk.pass(4 * SECOND));
        assert_eq!(sent_to(&actions, 1), None, "{state:?}");
    }
    let mut desk = desk(Idempotency::Idempotent, pair());
    desk.hear(Event::EndpointsChanged {
        is_full: true,
        endpoints: vec![server(2, Role::Decode)],
    });
    assert_eq!(
        sent_to(&desk.ask(ask(1, 1)), 1),
        None,
        "absent from a complete list"
    );
}

#[test]
fn a_burst_does_not_push_a_cold_server_over() {
    let mut desk = desk(Idempotency::Idempotent, pair());
    for id in 0..40 {
        desk.serve(ask(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let cold = EndpointRecord {
        started_at: Some(desk.now),
        ..server(1, Role::Prefill)
    };
    desk.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![cold],
    });
    let sends = (100..150)
        .filter(|id| sent_to(&desk.ask(ask(*id, *id)), *id).is_some())
        .count();
    // The warm reader had about 16 reads a second; a cold one may get 0.3 x 2.5 of that in a second.
    assert!(
        (1..=12).contains(&sends),
        "{sends} sent to a cold server at once"
    );
}

/// What a cold server may get is told by those that bear the load: with leaving ones counted too, its successors
/// stood idle through a deploy while the rest jammed.
#[test]
fn leaving_servers_do_not_cut_what_a_cold_one_may_get() {
    let readers = (1..=6).map(|id| server(id, Role::Prefill));
    let mut desk = desk(
        Idempotency::Idempotent,
        readers.chain([server(12, Role::Decode)]).collect(),
    );
    let leaving = (2..=6)
        .map(|id| EndpointRecord {
            status: EndpointStatus::Draining,
            ..server(id, Role::Prefill)
        })
        .collect();
    desk.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: leaving,
    });
    for id in 0..300 {
        desk.serve(ask(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let cold = EndpointRecord {
        started_at: Some(desk.now),
        ..server(7, Role::Prefill)
    };
    desk.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![cold],
    });
    let sent = (1_000..1_100).filter(|id| {
        let reader = sent_to(&desk.ask(ask(*id, *id)), *id).expect("sent");
        desk.hear(Event::ClientDisconnected { id: *id });
        desk.outcome(*id, 0, reader, AttemptStatus::Cancelled);
        reader == 7
    });
    let sent = sent.count();
    // Reader 1 has had about 16 reads a second; 0.3 x 2.5 of that in a second is 12, and a sixth of it 2.
    assert!((8..=12).contains(&sent), "{sent} sent to the cold server");
}

#[test]
fn a_state_that_no_writer_takes_is_let_go_in_time() {
    let mut desk = desk(Idempotency::Idempotent, vec![server(1, Role::Prefill)]);
    desk.ask(ask(1, 1));
    desk.pass(50 * MS);
    let mut actions = desk.outcome(1, 0, 1, AttemptStatus::PrefillDone);
    actions.extend(desk.pass(499 * MS));
    assert!(
        actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

#[test]
fn a_second_copy_read_after_the_first_is_let_go() {
    let mut desk = desk(
        Idempotency::Idempotent,
        vec![
            server(1, Role::Prefill),
            server(3, Role::Prefill),
            server(2, Role::Decode),
        ],
    );
    for id in 0..60 {
        desk.serve(ask(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let first = sent_to(&desk.ask(ask(100, 100)), 100).expect("sent");
    let second = sent_to(&desk.pass(SECOND), 100).expect("an overdue read gets a second copy");
    assert_ne!(first, second);
    let taken = desk.outcome(100, 1, second, AttemptStatus::PrefillDone);
    assert!(taken.contains(&Action::CancelAttempt {
        id: 100,
        attempt: 0
    }));
    desk.hear(Event::FirstEvent {
        id: 100,
        attempt: 2,
    });
    assert!(desk
        .outcome(100, 0, first, AttemptStatus::PrefillDone)
        .contains(&Action::ReleaseReservation { id: 100 }));
}

/// Requests of a whole fleet of routers, a hundred a second in turn, with half of eight readers started anew after 20 s.
/// Tells what each of the cold ones got in each second from then on.
fn sends_to_cold_readers(balancers: u32) -> Vec<[usize; 4]> {
    let rules = RoutingSettings {
        dispatchers: balancers,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let fleet: Vec<_> = (1..=8)
        .map(|id| server(id, Role::Prefill))
        .chain([server(12, Role::Decode)])
        .collect();
    let router = |seed| {
        let mut desk = RouterHarness::new(rules.clone(), fleet.clone());
        desk.router = Router::new(rules.clone(), u64::from(seed), 0);
        desk.hear(Event::TimerFired);
        desk.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: fleet.clone(),
        });
        desk
    };
    let mut desks: Vec<RouterHarness> = (0..balancers).map(router).collect();
    let mut sent = vec![[0; 4]; 8];
    for id in 0..2_800 {
        let now = id * 10 * MS;
        let turn =
            (quartzhall::config::fnv1a_hash(&id.to_string()) % u64::from(balancers)) as usize;
        if now == 20 * SECOND {
            let cold = |id| EndpointRecord {
                started_at: Some(now),
                ..server(id, Role::Prefill)
            };
            let entries: Vec<_> = (1..=4).map(cold).collect();
            desks.iter_mut().for_each(|desk| {
                desk.now = desk.now.max(now);
                desk.hear(Event::EndpointsChanged {
                    is_full: false,
                    endpoints: entries.clone(),
                });
            });
        }
        let desk = &mut desks[turn];
        desk.pass(now.saturating_sub(desk.now));
        let textless = RequestMetadata {
            session: None,
            ..ask(id, id)
        };
        let reader = desk.serve(textless, 4 * MS, 4 * MS, 4 * MS)[0];
        if now >= 20 * SECOND && reader <= 4 {
            sent[((now - 20 * SECOND) / SECOND) as usize][reader as usize - 1] += 1;
        }
    }
    sent
}

/// A part of one send is drawn by lot: a hundred routers make no hundred sends of it, nor none. When a lot held for a
/// span of the rule, it mostly lapsed where requests are few, and cold readers stood idle while the warm ones jammed.
#[test]
fn routers_together_use_what_cold_servers_may_get_and_no_more() {
    for balancers in [2, 20, 200] {
        let sent = sends_to_cold_readers(balancers);
        // A warm reader had 12 to 13 reads a second; a cold one may get 0.3 x 2.5 of what it could do warm.
        let most = sent.iter().flatten().max();
        assert!(
            most <= Some(&16),
            "{balancers} routers: {sent:?} in a second each"
        );
        let all: usize = sent.iter().flatten().sum();
        assert!(
            all >= 100,
            "{balancers} routers sent {all} requests to cold readers in 8 s: {sent:?}"
        );
    }
}

/// A fleet's sends to readers that come back cold after 20 s, a hundred requests a second: a quarter of the routers has
/// two thirds of the traffic, a third of them hears of the start a second late, and seven in ten are started anew in the
/// moment in which the readers are. Tells the most by which sends of those that had heard exceeded `N + 2 sqrt(N) + 2` in
/// any span of the rule, `N` being the multiple of what the reader can bear then.
fn excess_at_cold_readers(balancers: u32, seed: u64) -> f64 {
    let rules = RoutingSettings {
        dispatchers: balancers,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let mixed = |it: u64| quartzhall::config::fnv1a_hash(&format!("{seed}, {it}"));
    let fleet: Vec<_> = (1..=8)
        .map(|id| server(id, Role::Prefill))
        .chain([server(12, Role::Decode)])
        .collect();
    let start = 20 * SECOND;
    let cold: Vec<_> = (1..=4)
        .map(|id| EndpointRecord {
            started_at: Some(start),
            ..server(id, Role::Prefill)
        })
        .collect();
    let router = |now: Time, number: u32| {
        let mut desk = RouterHarness::new(rules.clone(), Vec::new());
        desk.now = now;
        desk.router = Router::new(rules.clone(), mixed(u64::from(number) + now), now);
        desk.hear(Event::TimerFired);
        desk.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: fleet.clone(),
        });
        desk
    };
    let mut desks: Vec<(RouterHarness, bool)> = (0..balancers)
        .map(|number| (router(0, number), false))
        .collect();
    let mut sent: Vec<Vec<Time>> = vec![Vec::new(); 4];
    for id in 0..3_000 {
        let now = id * 10 * MS;
        if now == start {
            for number in (0..balancers).filter(|number| mixed(u64::from(*number)) % 10 < 7) {
                desks[number as usize] = (router(now, number), false);
            }
        }
        let draw = mixed(1_000_000 + id);
        let all = u64::from(balancers);
        let turn = if draw % 3 < 2 {
            draw / 3 % all.div_ceil(4)
        } else {
            draw / 3 % all
        } as usize;
        let (desk, told) = &mut desks[turn];
        desk.pass(now.saturating_sub(desk.now));
        let hears = start
            + if mixed(2_000_000 + turn as u64).is_multiple_of(3) {
                SECOND
            } else {
                0
            };
        if now >= hears && !*told {
            *told = true;
            desk.hear(Event::EndpointsChanged {
                is_full: false,
                endpoints: cold.clone(),
            });
        }
        let told = *told;
        let reader = desk.serve(
            RequestMetadata {
                session: None,
                ..ask(id, id)
            },
            4 * MS,
            4 * MS,
            4 * MS,
        )[0];
        if told && reader <= 4 {
            sent[reader as usize - 1].push(now);
        }
    }
    let mut worst = f64::MIN;
    for times in sent {
        for (at, from) in times.iter().enumerate() {
            let in_span = times[at..]
                .iter()
                .take_while(|time| **time < from + rules.overload_window)
                .count() as f64;
            let age = ((from - start) as f64 / rules.slow_start_duration as f64).min(1.0);
            // Eight warm readers bear a hundred requests a second between them.
            let able = 100.0 / 8.0
                * (rules.slow_start_initial_share + (1.0 - rules.slow_start_initial_share) * age);
            let budget =
                rules.overload_threshold * able * rules.overload_window as f64 / SECOND as f64;
            worst = worst.max(in_span - budget - 2.0 * budget.sqrt() - 2.0);
        }
    }
    worst
}

/// However many routers there are, however uneven their traffic, and though most of them have just begun to count.
#[test]
fn no_cold_server_falls_under_the_sum_of_all_routers() {
    for (balancers, seeds) in [(2, 12), (5, 12), (30, 4), (300, 1)] {
        for seed in 0..seeds {
            let worst = excess_at_cold_readers(balancers, seed);
            assert!(
                worst <= 0.0,
                "{balancers} routers, seed {seed}: {worst} requests too many"
            );
        }
    }
}

/// A slow reader makes a safe request go out twice; a single-shot one waits, for nothing proves that the
/// read that is out had no effect.
#[test]
fn no_second_read_of_an_unsafe_request_while_the_first_is_out() {
    for (effect, copies) in [
        (Idempotency::Idempotent, 1),
        (Idempotency::NonIdempotent, 0),
    ] {
        let servers = vec![
            server(1, Role::Prefill),
            server(3, Role::Prefill),
            server(2, Role::Decode),
        ];
        let mut desk = desk(effect, servers);
        assert!(sent_to(&desk.ask(ask(1, 1)), 1).is_some());
        let later = desk.pass(3_900 * MS);
        let sends = later
            .iter()
            .filter(|action| matches!(action, Action::StartAttempt { id: 1, .. }))
            .count();
        assert_eq!(sends, copies, "{effect:?}: {later:?}");
    }
}

/// The read state of one copy is on its way to a writer when the other copy ends: a release then would take
/// both, and the writer would find none. What is left goes with the first token.
#[test]
fn a_second_read_that_ends_takes_no_state_from_the_writer() {
    let servers = vec![
        server(1, Role::Prefill),
        server(3, Role::Prefill),
        server(2, Role::Decode),
    ];
    let mut desk = desk(Idempotency::Idempotent, servers);
    let first = sent_to(&desk.ask(ask(1, 1)), 1).expect("a read");
    let second = sent_to(&desk.pass(3_000 * MS), 1).expect("a second read");
    let actions = desk.outcome(1, 0, first, AttemptStatus::PrefillDone);
    assert_eq!(sent_to(&actions, 1), Some(2));
    let actions = desk.outcome(1, 1, second, AttemptStatus::PrefillDone);
    assert!(
        !actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

/// Nothing more can be done for it, and its client can act on that now, not when its time is nearly up.
#[test]
fn what_may_have_run_and_must_not_again_is_failed_at_once() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let mut desk = desk(
            Idempotency::NonIdempotent,
            [pair(), vec![server(3, Role::Decode)]].concat(),
        );
        desk.ask(ask(1, 1));
        let writer =
            sent_to(&desk.outcome(1, 0, 1, AttemptStatus::PrefillDone), 1).expect("a writer");
        let actions = desk.outcome(1, 1, writer, status);
        let failed = Action::Fail {
            id: 1,
            reason: FailureReason::NotRepeatable,
        };
        assert!(actions.contains(&failed), "{status:?}: {actions:?}");
        assert!(
            actions.contains(&Action::ReleaseReservation { id: 1 }),
            "{status:?}: {actions:?}"
        );
        assert_eq!(finals(&desk.pass(5 * SECOND), 1), 0);
    }
}

/// A writer that failed may have taken the state. With three attempts left another is asked for it; with two they
/// are for reading anew and writing, and none is spent on finding the state gone.
#[test]
fn the_last_two_attempts_read_anew_and_write() {
    for (most, again) in [(5, Role::Decode), (4, Role::Prefill)] {
        let tight = RoutingSettings {
            max_attempts: most,
            ..settings(vec![class(1.0, Idempotency::Idempotent)])
        };
        let servers = [
            pair(),
            vec![server(3, Role::Decode), server(4, Role::Prefill)],
        ]
        .concat();
        let mut desk = RouterHarness::new(tight, servers);
        let reader = sent_to(&desk.ask(ask(1, 1)), 1).expect("a reader");
        let writer =
            sent_to(&desk.outcome(1, 0, reader, AttemptStatus::PrefillDone), 1).expect("a writer");
        let next =
            sent_to(&desk.outcome(1, 1, writer, AttemptStatus::Error), 1).expect("sent again");
        assert_eq!(matches!(next, 2 | 3), again == Role::Decode, "{next}");
    }
}
