//! The settings of the tests, as JSON.

pub(crate) const SETTINGS: &str = r#"{"balancers":1,"classes":[
 {"name":"status-query","aim":1500.0,"repeat":"free","group":"all","key_ttl":0.0,"worth":3.0},
 {"name":"return-request","aim":2500.0,"repeat":"single_shot","group":"all","key_ttl":0.0,"worth":2.0}],
 "dcs":["east"],"family_info":{"role_by_kind":["read","write"],"tokens_by_kind":[200000,100000],
 "release_within":1000.0,"token_aim":[60.0,80.0]},
 "limits":{"most_tries":5,"cancel":true,"conn_idle":30000.0,"dial_timeout":250.0,"retry_after":true,
 "max_retry_after":500.0,"second_copies":true,"most_held":100},
 "machine_types":["prefill","decode"],"reporting":{"via":"answers"},
 "rules":{"fall":1500.0,"answer_slack":16.0,"drain_grace":250.0,"cold_from":0.3,"tip_multiple":2.5},
 "tenants":[{"name":"acme","quota_per_s":100.0}],"tick":4.0,"zone":"east"}"#;
