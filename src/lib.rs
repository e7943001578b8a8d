//! A dispatcher: a core that knows no wire ([`dispatcher`]), the [`frontend`] that speak with clients, and the
//! [`backend`] and [`discovery`] sides. `docs/architecture.md` has the life of a request.
//!
//! Its decisions are the module's, [`routing::Router`], which decides for a router of language-model servers that read
//! prompts and write answers in two stages.
//!
//! The caller owns clock, network and threads; it tells a [`Router`] what it hears and does what the router
//! says.
//!
//! ```
//! use quartzhall::routing::api::*;
//! use quartzhall::routing::Router;
//!
//! let class = RequestClass {
//!     aim: 1_000_000,
//!     aim_per_1000_tokens: 40_000,
//!     token_aim: 60_000,
//!     worth: 1.0,
//!     open: true,
//!     effect: Idempotency::Idempotent,
//! };
//! let settings = RoutingSettings {
//!     balancers: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     tenants: vec![],
//!     over_share_worth: 0.1,
//!     reports: LoadReporting::WithResponses,
//!     must_watch: false,
//!     may_probe: false,
//!     may_cancel: true,
//!     second_copies: true,
//!     max_retry_after: 0,
//!     max_attempts: 5,
//!     tick: 2_000,
//!     answer_slack: 8_000,
//!     drain_grace: 500_000,
//!     release_within: 500_000,
//!     cold_from: 0.3,
//!     warm_within: 13_000_000,
//!     fall_multiple: 2.5,
//!     fall: 1_000_000,
//!     cross_zone_price: 0.0,
//!     far_price: 0.0,
//! };
//! let mut router = Router::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let server = |server, role| EndpointRecord {
//!     server,
//!     key: server.into(),
//!     role,
//!     memory: 200_000.0,
//!     zone: 0,
//!     cell: 0,
//!     state: EndpointStatus::Ready,
//!     started: None,
//! };
//! let entries = vec![server(1, Role::Prefill), server(2, Role::Decode)];
//! router.handle(1_000, Event::EndpointsChanged { complete: true, entries }, &mut actions);
//! let ask = RequestMetadata {
//!     id: 1,
//!     class: 0,
//!     tenant: None,
//!     session: Some(5),
//!     prefix: None,
//!     expires_in: 4_000_000,
//!     prompt: 1_500.0,
//!     prefix_tokens: 0.0,
//!     max_tokens: 200.0,
//!     hint: None,
//! };
//! router.handle(2_000, Event::RequestArrived(ask), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::StartAttempt { id: 1, server: 1, .. })));
//! ```

#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod config;
pub mod discovery;
pub mod dispatcher;
pub mod frontend;
pub mod gossip;
pub mod net;
pub mod recording;
pub mod routing;
pub mod upgrade;
pub mod variants;
