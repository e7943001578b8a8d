//! Scenario files, slopes and tables: what is taken, and what is told of what is not.

use quartzhall_scale::results::{self, Cost, Run, StepCosts};
use quartzhall_scale::scenario::{EventKind, Scenario};
use quartzhall_scale::slope::Slope;
use quartzhall_scale::table;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const GOOD: &str = r#"name = "good"
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
fn a_good_scenario_is_read() {
    let scenario = Scenario::parse(GOOD).unwrap();
    assert_eq!(
        (scenario.fleet.replicas, scenario.dispatchers.hollow),
        (40, 0)
    );
    assert_eq!(scenario.events[0].kind, EventKind::DrainZone);
}

/// A bad file gets one line with the place and the reason.
#[test]
fn bad_scenarios_get_one_line_with_the_place() {
    let cases = [
        (GOOD.replace("seconds = 5", "seconds = \"5\""), "2:11: "),
        (
            GOOD.replace("zones = 2", "zonen = 2"),
            "5:1: unknown field `zonen`",
        ),
        (
            GOOD.replace("drain_zone", "flood"),
            "18:8: unknown variant `flood`",
        ),
        (
            GOOD.replace("readers = 0.25", "readers = 25.0"),
            "1:1: fleet.readers is a part from 0 to 1, not 25",
        ),
        (
            GOOD.replace("prompt = [100, 200]", "prompt = [300, 200]"),
            "1:1: load.prompt",
        ),
        (
            GOOD.replace("real = 1", "real = 0"),
            "1:1: dispatchers.real must be over 0",
        ),
    ];
    for (text, wanted) in cases {
        let error = Scenario::parse(&text).unwrap_err();
        assert!(
            error.starts_with(wanted) && !error.contains('\n'),
            "{error:?}, where {wanted:?} is wanted"
        );
    }
}

#[test]
fn all_scenarios_of_the_project_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|it| it.unwrap().path())
        .collect();
    assert!(files.len() >= 2);
    for file in files {
        Scenario::read(&file).unwrap();
    }
}

#[test]
fn a_power_law_is_found_again() {
    let points: Vec<(f64, f64)> = [100.0, 300.0, 1_000.0]
        .map(|size: f64| (size, 3.0 * size.powf(1.5)))
        .to_vec();
    let slope = Slope::fit(&points).unwrap();
    assert!(
        (slope.exponent - 1.5).abs() < 1e-9
            && (slope.scale - 3.0).abs() < 1e-6
            && slope.error < 1e-6
    );
    assert!((slope.at(11_000.0) / (3.0 * 11_000_f64.powf(1.5)) - 1.0).abs() < 1e-6);
    assert_eq!(Slope::fit(&points[..1]), None);
}

/// A folder that goes when the test does.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The page's tables are the results', whatever stood there before; a page without the place of a table's end is told of.
#[test]
fn tables_are_written_from_results() {
    let folder =
        Folder(std::env::temp_dir().join(format!("quartzhall-scale-test-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let costs = |replicas, median_us| StepCosts {
        replicas,
        dispatchers: 530,
        cold: 0.0,
        seed: 1,
        arrivals: 10,
        finished: true,
        steps: BTreeMap::from([(
            "arrival".to_owned(),
            Cost {
                count: 10,
                median_us,
                p99_us: 2.0 * median_us,
                mean_us: median_us,
            },
        )]),
    };
    let results = vec![costs(100, 50.0), costs(1_000, 500.0)];
    let run = Run {
        command: "steps".into(),
        commit: "abc".into(),
        at: 0,
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
