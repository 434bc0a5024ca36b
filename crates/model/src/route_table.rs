//! Routes by path prefix; the longest prefix that ends at a segment boundary wins.

use crate::keys::RouteKey;

/// All routes of a configuration, longest prefix first.
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
    /// Adds a route.
    pub fn insert(&mut self, prefix: &str, route: RouteKey) {
        let length = prefix.len();
        let position = self
            .prefixes
            .partition_point(|known| known.prefix.len() >= length);
        let prefix = prefix.to_string();
        self.prefixes
            .insert(position, RoutePrefix { prefix, route });
    }

    /// Finds the route of a path.
    #[must_use]
    pub fn find(&self, path: &str) -> Option<RouteKey> {
        self.prefixes
            .iter()
            .find(|known| covers(&known.prefix, path))
            .map(|known| known.route)
    }
}

fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
