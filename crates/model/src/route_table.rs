//! Look-up of routes by path. The route with the longest prefix that ends at a segment boundary applies.

use crate::keys::RouteKey;

/// The path prefixes of all routes of a configuration, longest first.
#[derive(Debug, Default)]
pub struct RouteTable {
    prefixes: Vec<RoutePrefix>,
}

#[derive(Debug)]
struct RoutePrefix {
    prefix: String,
    route: RouteKey,
}

impl RouteTable {
    /// Adds a route with its path prefix.
    pub fn insert(&mut self, prefix: &str, route: RouteKey) {
        let length = prefix.len();
        let position = self
            .prefixes
            .partition_point(|entry| entry.prefix.len() >= length);
        let prefix = prefix.to_string();
        self.prefixes
            .insert(position, RoutePrefix { prefix, route });
    }

    /// Returns the route that serves `path`, or `None` if no prefix matches.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<RouteKey> {
        self.prefixes
            .iter()
            .find(|entry| matches_prefix(&entry.prefix, path))
            .map(|entry| entry.route)
    }
}

fn matches_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
