//! A dispatcher for fleets of language-model servers that process requests in two stages: prefill and decode.
//!
//! The [`dispatcher`] is a state machine that does no network I/O. [`frontend`] connects it with clients, and
//! [`backend`] with endpoints. [`discovery`] connects it with the service that lists the endpoints, [`gossip`] with
//! other dispatchers, and [`upgrade`] with the process that replaces this one. `docs/architecture.md` describes which
//! module owns which state.
//!
//! [`routing::Router`] makes the routing decisions. It is pure: its caller owns the clock, the network and the threads,
//! passes it events, and executes the actions that it returns.
//!
//! ```
//! use quartzhall::routing::api::*;
//! use quartzhall::routing::Router;
//!
//! let class = RequestClass {
//!     ttft_objective: 1_000_000,
//!     ttft_objective_per_1000_tokens: 40_000,
//!     inter_token_objective: 60_000,
//!     priority_weight: 1.0,
//!     is_active: true,
//!     idempotency: Idempotency::Idempotent,
//! };
//! let settings = RoutingSettings {
//!     dispatchers: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     tenants: vec![],
//!     over_quota_weight: 0.1,
//!     load_reporting: LoadReporting::WithResponses,
//!     must_poll_endpoints: false,
//!     probes_allowed: false,
//!     cancellation_allowed: true,
//!     hedging_allowed: true,
//!     max_retry_after: 0,
//!     max_attempts: 5,
//!     tick: 2_000,
//!     response_slack: 8_000,
//!     drain_grace: 500_000,
//!     reservation_ttl: 500_000,
//!     slow_start_initial_share: 0.3,
//!     slow_start_duration: 13_000_000,
//!     overload_threshold: 2.5,
//!     overload_window: 1_000_000,
//!     cross_zone_cost: 0.0,
//!     kv_transfer_cost: 0.0,
//! };
//! let mut router = Router::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let endpoint = |endpoint, role| EndpointRecord {
//!     endpoint,
//!     key: endpoint.into(),
//!     role,
//!     kv_capacity_tokens: 200_000.0,
//!     zone: 0,
//!     cell: 0,
//!     status: EndpointStatus::Ready,
//!     started_at: None,
//! };
//! let endpoints = vec![endpoint(1, Role::Prefill), endpoint(2, Role::Decode)];
//! router.handle(1_000, Event::EndpointsChanged { is_full: true, endpoints }, &mut actions);
//! let metadata = RequestMetadata {
//!     id: 1,
//!     class: 0,
//!     tenant: None,
//!     session: Some(5),
//!     prefix: None,
//!     time_left: 4_000_000,
//!     prompt_tokens: 1_500.0,
//!     prefix_tokens: 0.0,
//!     max_output_tokens: 200.0,
//!     output_time_hint: None,
//! };
//! router.handle(2_000, Event::RequestArrived(metadata), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::StartAttempt { id: 1, endpoint: 1, .. })));
//! ```

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod config;
pub mod discovery;
pub mod dispatcher;
pub mod frontend;
pub mod gossip;
pub mod identity;
pub mod net;
pub mod process;
pub mod recording;
pub mod routing;
pub mod upgrade;
pub mod variants;
