use super::*;
use miniserde::json;

fn value(text: &str) -> Value {
    json::from_str(text).unwrap()
}

const RUNNING: &str = r#"{"name":"n","known":{"revision":1},"settings":{"limits":{"most_tries":5,"cancel":true},
    "classes":[{"name":"a","aim":1.5,"deadline":7,"aim_stretch":1},{"name":"b","aim":2,"deadline":9,"extra":1}]}}"#;

fn check(new: &str) -> Result<(), String> {
    let new = value(new);
    check_values("the configuration", &new)?;
    complete("the configuration", &value(RUNNING), &new)
}

#[test]
fn what_is_whole_is_taken() {
    assert_eq!(check(RUNNING), Ok(()));
    // Another number of classes, another count, one more key, no list of members.
    let new = r#"{"name":"n","settings":{"limits":{"most_tries":1,"cancel":false,"more":[]},
        "classes":[{"name":"c","aim":1,"deadline":4}]}}"#;
    assert_eq!(check(new), Ok(()));
}

#[test]
fn what_lacks_a_key_or_has_no_sense_is_not() {
    for (from, to, says) in [
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
    ] {
        let new = RUNNING.replace(from, to);
        assert_ne!(new, RUNNING);
        let Ok(new) = json::from_str::<Value>(&new) else {
            continue;
        };
        let told = check_values("it", &new).and_then(|()| complete("it", &value(RUNNING), &new));
        assert!(
            told.as_ref().is_err_and(|it| it.contains(says)),
            "{says}: {told:?}"
        );
    }
    let empty = value(r#"{"name":"n","settings":{}}"#);
    assert!(complete("it", &value(RUNNING), &empty).is_err());
    assert!(complete("it", &value(RUNNING), &value("[]")).is_err());
}
