//! Logs when the rate limits that upstreams state begin, change and end.

use std::collections::HashMap;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_steering::UpstreamState;

/// The change of a limit since its last log line, as a fraction of it, above which another line is written. It bounds the
/// lines while a limit moves.
const LOGGED_CHANGE: f64 = 0.2;

/// The limits that the log states, in requests per second, by the ids of the upstreams.
#[derive(Debug, Default)]
pub(crate) struct LimitLog {
    logged: HashMap<String, f64>,
}

impl LimitLog {
    /// Logs the limits that have begun, changed or ended since the last call. `upstreams` are all listed ones.
    pub(crate) fn update<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
        now: MonotonicTime,
    ) {
        let mut ended = std::mem::take(&mut self.logged);
        for state in upstreams {
            let Some(limit) = state.rate_limit.limit(now) else {
                continue;
            };
            let id = &state.info.id;
            let per_s = limit.per_second();
            let logged = ended.remove(id);
            let is_logged =
                logged.is_some_and(|logged| (logged - per_s).abs() <= logged * LOGGED_CHANGE);
            if !is_logged {
                log::info!(upstream = id.as_str(), per_s; "upstreams: A rate limit is stated.");
            }
            let stated = logged.filter(|_| is_logged).unwrap_or(per_s);
            self.logged.insert(id.clone(), stated);
        }
        for id in ended.keys() {
            log::info!(upstream = id.as_str(); "upstreams: A rate limit is no longer stated.");
        }
    }
}
