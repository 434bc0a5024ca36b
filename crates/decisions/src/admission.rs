//! Admission of a request: finds its route and checks the client account of its access key.

use coltsfootkeel_model::{AccessDigest, AccountKey, FleetConfig, RouteKey};

use crate::attempt_state::RefusalKind;

/// The route and the client account of a request that the configuration permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedRequest {
    /// The route that matches the path of the request.
    pub route: RouteKey,
    /// The client account of the access key; `None` on a route that is open to all.
    pub account: Option<AccountKey>,
}

/// Returns the route and the client account of a request with the given path and digest of the access key.
///
/// # Errors
///
/// Returns the reason why the request is not permitted. An unknown path is reported before a missing access key,
/// because routes are not secret.
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
