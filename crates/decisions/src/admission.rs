//! Whether a request may run at all: its route, its client account and its access key.

use coltsfootkeel_model::{AccessDigest, AccountKey, FleetConfig, RouteKey};

use crate::attempt_state::RefusalKind;

/// A request that may run as far as the configuration is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// The route.
    pub route: RouteKey,
    /// The client account, or none on a route that is open to all.
    pub account: Option<AccountKey>,
}

/// Finds the route and the account of a request.
///
/// # Errors
///
/// Returns why the request may not run. An unknown path is reported before a missing key, because routes are no
/// secret.
pub fn admit_request(
    config: &FleetConfig,
    path: &str,
    access: Option<AccessDigest>,
) -> Result<AdmittedRequest, RefusalKind> {
    let route = config.route_table.find(path).ok_or(RefusalKind::NoRoute)?;
    let record = &config.routes[route];
    if record.open {
        return Ok(AdmittedRequest {
            route,
            account: None,
        });
    }
    let digest = access.ok_or(RefusalKind::MissingKey)?;
    let grant = config.access.find(digest).ok_or(RefusalKind::UnknownKey)?;
    if !record.allows(grant.account) {
        return Err(RefusalKind::AccountNotAllowed);
    }
    Ok(AdmittedRequest {
        route,
        account: Some(grant.account),
    })
}
