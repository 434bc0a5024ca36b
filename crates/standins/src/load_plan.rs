//! What the load generator sends, checked against fixed bounds.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use thiserror::Error;

use crate::http_call::CallRequest;

/// The highest number of requests of one run.
pub const MAX_REQUESTS: u64 = 20_000_000;
/// The longest run.
pub const MAX_TIME: Duration = Duration::from_mins(2);
/// The highest number of connections of one run.
pub const MAX_CONCURRENCY: usize = 1024;
/// The highest open-loop rate of one lane, in requests per second.
pub const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// The longest request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// When a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadBound {
    /// After this number of requests.
    Requests(u64),
    /// After this time.
    Time(Duration),
}

/// One client account of a mix, written as `account key rate`; the rate `-` sends without pauses.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountMix {
    /// The name in the report.
    pub account: String,
    /// The access key to send.
    pub key: String,
    /// Requests per second, or nothing for a closed loop.
    pub rate_per_s: Option<f64>,
}

impl FromStr for AccountMix {
    type Err = LoadPlanError;

    fn from_str(text: &str) -> Result<Self, LoadPlanError> {
        let parts: Vec<&str> = text.split_whitespace().collect();
        let &[account, key, rate] = parts.as_slice() else {
            return Err(LoadPlanError::Mix(text.to_owned()));
        };
        let rate_per_s = match rate {
            "-" => None,
            number => Some(
                number
                    .parse()
                    .map_err(|_| LoadPlanError::Mix(text.to_owned()))?,
            ),
        };
        Ok(Self {
            account: account.to_owned(),
            key: key.to_owned(),
            rate_per_s,
        })
    }
}

/// A plan as it was given.
#[derive(Debug, Clone)]
pub struct RawLoad {
    /// The address to send to.
    pub target: SocketAddr,
    /// Connections of all lanes together.
    pub concurrency: usize,
    /// When the run ends.
    pub bound: LoadBound,
    /// Open-loop rate without a mix, in requests per second.
    pub rate_per_s: Option<f64>,
    /// The client accounts; without any, requests carry no key.
    pub mix: Vec<AccountMix>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The length of the request body in bytes.
    pub body_bytes: usize,
    /// The work time to ask of the upstream, in milliseconds.
    pub work_ms: Option<u64>,
}

/// The reason why a plan is not run.
#[derive(Debug, Error, PartialEq)]
pub enum LoadPlanError {
    /// The target is not on loopback.
    #[error("{0}: load goes to loopback addresses only")]
    Target(SocketAddr),
    /// A number exceeds its bound.
    #[error("{what}: expected more than 0 and at most {bound}")]
    OutOfBounds {
        /// The field.
        what: &'static str,
        /// The bound with its unit.
        bound: String,
    },
    /// A mix entry cannot be read.
    #[error("account mix {0:?}: expected `account key rate` with a rate in requests/s or `-`")]
    Mix(String),
    /// The method cannot be read.
    #[error("method {0:?}: expected an HTTP method")]
    Method(String),
}

/// The requests of one client account.
#[derive(Debug, Clone)]
pub struct LoadLane {
    /// The name in the report.
    pub name: String,
    /// The number of connections.
    pub concurrency: usize,
    /// Open-loop rate in requests per second, or nothing for a closed loop.
    pub rate_per_s: Option<f64>,
    /// The request to repeat.
    pub request: CallRequest,
}

/// A checked plan.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The address to send to.
    pub target: SocketAddr,
    /// When the run ends; [`MAX_TIME`] ends it in any case.
    pub bound: LoadBound,
    /// One lane for each client account.
    pub lanes: Vec<LoadLane>,
}

impl TryFrom<RawLoad> for LoadPlan {
    type Error = LoadPlanError;

    fn try_from(raw: RawLoad) -> Result<Self, LoadPlanError> {
        check_target(raw.target)?;
        check_bound(raw.bound)?;
        check_count("concurrency", raw.concurrency, MAX_CONCURRENCY)?;
        if raw.body_bytes > MAX_BODY_BYTES {
            return Err(out_of_bounds(
                "body",
                format!("{MAX_BODY_BYTES} bytes, or 0"),
            ));
        }
        let request = base_request(&raw)?;
        let lanes = if raw.mix.is_empty() {
            vec![lane("all", raw.concurrency, raw.rate_per_s, request)?]
        } else {
            mixed_lanes(&raw, &request)?
        };
        Ok(Self {
            target: raw.target,
            bound: raw.bound,
            lanes,
        })
    }
}

/// Checks that `address` is on loopback.
///
/// # Errors
///
/// Returns [`LoadPlanError::Target`] if it is not.
pub fn check_target(address: SocketAddr) -> Result<(), LoadPlanError> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(LoadPlanError::Target(address))
    }
}

/// Checks that `count` is between 1 and `max`.
///
/// # Errors
///
/// Returns [`LoadPlanError::OutOfBounds`] if it is not.
pub fn check_count(what: &'static str, count: usize, max: usize) -> Result<(), LoadPlanError> {
    if (1..=max).contains(&count) {
        Ok(())
    } else {
        Err(out_of_bounds(what, max.to_string()))
    }
}

fn check_bound(bound: LoadBound) -> Result<(), LoadPlanError> {
    match bound {
        LoadBound::Requests(count) if !(1..=MAX_REQUESTS).contains(&count) => {
            Err(out_of_bounds("requests", MAX_REQUESTS.to_string()))
        }
        LoadBound::Time(time) if time.is_zero() || time > MAX_TIME => {
            Err(out_of_bounds("time", format!("{} s", MAX_TIME.as_secs())))
        }
        LoadBound::Requests(_) | LoadBound::Time(_) => Ok(()),
    }
}

fn out_of_bounds(what: &'static str, bound: String) -> LoadPlanError {
    LoadPlanError::OutOfBounds { what, bound }
}

fn base_request(raw: &RawLoad) -> Result<CallRequest, LoadPlanError> {
    let method = Method::from_bytes(raw.method.as_bytes())
        .map_err(|_| LoadPlanError::Method(raw.method.clone()))?;
    let body = Bytes::from(vec![b'x'; raw.body_bytes]);
    let request = CallRequest::new(method, &raw.path).body(body);
    Ok(match raw.work_ms {
        Some(work) => request.header("X-Work-Ms", &work.to_string()),
        None => request,
    })
}

fn mixed_lanes(raw: &RawLoad, request: &CallRequest) -> Result<Vec<LoadLane>, LoadPlanError> {
    let count = raw.mix.len();
    check_count("accounts of the mix", count, raw.concurrency)?;
    let share =
        |index: usize| raw.concurrency / count + usize::from(index < raw.concurrency % count);
    raw.mix
        .iter()
        .enumerate()
        .map(|(index, mix)| {
            let bearer = format!("Bearer {}", mix.key);
            let request = request.clone().header("Authorization", &bearer);
            lane(&mix.account, share(index), mix.rate_per_s, request)
        })
        .collect()
}

fn lane(
    name: &str,
    concurrency: usize,
    rate_per_s: Option<f64>,
    request: CallRequest,
) -> Result<LoadLane, LoadPlanError> {
    let fits = |rate: f64| rate > 0.0 && rate <= MAX_RATE_PER_S;
    if !rate_per_s.is_none_or(fits) {
        return Err(out_of_bounds(
            "rate",
            format!("{MAX_RATE_PER_S} requests/s"),
        ));
    }
    Ok(LoadLane {
        name: name.to_owned(),
        concurrency,
        rate_per_s,
        request,
    })
}
