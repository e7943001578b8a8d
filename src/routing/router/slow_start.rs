//! Slow start: how much a server that has started of late is sent by this router.

use super::tracked_endpoint::TrackedEndpoint;
use super::{side, Request, Stage, BORNE, FINISHED, NEWEST, REFIT, STARTED};
use crate::routing::candidate_index::mix;

const COLD_PART: f64 = 0.8; // part of a cold server's budget that is used, reckoned as if it stayed as cold

impl super::Router {
    /// A cold server gets this router's part of what it can take in any span of the rule's length, by what
    /// the warm ones bear for this router; a part of one send is drawn by lot (docs/candidates.md).
    pub(super) fn cold_allows(
        &self,
        request: &Request,
        server: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        if server.age(&self.settings, self.now) >= 1.0 {
            return true;
        }
        let since = self.now.saturating_sub(self.settings.overload_window);
        let sent = server.sent.iter().filter(|at| **at >= since).count() as f64;
        let span = NEWEST * self.settings.overload_window as f64 / REFIT as f64;
        let able = self.settings.overload_threshold * self.settings.slow_start_initial_share * span;
        let (side, to) = (side(stage), server.entry.endpoint);
        let bearing = self.candidates.bearing(side).0;
        // One that waits draws again after each span. Texts draw none: a cold reader is home to its part.
        let times = request.end_at.saturating_sub(self.now) / self.settings.overload_window.max(1);
        let drawn = mix(mix(request.ask.id ^ self.salt, times), to.into());
        let home = u64::from(!request.homes.contains_key(&to)) * u64::MAX;
        let lot = if stage == Stage::Write || request.homes.is_empty() {
            drawn
        } else {
            home
        };
        let factor = self
            .candidates
            .slow_start_sampling_factor(side, &self.look(request), to);
        let flow = self.flow.map(|it| it[side as usize]);
        let lot = lot as f64 / u64::MAX as f64 * factor * span * (flow[STARTED] + 1.0);
        let part = COLD_PART * able * (flow[BORNE] + 1.0 / bearing);
        sent + 1.0 <= able * flow[FINISHED] / bearing || lot < part - sent
    }
}
