//! Plan of the load generator, checked against fixed bounds.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use thiserror::Error;

use crate::http_call::CallRequest;

/// Most requests of one run.
pub const MAX_REQUESTS: u64 = 20_000_000;
/// Longest duration of one run.
pub const MAX_TIME: Duration = Duration::from_mins(2);
/// Most connections of one run.
pub const MAX_CONCURRENCY: usize = 1024;
/// Highest open-loop rate of one lane in requests per second.
pub const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// Largest request body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Bound at which a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadBound {
    /// The run ends after this number of requests, or after [`MAX_TIME`].
    Requests(u64),
    /// The run ends after this time, or after [`MAX_REQUESTS`].
    Time(Duration),
}

/// Client account of a mix. It is parsed from `account key rate`, where the rate `-` stands for a closed loop.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountMix {
    /// Name of the lane in the report.
    pub account: String,
    /// Access key that the requests carry.
    pub key: String,
    /// Open-loop rate in requests per second, or `None` for a closed loop.
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

/// Unchecked parameters of a load run.
#[derive(Debug, Clone)]
pub struct RawLoad {
    /// Address that the requests are sent to.
    pub target: SocketAddr,
    /// Number of connections of all lanes together.
    pub concurrency: usize,
    /// Bound at which the run ends.
    pub bound: LoadBound,
    /// Open-loop rate of a run without a mix in requests per second, or `None` for a closed loop.
    pub rate_per_s: Option<f64>,
    /// Client accounts; if empty, all requests are sent in one lane without an access key.
    pub mix: Vec<AccountMix>,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// Work time that the requests set with `X-Work-Ms`, in milliseconds, or `None` for the default of the upstream.
    pub work_ms: Option<u64>,
}

/// Error in a load plan.
#[derive(Debug, Error, PartialEq)]
pub enum LoadPlanError {
    /// The target is not a loopback address.
    #[error("{0}: load goes to loopback addresses only")]
    Target(SocketAddr),
    /// A number is zero or exceeds its bound.
    #[error("{parameter}: expected more than 0 and at most {bound}")]
    OutOfBounds {
        /// Name of the parameter.
        parameter: &'static str,
        /// Largest valid value, with its unit.
        bound: String,
    },
    /// An account of the mix cannot be parsed.
    #[error("account mix {0:?}: expected `account key rate` with a rate in requests/s or `-`")]
    Mix(String),
    /// The HTTP method is invalid.
    #[error("method {0:?}: expected an HTTP method")]
    Method(String),
}

/// Requests of one client account, with their own connections and rate.
#[derive(Debug, Clone)]
pub struct LoadLane {
    /// Name in the report.
    pub name: String,
    /// Number of connections.
    pub concurrency: usize,
    /// Open-loop rate in requests per second, or `None` for a closed loop.
    pub rate_per_s: Option<f64>,
    /// Request that is sent repeatedly.
    pub request: CallRequest,
}

/// Load plan whose numbers are within their bounds.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Address that the requests are sent to.
    pub target: SocketAddr,
    /// Bound at which the run ends.
    pub bound: LoadBound,
    /// One lane for each client account, or a single lane without a mix.
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

/// Checks that `address` is a loopback address.
///
/// # Errors
///
/// Returns [`LoadPlanError::Target`] if `address` is not a loopback address.
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
/// Returns [`LoadPlanError::OutOfBounds`] if `count` is 0 or greater than `max`.
pub fn check_count(parameter: &'static str, count: usize, max: usize) -> Result<(), LoadPlanError> {
    if (1..=max).contains(&count) {
        Ok(())
    } else {
        Err(out_of_bounds(parameter, max.to_string()))
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

fn out_of_bounds(parameter: &'static str, bound: String) -> LoadPlanError {
    LoadPlanError::OutOfBounds { parameter, bound }
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
    let connection_count =
        |index: usize| raw.concurrency / count + usize::from(index < raw.concurrency % count);
    raw.mix
        .iter()
        .enumerate()
        .map(|(index, mix)| {
            let bearer = format!("Bearer {}", mix.key);
            let request = request.clone().header("Authorization", &bearer);
            lane(
                &mix.account,
                connection_count(index),
                mix.rate_per_s,
                request,
            )
        })
        .collect()
}

fn lane(
    name: &str,
    concurrency: usize,
    rate_per_s: Option<f64>,
    request: CallRequest,
) -> Result<LoadLane, LoadPlanError> {
    let is_in_range = |rate: f64| rate > 0.0 && rate <= MAX_RATE_PER_S;
    if !rate_per_s.is_none_or(is_in_range) {
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
