use super::*;
use miniserde::json;

fn parse(text: &str) -> Value {
    json::from_str(text).unwrap()
}

const RUNNING: &str = r#"{"name":"n","known":{"revision":1},"settings":{"limits":{"most_tries":5,"cancel":true},
    "classes":[{"name":"a","aim":1.5,"deadline":7,"aim_stretch":1},{"name":"b","aim":2,"deadline":9,"extra":1}]}}"#;

/// Invalid changes to the running configuration: the replaced text, its replacement, and a part of the expected error.
const INVALID_CHANGES: [(&str, &str, &str); 13] = [
    (r#""name":"n","#, "", "name is missing"),
    (
        r#""most_tries":5,"#,
        "",
        "settings.limits.most_tries is missing",
    ),
    (
        r#""most_tries":5"#,
        r#""most_tries":0"#,
        "most_tries is not positive",
    ),
    (
        r#""most_tries":5"#,
        r#""most_tries":-1"#,
        "most_tries is no number from 0 on",
    ),
    (
        r#""most_tries":5"#,
        r#""most_tries":2.5"#,
        "most_tries is no whole number",
    ),
    (
        r#""most_tries":5"#,
        r#""most_tries":"5""#,
        "most_tries is not a number",
    ),
    (
        r#""most_tries":5"#,
        r#""most_tries":null"#,
        "most_tries is not a number",
    ),
    (
        r#""deadline":9"#,
        r#""deadline":0"#,
        "classes[1].deadline is not positive",
    ),
    (r#""deadline":9,"#, "", "classes[1].deadline is missing"),
    (
        r#""deadline":9"#,
        r#""deadline":-9"#,
        "classes[1].deadline is no number from 0 on",
    ),
    (
        r#""deadline":9"#,
        r#""deadline":1e999"#,
        "deadline is no number",
    ),
    (
        r#""deadline":9"#,
        r#""deadline":"soon""#,
        "classes[1].deadline is not a number",
    ),
    (
        r#""cancel":true"#,
        r#""cancel":1"#,
        "limits.cancel is not a truth value",
    ),
];

/// Checks a configuration that is to replace the running one. Returns the text of the first error.
fn check(new: &Value) -> Result<(), String> {
    check_values("the configuration", new)
        .and_then(|()| check_complete("the configuration", &parse(RUNNING), new))
        .map_err(|error| error.to_string())
}

#[test]
fn accepts_a_configuration_with_all_running_settings() {
    assert_eq!(check(&parse(RUNNING)), Ok(()));
    // A different number of classes, a different count, an additional setting and no endpoint list.
    let new = r#"{"name":"n","settings":{"limits":{"most_tries":1,"cancel":false,"more":[]},
        "classes":[{"name":"c","aim":1,"deadline":4}]}}"#;
    assert_eq!(check(&parse(new)), Ok(()));
}

#[test]
fn rejects_missing_settings_wrong_types_and_impossible_numbers() {
    for (from, to, expected) in INVALID_CHANGES {
        let new = RUNNING.replace(from, to);
        assert_ne!(new, RUNNING);
        let Ok(new) = json::from_str::<Value>(&new) else {
            continue;
        };
        let checked = check(&new);
        assert!(
            checked
                .as_ref()
                .is_err_and(|error| error.contains(expected)),
            "{expected}: {checked:?}"
        );
    }
    let empty = parse(r#"{"name":"n","settings":{}}"#);
    assert!(check_complete("root", &parse(RUNNING), &empty).is_err());
    assert!(check_complete("root", &parse(RUNNING), &parse("[]")).is_err());
}
