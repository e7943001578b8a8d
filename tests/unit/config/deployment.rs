use super::*;
use miniserde::json;

fn resolve(text: &str) -> Result<Deployment, ConfigError> {
    Deployment::new(&json::from_str(text).unwrap())
}

#[test]
fn errors_name_the_path_of_the_setting() {
    let error = resolve(r#"{"classes":[{"name":"a"},{"name":"b","repeat":"often"}]}"#).unwrap_err();
    assert_eq!(error.to_string(), r#"unknown kind of repeat "often""#);
    assert!(
        matches!(&error, ConfigError::UnknownIdempotency { setting, .. } if setting == "settings.classes[1].repeat"),
        "{error:?}"
    );
    let error = resolve(r#"{"family_info":{"role_by_kind":["read","sing"]}}"#).unwrap_err();
    assert_eq!(error.to_string(), r#"unknown role "sing""#);
    assert!(
        matches!(&error, ConfigError::UnknownRole { setting, .. } if setting == "settings.family_info.role_by_kind[1]"),
        "{error:?}"
    );
}

#[test]
fn endpoint_records_need_a_known_machine_type_with_a_role() {
    let deployment = resolve(
        r#"{"machine_types":["prefill","decode"],"family_info":{"role_by_kind":["read"],"tokens_by_kind":[7]}}"#,
    )
    .unwrap();
    let record = deployment.endpoint_record(3, "a", Some("prefill")).unwrap();
    assert_eq!((record.endpoint, record.role), (3, Role::Prefill));
    assert_eq!(record.kv_capacity_tokens, 7.0);
    let unknown = deployment.endpoint_record(3, "a", Some("x")).unwrap_err();
    assert_eq!(unknown.to_string(), r#"unknown kind Some("x")"#);
    let without_role = deployment
        .endpoint_record(3, "a", Some("decode"))
        .unwrap_err();
    assert_eq!(without_role.to_string(), "a kind without a role");
}
