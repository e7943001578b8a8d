//! The ordinary path: affinity, learning, refusal, health, and the same decisions from the same seed.

mod router_harness;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use router_harness::*;

fn fleet() -> Vec<EndpointRecord> {
    let readers = (1..=4).map(|id| server(id, Role::Prefill));
    readers
        .chain((11..=13).map(|id| server(id, Role::Decode)))
        .collect()
}

fn desk() -> RouterHarness {
    RouterHarness::new(
        settings(vec![
            class(3.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
        ]),
        fleet(),
    )
}

/// A router that has served 80 requests one after another, with streams of this length.
fn served(settings: RoutingSettings, servers: Vec<EndpointRecord>, stream: Time) -> RouterHarness {
    let mut desk = RouterHarness::new(settings, servers);
    for id in 0..80 {
        desk.serve(ask(id, id), 40 * MS, 30 * MS, stream);
    }
    desk
}

fn taught() -> RouterHarness {
    let mut desk = desk();
    for id in 0..80 {
        assert_eq!(desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS).len(), 2);
    }
    desk.pass(2 * SECOND);
    desk
}

#[test]
fn a_session_comes_back_to_its_reader() {
    let mut desk = taught();
    let mut back = 0;
    for id in 1_000..1_050 {
        let home = desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS)[0];
        let next = RequestMetadata {
            prompt_tokens: 2_200.0,
            ..ask(id + 1_000, id)
        };
        let reader = desk.serve_by(next, |_| 30 * MS, 2_000.0, 30 * MS, 50 * MS)[0];
        back += usize::from(reader == home);
    }
    assert!(back >= 46, "{back} of 50 came back");
}

#[test]
fn a_reader_that_forgot_is_not_taken_for_warm() {
    let mut desk = taught();
    let home = desk.serve(ask(1_000, 5_000), 40 * MS, 30 * MS, 50 * MS)[0];
    let restarted = EndpointRecord {
        started_at: Some(1),
        ..server(home, Role::Prefill)
    };
    desk.hear(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![restarted],
    });
    let away = (2_000..2_040).filter(|id| {
        let reader = sent_to(
            &desk.ask(RequestMetadata {
                prompt_tokens: 2_200.0,
                ..ask(*id, 5_000)
            }),
            *id,
        );
        desk.hear(Event::ClientDisconnected { id: *id });
        reader != Some(home)
    });
    assert!(away.count() > 15, "a restart voids what the table says");
}

#[test]
fn texts_that_are_half_forgotten_keep_to_their_home() {
    // Guards against the jam after a flush: with no match over the threshold all readers counted as equal.
    let mut desk = desk();
    for id in 0..80 {
        desk.serve_by(ask(id, id), |_| 40 * MS, 1_000.0, 30 * MS, 50 * MS);
    }
    let mut home = |session: u64, times: u64| {
        let sent = (0..times).map(|time| {
            let id = session * 100 + time;
            let reader = sent_to(&desk.ask(ask(id, session)), id);
            desk.hear(Event::ClientDisconnected { id });
            desk.outcome(id, 0, reader.unwrap_or_default(), AttemptStatus::Cancelled);
            reader
        });
        sent.collect::<Vec<_>>()
    };
    let same = (1_000..1_030)
        .filter(|session| home(*session, 3).windows(2).all(|pair| pair[0] == pair[1]));
    let same = same.count();
    assert!(same >= 25, "{same} of 30 sessions kept to one reader");
}

#[test]
fn a_slow_reader_is_learned_and_avoided() {
    let alone = RoutingSettings {
        hedging_allowed: false,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut desk = served(alone, fleet(), 50 * MS);
    let mut slow = 0;
    for id in 1_000..1_100 {
        let took = |reader| if reader == 1 { 700 * MS } else { 40 * MS };
        let reader = desk.serve_by(ask(id, id), took, 0.0, 30 * MS, 50 * MS)[0];
        slow += usize::from(reader == 1);
    }
    assert!(slow < 15, "{slow} of 100 went to the slow reader");
}

#[test]
fn a_stalled_reader_shows_before_it_answers() {
    let mut desk = taught();
    let stalled = sent_to(&desk.ask(ask(1_000, 1_000)), 1_000).expect("sent");
    desk.pass(800 * MS);
    let again = (2_000..2_060)
        .filter(|id| sent_to(&desk.ask(ask(*id, *id)), *id) == Some(stalled))
        .count();
    assert!(again <= 8, "{again} of 60 went to the stalled reader");
}

#[test]
fn a_state_leaves_its_rack_before_a_stalled_writer_there_is_hopeless() {
    // The price of leaving the rack kept states at writers with full memory until all that waited was late.
    let cell = |id, role, cell| EndpointRecord {
        cell,
        ..server(id, role)
    };
    let fleet = [
        cell(1, Role::Prefill, 0),
        cell(11, Role::Decode, 0),
        cell(12, Role::Decode, 1),
    ];
    let alone = RoutingSettings {
        kv_transfer_cost: 0.08,
        load_reporting: LoadReporting::Never,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut desk = served(alone, fleet.to_vec(), 50 * MS);
    let mut written = |id, after| {
        let reader = sent_to(&desk.ask(ask(id, id)), id).expect("read");
        desk.pass(40 * MS);
        let writer =
            sent_to(&desk.outcome(id, 0, reader, AttemptStatus::PrefillDone), id).expect("written");
        desk.pass(after);
        writer
    };
    let at_home = (1_000..1_004)
        .filter(|id| written(*id, 10 * MS) == 11)
        .count();
    assert_eq!(at_home, 4, "nothing is late yet");
    written(2_000, 400 * MS);
    let away = (3_000..3_010).filter(|id| written(*id, MS) == 12).count();
    assert!(
        away >= 8,
        "{away} of 10 left a writer that has been silent for 0.4 s of an aim of 1 s"
    );
}

#[test]
fn a_writer_is_not_filled_beyond_its_memory() {
    // Without reports own counts tell how full a writer is: 20 of these prompts fill one.
    let rack = |id, role, cell| EndpointRecord {
        cell,
        kv_capacity_tokens: 50_000.0,
        ..server(id, role)
    };
    let fleet = [
        rack(1, Role::Prefill, 0),
        rack(11, Role::Decode, 0),
        rack(12, Role::Decode, 1),
    ];
    let settings = RoutingSettings {
        dispatchers: 1,
        kv_transfer_cost: 0.08,
        load_reporting: LoadReporting::Never,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut desk = served(settings, fleet.to_vec(), 2 * SECOND);
    let mut writers = vec![];
    for id in 1_000..1_040 {
        let reader = sent_to(&desk.ask(ask(id, id)), id).expect("read");
        desk.pass(40 * MS);
        let writer =
            sent_to(&desk.outcome(id, 0, reader, AttemptStatus::PrefillDone), id).expect("written");
        desk.pass(30 * MS);
        desk.hear(Event::FirstEvent { id, attempt: 1 });
        writers.push(writer);
    }
    let at_home = writers.iter().filter(|it| **it == 11).count();
    assert!(
        (20..=32).contains(&at_home),
        "{at_home} of 40 in the reader's rack, where 24 find room"
    );
    let early = writers[..14].iter().filter(|it| **it == 11).count();
    assert!(
        early >= 12,
        "{early} of the first 14: the rack is left only when it is nearly full"
    );
}

/// What is done for a request whose read falls silent, where later ones at its reader come back or don't.
fn after_silence(second_copies: bool, others_come_back: bool) -> Vec<Action> {
    let alone = RoutingSettings {
        hedging_allowed: second_copies,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut desk = served(alone, fleet(), 50 * MS);
    let reader = sent_to(&desk.ask(ask(1_000, 1_000)), 1_000).expect("sent");
    desk.pass(2 * MS);
    let later = (2_000..2_020).filter(|id| sent_to(&desk.ask(ask(*id, *id)), *id) == Some(reader));
    let later: Vec<RequestId> = later.collect();
    assert!(!later.is_empty(), "some go to the same reader");
    let mut actions = desk.pass(40 * MS);
    for id in later.into_iter().filter(|_| others_come_back) {
        actions.extend(desk.outcome(id, 0, reader, AttemptStatus::PrefillDone));
    }
    actions.extend(desk.pass(SECOND));
    actions.extend(desk.outcome(1_000, 0, reader, AttemptStatus::Cancelled));
    let of_it = |it: &Action| {
        matches!(
            it,
            Action::CancelAttempt { id: 1_000, .. } | Action::StartAttempt { id: 1_000, .. }
        )
    };
    actions.retain(of_it);
    actions
}

#[test]
fn a_read_whose_answer_is_lost_is_given_up_where_no_copy_is_allowed() {
    // A connection that falls silent held its request until the client's time was up: no second copy may be sent, and
    // nothing ended the first.
    let lost = after_silence(false, true);
    assert!(
        matches!(
            lost[0],
            Action::CancelAttempt {
                id: 1_000,
                attempt: 0
            }
        ),
        "{lost:?}"
    );
    assert!(
        matches!(lost[1], Action::StartAttempt { id: 1_000, .. }),
        "elsewhere, once the first has ended: {lost:?}"
    );
    let copied = after_silence(true, true);
    assert!(
        matches!(copied[0], Action::StartAttempt { id: 1_000, .. }),
        "a copy where that is allowed: {copied:?}"
    );
    // A reader that is only slow answers in order: what waits there is not begun anew elsewhere.
    let waits = after_silence(false, false);
    assert!(
        !matches!(waits[0], Action::CancelAttempt { .. }),
        "{waits:?}"
    );
}

#[test]
fn a_dead_server_is_set_aside_and_tried_again_alone() {
    let mut desk = taught();
    for id in 1_000..1_020 {
        if sent_to(&desk.ask(ask(id, id)), id) == Some(1) {
            desk.outcome(id, 0, 1, AttemptStatus::ConnectFailed);
        }
    }
    let none = (2_000..2_040).all(|id| sent_to(&desk.ask(ask(id, id)), id) != Some(1));
    assert!(none, "nothing goes there in its pause");
    desk.pass(10 * SECOND);
    let trials = (3_000..3_060)
        .filter(|id| sent_to(&desk.ask(ask(*id, *id)), *id) == Some(1))
        .count();
    assert!(trials <= 1, "{trials} trials at once");
}

#[test]
fn the_pool_is_never_emptied() {
    let mut desk = desk();
    for id in 0..40 {
        if let Some(reader) = sent_to(&desk.ask(ask(id, id)), id) {
            desk.outcome(id, 0, reader, AttemptStatus::Reset);
        }
    }
    assert!(
        sent_to(&desk.ask(ask(100, 100)), 100).is_some(),
        "all are set aside, one is used all the same"
    );
}

#[test]
fn a_full_writer_hands_the_state_to_another() {
    let mut desk = taught();
    let reader = sent_to(&desk.ask(ask(1_000, 1_000)), 1_000).expect("sent");
    let writer = sent_to(
        &desk.outcome(1_000, 0, reader, AttemptStatus::PrefillDone),
        1_000,
    )
    .expect("a writer");
    let next = sent_to(
        &desk.outcome(1_000, 1, writer, AttemptStatus::Overloaded),
        1_000,
    )
    .expect("another writer");
    assert!(next > 10 && next != writer);
}

#[test]
fn a_lost_state_is_read_again() {
    let mut desk = taught();
    let reader = sent_to(&desk.ask(ask(1_000, 1_000)), 1_000).expect("sent");
    let writer = sent_to(
        &desk.outcome(1_000, 0, reader, AttemptStatus::PrefillDone),
        1_000,
    )
    .expect("a writer");
    let again = sent_to(
        &desk.outcome_with(1_000, 1, writer, AttemptStatus::KvStateMissing, 0.0),
        1_000,
    )
    .expect("read again");
    assert!(again < 10);
}

#[test]
fn overload_refuses_the_lowest_worth_unread() {
    let mut desk = taught();
    let (mut refused, mut last) = ([0; 2], 0);
    for id in 1_000..1_400 {
        let class = (id % 2) as usize;
        let actions = desk.ask(RequestMetadata {
            class,
            ..ask(id, id)
        });
        refused[class] += finals(&actions, id);
        last += usize::from(id >= 1_350 && sent_to(&actions, id).is_none());
        desk.pass(4 * MS);
    }
    assert!(refused[1] > refused[0], "{refused:?}");
    assert!(
        last > 25,
        "nearly nothing is read once nothing could be in time"
    );
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut desk = taught();
        (1_000..1_200)
            .flat_map(|id| desk.ask(ask(id, id % 17)))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_broken_subscription_is_made_again() {
    let rules = RoutingSettings {
        must_poll_endpoints: true,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let mut desk = RouterHarness::new(rules, fleet());
    desk.hear(Event::EndpointListFailed);
    let watches = desk
        .pass(2 * SECOND)
        .into_iter()
        .filter(|action| *action == Action::WatchEndpoints)
        .count();
    assert_eq!(watches, 1);
}

#[test]
fn absurd_reports_and_unknown_ids_are_ordinary_input() {
    let mut desk = taught();
    for value in [f64::NAN, f64::INFINITY, -1e300, 1e300, 0.0] {
        let load = LoadReport {
            in_flight: Some(value),
            queued: Some(value),
            kv_memory_share: Some(value),
            pending_prefill_kilotokens: Some(value),
        };
        for server in 0..20 {
            desk.hear(Event::ProbeCompleted {
                endpoint: server,
                is_healthy: true,
                load: Some(load),
            });
        }
        desk.hear(Event::FirstEvent {
            id: 9_999,
            attempt: 7,
        });
        desk.hear(Event::ClientDisconnected { id: 9_999 });
        let id = 5_000 + desk.now;
        let actions = desk.ask(ask(id, 1));
        assert!(
            sent_to(&actions, id).is_some() || finals(&actions, id) == 1,
            "{value}: {actions:?}"
        );
        desk.now += MS;
    }
}

#[test]
fn a_reader_that_turns_requests_away_at_once_is_not_taken_for_idle() {
    let mut desk = taught();
    let mut sent = 0;
    for id in 1_000..1_100 {
        let actions = desk.ask(ask(id, id));
        if sent_to(&actions, id) == Some(1) {
            sent += 1;
            desk.outcome(id, 0, 1, AttemptStatus::Overloaded);
        }
        desk.hear(Event::ClientDisconnected { id });
        desk.pass(4 * MS);
    }
    assert!(sent < 8, "{sent} of 100 went to the full reader");
}

/// Answers that get lost at all servers alike tell nothing of any of them: setting one after another aside sends
/// everything to the rest.
#[test]
fn what_all_suffer_alike_sets_nobody_aside() {
    let mut desk = taught();
    for id in 1_000..1_200 {
        if id % 7 > 0 {
            desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS);
            continue;
        }
        let reader = sent_to(&desk.ask(ask(id, id)), id).expect("sent");
        let again =
            sent_to(&desk.outcome(id, 0, reader, AttemptStatus::Reset), id).expect("sent again");
        desk.hear(Event::ClientDisconnected { id });
        desk.outcome(id, 1, again, AttemptStatus::Cancelled);
    }
    let used: std::collections::BTreeSet<_> = (2_000..2_040)
        .filter_map(|id| sent_to(&desk.ask(ask(id, id)), id))
        .collect();
    assert_eq!(used.len(), 4, "{used:?}");
}

/// A server may turn away one class and serve the others: their success says nothing of it, and where most of the
/// fleet does so, the rest is what is left for that class.
#[test]
fn a_class_that_most_readers_turn_away_goes_to_the_rest() {
    let mut desk = taught();
    let (mut turned_away, mut others) = (0, std::collections::BTreeSet::new());
    for id in 1_000..1_400 {
        let of_class = RequestMetadata {
            class: (id % 2) as usize,
            ..ask(id, id)
        };
        if of_class.class == 1 {
            others.insert(desk.serve(of_class, 40 * MS, 30 * MS, 50 * MS)[0]);
            continue;
        }
        let mut sent = sent_to(&desk.ask(of_class), id);
        for attempt in 0.. {
            let Some(server) = sent else { break };
            desk.pass(40 * MS);
            sent = match server {
                1 => sent_to(
                    &desk.outcome(id, attempt, 1, AttemptStatus::PrefillDone),
                    id,
                ),
                2..=4 => {
                    turned_away += usize::from(id >= 1_300);
                    sent_to(
                        &desk.outcome(id, attempt, server, AttemptStatus::Overloaded),
                        id,
                    )
                }
                _ => {
                    desk.hear(Event::FirstEvent { id, attempt });
                    sent_to(
                        &desk.outcome(id, attempt, server, AttemptStatus::Served),
                        id,
                    )
                }
            };
        }
    }
    assert!(
        turned_away <= 10,
        "{turned_away} attempts for the last 50 went where their class is turned away"
    );
    assert_eq!(
        others.len(),
        4,
        "the other class goes to all readers: {others:?}"
    );
}

/// A kept connection that its node has closed tells nothing of the node. Set aside for it, a node's connections would
/// stand idle for longer still, and it would be set aside for good.
#[test]
fn a_stale_connection_sets_nobody_aside() {
    let mut desk = taught();
    for id in 1_000..1_010 {
        let reader = sent_to(&desk.ask(ask(id, 1_000)), id).expect("sent");
        let again = sent_to(
            &desk.outcome(id, 0, reader, AttemptStatus::StaleConnection),
            id,
        )
        .expect("sent again");
        desk.hear(Event::ClientDisconnected { id });
        desk.outcome(id, 1, again, AttemptStatus::Cancelled);
    }
    let used: std::collections::BTreeSet<_> = (2_000..2_040)
        .filter_map(|id| sent_to(&desk.ask(ask(id, id)), id))
        .collect();
    assert_eq!(used.len(), 4, "{used:?}");
}

/// Where one attempt in seven is lost by chance, three in a row at one server are chance too; ten are not.
#[test]
fn a_few_failures_by_chance_set_nobody_aside() {
    for (failures, most) in [(3, true), (10, false)] {
        let mut desk = taught();
        let alone = RequestMetadata {
            prompt_tokens: 2_000.0,
            ..ask(0, 1_000)
        };
        let home = sent_to(&desk.ask(alone.clone()), 0).expect("sent");
        desk.outcome(0, 0, home, AttemptStatus::Cancelled);
        desk.hear(Event::ClientDisconnected { id: 0 });
        let mut failed = 0;
        for id in 1_000..2_000 {
            let reader = sent_to(
                &desk.ask(RequestMetadata {
                    id,
                    session: Some(id),
                    ..alone.clone()
                }),
                id,
            )
            .expect("sent");
            let lost = reader == home && failed < failures;
            failed += usize::from(lost);
            desk.hear(Event::ClientDisconnected { id });
            desk.outcome(
                id,
                0,
                reader,
                if lost {
                    AttemptStatus::Reset
                } else {
                    AttemptStatus::Cancelled
                },
            );
            if failed == failures {
                break;
            }
        }
        let asked = (3_000..3_060).map(|id| sent_to(&desk.ask(ask(id, id)), id));
        assert_eq!(
            asked.filter(|reader| *reader == Some(home)).count() > 0,
            most,
            "{failures}"
        );
    }
}

/// Readers let the oldest text go when their memory is full: a table that goes on believing in it sends a session to
/// where it is read anew, behind others.
#[test]
fn the_table_notes_no_more_than_a_reader_can_keep() {
    let mut desk = taught();
    let early: Vec<_> = (1_000..1_020)
        .map(|id| (id, desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS)[0]))
        .collect();
    // 75 texts of 2,000 tokens for each reader, of 200,000 tokens that both routers together can keep there.
    for id in 2_000..2_300 {
        desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS);
    }
    let back = early.into_iter().filter(|(session, reader)| {
        let next = sent_to(
            &desk.ask(RequestMetadata {
                prompt_tokens: 2_200.0,
                ..ask(session + 5_000, *session)
            }),
            session + 5_000,
        );
        desk.hear(Event::ClientDisconnected {
            id: session + 5_000,
        });
        desk.outcome(
            session + 5_000,
            0,
            next.expect("sent"),
            AttemptStatus::Cancelled,
        );
        next == Some(*reader)
    });
    assert!(back.count() <= 12);
}

/// After a flush a reader takes long for texts that the table believes in. That is the table's fault: with the tokens
/// really left to read it is as quick as ever, and not to be avoided by others.
/// How many of 60 requests go to a reader that was flushed, among four, once it has kept texts again.
fn at_a_flushed_reader(seed: u64) -> usize {
    let classes = vec![
        class(3.0, Idempotency::Idempotent),
        class(1.0, Idempotency::Idempotent),
    ];
    let mut desk = RouterHarness::seeded(settings(classes), fleet(), seed);
    let read = |desk: &mut RouterHarness,
                id: u64,
                session: u64,
                prompt: f64,
                flushed: bool,
                known: bool| {
        let reader = sent_to(
            &desk.ask(RequestMetadata {
                prompt_tokens: prompt,
                ..ask(id, session)
            }),
            id,
        )
        .expect("sent");
        let found = if known && !(flushed && reader == 1) {
            prompt - 200.0
        } else {
            0.0
        };
        desk.pass(10 * MS + ((prompt - found) * 0.05) as u64 * MS);
        desk.outcome_with(id, 0, reader, AttemptStatus::PrefillDone, found);
        desk.hear(Event::ClientDisconnected { id });
        desk.outcome(id, 1, 11, AttemptStatus::Cancelled);
        desk.pass(20 * MS);
        reader
    };
    for id in 0..80 {
        read(&mut desk, id, id, 1_000.0 + 50.0 * id as f64, false, false);
    }
    for id in 0..80 {
        read(
            &mut desk,
            100 + id,
            id,
            1_200.0 + 50.0 * id as f64,
            true,
            true,
        );
    }
    (1_000..1_060)
        .filter(|id| read(&mut desk, *id, *id, 2_000.0, false, false) == 1)
        .count()
}

#[test]
fn a_reader_that_was_flushed_is_not_taken_for_slow() {
    // Over twenty draws: one alone may fall to either side, with the fault (11 of 60) and without (17).
    let at_it: usize = (0..20).map(at_a_flushed_reader).sum();
    assert!(
        at_it >= 300,
        "{at_it} of 1200 went to the reader that was flushed"
    );
}

/// Where each text goes in a fleet of six readers, two of them started anew `age` ago.
fn homes_with_cold_readers(age: Time) -> Vec<Option<EndpointId>> {
    let cold = |id| EndpointRecord {
        started_at: Some(20 * SECOND),
        ..server(id, Role::Prefill)
    };
    let readers = (1..=4)
        .map(|id| server(id, Role::Prefill))
        .chain([cold(5), cold(6)]);
    let fleet: Vec<_> = readers.chain([server(12, Role::Decode)]).collect();
    let text = |text: u64| {
        // One router a text, and one in a hundred: none has sent to a cold reader before.
        let thin = RoutingSettings {
            dispatchers: 100,
            ..settings(vec![class(1.0, Idempotency::Idempotent)])
        };
        let mut desk = RouterHarness::new(thin, fleet.clone());
        desk.now = 20 * SECOND + age;
        let ask = RequestMetadata {
            prefix: Some(quartzhall::config::fnv1a_hash(&text.to_string())),
            prefix_tokens: 1_800.0,
            ..ask(text, text)
        };
        sent_to(&desk.ask(ask), text)
    };
    (0..400).map(text).collect()
}

/// A cold reader was let in by a lot that knew nothing of texts: nineteen in twenty requests whose text was at home
/// there were read anew wherever there was room, and what readers keep was pushed out everywhere.
#[test]
fn texts_come_to_a_cold_reader_one_after_another_as_it_warms() {
    let young = homes_with_cold_readers(0);
    let older = homes_with_cold_readers(5 * SECOND);
    let at_cold =
        |homes: &[Option<EndpointId>]| homes.iter().filter(|home| **home > Some(4)).count();
    let (few, more) = (at_cold(&young), at_cold(&older));
    assert!(
        (20..=90).contains(&few),
        "{few} of 400 texts went to cold readers at once"
    );
    assert!(
        more > few + 15,
        "{few}, then {more} of 400 texts went to readers that warm"
    );
    let moved = young
        .iter()
        .zip(&older)
        .filter(|(young, older)| young != older && **older <= Some(4))
        .count();
    assert!(
        moved < 40,
        "{moved} texts went from one warm reader to another"
    );
}

/// The one reader of a zone can't be the only home of all its texts: when it is out, each router would have them read
/// anew at a reader of its own choice.
#[test]
fn texts_of_a_zone_with_one_reader_have_a_further_home() {
    let elsewhere = (2..=5).map(|id| EndpointRecord {
        zone: 1,
        cell: 1,
        ..server(id, Role::Prefill)
    });
    let writers = [
        server(11, Role::Decode),
        EndpointRecord {
            zone: 1,
            cell: 1,
            ..server(12, Role::Decode)
        },
    ];
    let fleet: Vec<_> = elsewhere
        .chain([server(1, Role::Prefill)])
        .chain(writers)
        .collect();
    let mut homes = std::collections::BTreeSet::new();
    for text in 0..12 {
        let of_text = |id| RequestMetadata {
            prefix: Some(quartzhall::config::fnv1a_hash(&text.to_string())),
            prefix_tokens: 1_800.0,
            ..ask(id, id)
        };
        let mut used = std::collections::BTreeSet::new();
        for seed in 1..=4 {
            let rules = settings(vec![class(1.0, Idempotency::Idempotent)]);
            let mut desk = RouterHarness::seeded(rules, fleet.clone(), seed);
            desk.hear(Event::ProbeCompleted {
                endpoint: 1,
                is_healthy: false,
                load: None,
            });
            used.extend(sent_to(&desk.ask(of_text(seed)), seed));
        }
        assert_eq!(used.len(), 1, "text {text} went to {used:?}");
        homes.extend(used);
    }
    assert!(homes.len() > 1, "texts are spread: {homes:?}");
}

/// One of a hundred routers sees a bad writer once a minute; the others have seen it too.
#[test]
fn a_writer_that_fails_others_is_avoided_here() {
    let mut desk = taught();
    let at_bad = |desk: &mut RouterHarness, ids: std::ops::Range<u64>| {
        ids.filter(|id| desk.serve(ask(*id, *id), 40 * MS, 30 * MS, 50 * MS).get(1) == Some(&11))
            .count()
    };
    let before = at_bad(&mut desk, 1_000..1_060);
    (0..12).for_each(|_| {
        drop(desk.hear(Event::PeerLoadReport {
            endpoint: 11,
            load: None,
        }))
    });
    desk.hear(Event::PeerLoadReport {
        endpoint: 999,
        load: None,
    });
    let after = at_bad(&mut desk, 2_000..2_020);
    assert!(
        before >= 10 && after <= 2,
        "{before} of 60 before it was heard of, {after} of 20 after"
    );
}

/// A second copy of a read goes only where its text has a home: elsewhere it pushes out what others come back for.
#[test]
fn a_second_copy_is_read_at_home() {
    let servers = (1..=8)
        .map(|id| server(id, Role::Prefill))
        .chain([server(12, Role::Decode)]);
    let fleet: Vec<_> = servers.collect();
    let desk = |seed| {
        let mut desk = desk();
        desk.router = Router::new(settings(vec![class(3.0, Idempotency::Idempotent)]), seed, 0);
        desk.hear(Event::EndpointsChanged {
            is_full: true,
            endpoints: fleet.clone(),
        });
        let text = RequestMetadata {
            prefix: Some(77),
            prefix_tokens: 1_900.0,
            ..ask(1, seed)
        };
        let first = sent_to(&desk.ask(text), 1).expect("a read");
        (desk, first)
    };
    let homes: std::collections::BTreeSet<_> = (0..20).map(|seed| desk(seed).1).collect();
    assert!(homes.len() < 4, "{homes:?}");
    let away = (0..20).filter(|seed| {
        let (mut desk, _) = desk(*seed);
        // The homes are busy by now, and everybody else is idle.
        for server in 1..=8 {
            let in_flight = Some(if homes.contains(&server) { 25.0 } else { 0.0 });
            desk.hear(Event::PeerLoadReport {
                endpoint: server,
                load: Some(LoadReport {
                    in_flight,
                    ..LoadReport::default()
                }),
            });
        }
        sent_to(&desk.pass(2 * SECOND), 1).is_some_and(|second| !homes.contains(&second))
    });
    assert_eq!(
        away.count(),
        0,
        "copies were read where the text has no home"
    );
}
