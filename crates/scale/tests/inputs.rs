//! Parsing of scenario files, fits of power laws, and the tables of a page: valid inputs, and errors for invalid ones.

use quartzhall_scale::power_law::PowerLaw;
use quartzhall_scale::results::{self, MeasurementRun, StepCost, StepCosts};
use quartzhall_scale::scenario::{EventKind, Scenario};
use quartzhall_scale::table;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const VALID_SCENARIO: &str = r#"name = "good"
seconds = 5
[fleet]
replicas = 40
zones = 2
rack = [4, 8]
readers = 0.25
[dispatchers]
real = 1
told = 9
sockets = 256
[load]
per_dispatcher = 10.0
prompt = [100, 200]
answer = [8, 16]
[[event]]
at = 1.5
kind = "drain_zone"
number = 1
"#;

#[test]
fn valid_scenario_is_parsed() {
    let scenario = Scenario::parse(VALID_SCENARIO).unwrap();
    assert_eq!(scenario.fleet.replicas, 40);
    assert_eq!(scenario.dispatchers.simulated, 0);
    assert_eq!(scenario.events[0].kind, EventKind::DrainZone);
}

#[test]
fn invalid_scenario_gives_one_line_with_place_and_reason() {
    let cases = [
        (
            VALID_SCENARIO.replace("seconds = 5", "seconds = \"5\""),
            "2:11: ",
        ),
        (
            VALID_SCENARIO.replace("zones = 2", "zonen = 2"),
            "5:1: unknown field `zonen`",
        ),
        (
            VALID_SCENARIO.replace("drain_zone", "flood"),
            "18:8: unknown variant `flood`",
        ),
        (
            VALID_SCENARIO.replace("readers = 0.25", "readers = 25.0"),
            "1:1: fleet.readers must be a share from 0 to 1, not 25",
        ),
        (
            VALID_SCENARIO.replace("prompt = [100, 200]", "prompt = [300, 200]"),
            "1:1: load.prompt",
        ),
        (
            VALID_SCENARIO.replace("real = 1", "real = 0"),
            "1:1: dispatchers.real must be over 0",
        ),
    ];
    for (text, expected) in cases {
        let error = Scenario::parse(&text).unwrap_err().to_string();
        assert!(
            error.starts_with(expected) && !error.contains('\n'),
            "{error:?}, expected {expected:?}"
        );
    }
}

#[test]
fn all_committed_scenarios_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    assert!(files.len() >= 2);
    for file in files {
        Scenario::read(&file).unwrap();
    }
}

#[test]
fn fit_finds_the_power_law_of_its_points() {
    let points: Vec<(f64, f64)> = [100.0, 300.0, 1_000.0]
        .map(|size: f64| (size, 3.0 * size.powf(1.5)))
        .to_vec();
    let law = PowerLaw::fit(&points).unwrap();
    assert!(
        (law.exponent - 1.5).abs() < 1e-9
            && (law.scale - 3.0).abs() < 1e-6
            && law.exponent_error < 1e-6
    );
    assert!((law.cost_at(11_000.0) / (3.0 * 11_000_f64.powf(1.5)) - 1.0).abs() < 1e-6);
    assert_eq!(PowerLaw::fit(&points[..1]), None);
}

/// A temporary folder, removed on drop.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn tables_are_replaced_from_results_and_broken_markers_fail() {
    let folder = TemporaryFolder(
        std::env::temp_dir().join(format!("quartzhall-scale-test-{}", std::process::id())),
    );
    std::fs::create_dir_all(&folder.0).unwrap();
    let costs = |replicas, median_us| StepCosts {
        replicas,
        dispatchers: 530,
        warming_up_share: 0.0,
        seed: 1,
        arrivals: 10,
        is_finished: true,
        steps: BTreeMap::from([(
            "arrival".to_owned(),
            StepCost {
                count: 10,
                median_us,
                p99_us: 2.0 * median_us,
                mean_us: median_us,
            },
        )]),
    };
    let results = vec![costs(100, 50.0), costs(1_000, 500.0)];
    let run = MeasurementRun {
        command: "steps".into(),
        commit: "abc".into(),
        ended_at: 0,
        cores: 2,
        results,
    };
    results::write(&folder.0.join("some.json"), &run).unwrap();
    let page = "# Page\n<!-- table: steps some -->\nold\n<!-- end -->\nrest\n";
    let filled = table::fill(page, &folder.0).unwrap();
    assert!(
        filled.contains("| arrival | 50.0 | 100 | 500 | 1000 | 1.00 ± 0.00 |"),
        "{filled}"
    );
    assert!(
        filled.ends_with("<!-- end -->\nrest\n") && !filled.contains("old"),
        "{filled}"
    );
    assert_eq!(table::fill(&filled, &folder.0).unwrap(), filled);
    assert!(table::fill("<!-- table: steps some -->\n", &folder.0).is_err());
    assert!(table::fill("<!-- table: steps none -->\n<!-- end -->\n", &folder.0).is_err());
}
