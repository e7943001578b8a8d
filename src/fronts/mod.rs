//! The fronts: each turns its wire into core requests and core answers into its wire, and decides nothing.

pub mod health;
pub mod listener;
pub mod management;
pub mod names;
pub mod platform;
pub mod room;
pub mod websocket;
