//! Tests of the oracle's invariants without dispatchers, and of the fault schedule's repeatability.

use quartzhall::routing::api::Role;
use quartzhall_soak::oracle::{AttemptArrival, AttemptOutcome, Invariant, Oracle};
use quartzhall_soak::schedule::{draw_schedule, RunSize};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(3);

fn violated_invariants(oracle: &Oracle) -> Vec<Invariant> {
    oracle
        .violations()
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

fn arrival(replica: usize, role: Role) -> AttemptArrival {
    AttemptArrival {
        replica,
        role,
        is_delayed_by_bench: false,
        time_left_ms: None,
        time_since_drain_notice: None,
    }
}

/// Returns an oracle with a non-idempotent request whose decode attempt has ended. `is_proven` states that the replica
/// rejected the attempt as never run.
fn oracle_after_decode(is_proven: bool) -> Oracle {
    let oracle = Oracle::new();
    oracle.on_request_sent("a", 0, true, DEADLINE);
    let first = AttemptArrival {
        time_left_ms: Some(2_900),
        ..arrival(7, Role::Decode)
    };
    oracle.on_attempt_arrived("a", first);
    let outcome = if is_proven {
        oracle.on_attempt_rejected("a", 7, Role::Decode);
        AttemptOutcome::NeverRan
    } else {
        AttemptOutcome::Other
    };
    oracle.on_attempt_ended("a", 7, Role::Decode, outcome);
    oracle
}

#[test]
fn request_that_may_have_run_is_neither_decoded_again_nor_shed() {
    for (is_proven, expected) in [(false, vec![Invariant::NotExecutedTwice]), (true, vec![])] {
        let oracle = oracle_after_decode(is_proven);
        oracle.on_attempt_arrived("a", arrival(8, Role::Decode));
        assert_eq!(violated_invariants(&oracle), expected);
        let oracle = oracle_after_decode(is_proven);
        oracle.on_response("a", 503);
        assert_eq!(violated_invariants(&oracle), expected);
        let oracle = oracle_after_decode(is_proven);
        oracle.on_response("a", 502);
        assert_eq!(violated_invariants(&oracle), []);
    }
}

#[test]
fn drains_announced_time_and_aborted_streams_violate_their_own_invariants() {
    let oracle = Oracle::new();
    oracle.on_request_sent("a", 0, false, DEADLINE);
    let within_slack = AttemptArrival {
        time_left_ms: Some(3_100),
        time_since_drain_notice: Some(Duration::from_millis(200)),
        ..arrival(1, Role::Prefill)
    };
    oracle.on_attempt_arrived("a", within_slack);
    assert_eq!(
        violated_invariants(&oracle),
        [],
        "drain notice and announced time are within the slack"
    );
    let after_drain = AttemptArrival {
        time_since_drain_notice: Some(Duration::from_millis(900)),
        ..arrival(1, Role::Prefill)
    };
    oracle.on_attempt_arrived("a", after_drain);
    let with_too_much_time = AttemptArrival {
        time_left_ms: Some(4_000),
        ..arrival(1, Role::Prefill)
    };
    oracle.on_attempt_arrived("a", with_too_much_time);
    oracle.on_stream_aborted("a");
    oracle.on_stream_ended("a", false);
    assert_eq!(
        violated_invariants(&oracle),
        [Invariant::NotSentToDraining, Invariant::TimeLeftNotExceeded]
    );
    oracle.on_stream_ended("a", true);
    assert_eq!(
        violated_invariants(&oracle).last(),
        Some(&Invariant::AbortedStreamIncomplete)
    );
    // An attempt that the test bench has delayed violates no time limit.
    let oracle = Oracle::new();
    oracle.on_request_sent("a", 0, false, DEADLINE);
    let delayed = AttemptArrival {
        is_delayed_by_bench: true,
        time_left_ms: Some(9_000),
        time_since_drain_notice: Some(Duration::from_secs(9)),
        ..arrival(1, Role::Prefill)
    };
    oracle.on_attempt_arrived("a", delayed);
    assert_eq!(violated_invariants(&oracle), []);
}

#[test]
fn release_keeps_kv_cache_while_a_decode_attempt_is_in_flight() {
    let oracle = Oracle::new();
    oracle.on_request_sent("a", 0, false, DEADLINE);
    oracle.on_attempt_arrived("a", arrival(1, Role::Prefill));
    oracle.on_kv_reserved("a", 1);
    oracle.on_attempt_ended("a", 1, Role::Prefill, AttemptOutcome::Prefilled);
    oracle.on_attempt_arrived("a", arrival(7, Role::Decode));
    oracle.on_release("a", 2);
    assert!(oracle.is_kv_reserved("a"));
    oracle.on_attempt_ended("a", 7, Role::Decode, AttemptOutcome::Other);
    oracle.on_release("a", 2);
    assert!(!oracle.is_kv_reserved("a"));
}

#[test]
fn seed_repeats_the_fault_schedule() {
    let size = RunSize {
        processes: 10,
        prefill_replicas: 5,
        replicas: 12,
        load_duration: Duration::from_secs(12),
        has_connection_floods: true,
    };
    let schedule = |seed| {
        format!(
            "{:?}",
            draw_schedule(&size, &mut Pcg32::seed_from_u64(seed))
        )
    };
    assert_eq!(schedule(7), schedule(7));
    assert_ne!(schedule(7), schedule(8));
}

/// The kill of a terminated process excuses what was sent before the process had to refuse it, and nothing later.
#[test]
fn kill_after_termination_excuses_no_request_that_was_sent_late() {
    let oracle = Oracle::new();
    let now = Instant::now();
    oracle.on_process_terminated(0, now);
    oracle.on_process_terminated(1, now - Duration::from_millis(800));
    oracle.on_request_sent("early", 0, true, DEADLINE);
    for id in ["cut", "unanswered", "refused"] {
        oracle.on_request_sent(id, 1, true, DEADLINE);
    }
    oracle.on_response("early", 200);
    oracle.on_response("cut", 200);
    oracle.on_response("refused", 503);
    oracle.on_process_killed(0);
    oracle.on_process_killed(1);
    oracle.on_stream_ended("early", false);
    oracle.on_stream_ended("cut", false);
    oracle.on_closed_without_response("unanswered", true);
    assert_eq!(
        violated_invariants(&oracle),
        [Invariant::StreamComplete, Invariant::NotClosedUnanswered]
    );
    // The next process under the same number is killed without a signal to end.
    oracle.on_request_sent("next", 1, true, DEADLINE);
    oracle.on_process_killed(1);
    oracle.on_closed_without_response("next", true);
    assert_eq!(oracle.violations().len(), 2);
}

/// The system accepts connections for a process until its kill has ended it. A request that is sent then is closed with the
/// process; one that is sent after the restart is not excused.
#[test]
fn request_sent_while_a_process_is_being_killed_is_excused() {
    let oracle = Oracle::new();
    assert!(!oracle.was_killed_since(3, Instant::now()));
    oracle.on_kill_started(3);
    let sent_during_kill = Instant::now();
    assert!(oracle.was_killed_since(3, sent_during_kill));
    assert!(
        !oracle.was_killed_since(4, sent_during_kill),
        "another process"
    );
    oracle.on_restart_after_kill(3);
    assert!(oracle.was_killed_since(3, sent_during_kill));
    assert!(
        !oracle.was_killed_since(3, Instant::now()),
        "sent after the restart"
    );
}
