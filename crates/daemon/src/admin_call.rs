//! Call of an operator: authentication, parameters, body and idempotency key.

use coltsfootkeel_model::{AccessDigest, ContentDigest};
use coltsfootkeel_settings::OperatorSettings;
use http::header::{AUTHORIZATION, IF_MATCH};
use http::{HeaderMap, HeaderValue, Method, Uri};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use volo_http::request::Request;
use volo_http::server::param::PathParamsMap;

use crate::admin_error::AdminError;

/// The maximum size of a body in bytes. A document with 630,000 client address blocks has about 35 MB.
const MAX_BODY_BYTES: usize = 128 * 1024 * 1024;

/// The maximum length of an idempotency key in bytes. The key and its suffixes must fit into the write id of a commit.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;

/// The number of hexadecimal digits of the call's digest that follow the idempotency key in a write id.
const CALL_DIGEST_DIGITS: usize = 16;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const SUMMARY_HEADER: &str = "coltsfootkeel-summary";

/// The query parameters of a call.
#[derive(Debug, Default, Deserialize)]
pub struct CallQuery {
    /// The maximum number of items of a list.
    pub limit: Option<usize>,
    /// The name or the generation of the item after which the list starts.
    pub after: Option<String>,
    /// The pool into which an upstream is put.
    pub pool: Option<String>,
}

/// An authenticated call of an operator.
#[derive(Debug)]
pub struct AdminCall {
    /// The settings of the operator whose token the call carries.
    pub operator: OperatorSettings,
    /// The query parameters.
    pub query: CallQuery,
    /// The body of the request.
    pub body: String,
    params: PathParamsMap,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

/// Identifies a change, so that a repeated call is detected.
#[derive(Debug, Clone)]
pub struct ChangeId {
    /// The idempotency key that the operator sent, or a random one.
    pub key: String,
    /// The key and a digest of the call, joined by a dot.
    call_id: String,
    /// The write id of the commit: the id of the call and a random number. The number distinguishes the commit of this
    /// call from that of a simultaneous repeat, which may have granted a different access key.
    pub write_id: String,
}

/// The relation of an earlier commit to a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierCommit {
    /// The commit has a different idempotency key.
    Unrelated,
    /// The commit was made by the same call.
    SameCall,
    /// The commit was made by a different call with the same idempotency key.
    SameKey,
}

impl ChangeId {
    fn new(key: String, call_digest: &str) -> Self {
        let call_id = format!("{key}.{}", &call_digest[..CALL_DIGEST_DIGITS]);
        let write_id = format!("{call_id}.{:08x}", fastrand::u32(..));
        Self {
            key,
            call_id,
            write_id,
        }
    }

    /// Compares the change with the write id of an earlier commit.
    #[must_use]
    pub fn compare(&self, write_id: &str) -> EarlierCommit {
        let Some((call_id, _)) = write_id.rsplit_once('.') else {
            return EarlierCommit::Unrelated;
        };
        match call_id.rsplit_once('.') {
            Some(_) if call_id == self.call_id => EarlierCommit::SameCall,
            Some((key, _)) if key == self.key => EarlierCommit::SameKey,
            _ => EarlierCommit::Unrelated,
        }
    }
}

impl AdminCall {
    /// Authenticates the operator and reads the body. `query` is `None` if the query parameters could not be parsed.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::Unauthorized`] if the token is not that of an operator, and [`AdminError::Malformed`] if
    /// the query is not valid or the body is too large, incomplete or not UTF-8.
    pub async fn read(
        operators: &[OperatorSettings],
        params: PathParamsMap,
        query: Option<CallQuery>,
        request: Request,
    ) -> Result<Self, AdminError> {
        let (parts, body) = request.into_parts();
        let operator = find_operator(operators, &parts.headers)?.clone();
        let query = query.ok_or_else(|| {
            AdminError::Malformed("expected a query with limit, after or pool".to_string())
        })?;
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| AdminError::Malformed(format!("body: {error}")))?;
        let body = String::from_utf8(body.to_bytes().into())
            .map_err(|_| AdminError::Malformed("body: expected UTF-8 text".to_string()))?;
        Ok(Self {
            operator,
            query,
            body,
            params,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
        })
    }

    /// Returns a parameter of the path, or an empty string if the path has no such parameter.
    #[must_use]
    pub fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", |value| value.as_str())
    }

    /// Returns the path of the request.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns the generation in the header `If-Match`, with or without quotes, or `None` if the header is absent.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::Malformed`] if the header is present and not a number.
    pub fn expected_generation(&self) -> Result<Option<u64>, AdminError> {
        let Some(value) = self.headers.get(IF_MATCH) else {
            return Ok(None);
        };
        let text = value.to_str().unwrap_or_default().trim_matches('"');
        let number = text.parse().map_err(|_| {
            AdminError::Malformed("If-Match: expected the number of a generation".to_string())
        })?;
        Ok(Some(number))
    }

    /// Returns the summary of the change that the operator sent, or `None` if there is none.
    #[must_use]
    pub fn summary(&self) -> Option<&str> {
        let text = self.headers.get(SUMMARY_HEADER)?.to_str().ok()?;
        (!text.is_empty()).then_some(text)
    }

    /// Returns the id of the change, derived from the idempotency key and a digest of the call.
    ///
    /// # Errors
    ///
    /// Returns [`AdminError::Malformed`] if the key is empty, is longer than [`MAX_IDEMPOTENCY_KEY_BYTES`], or has
    /// characters other than letters, digits, `-`, `_` and `.`.
    pub fn change_id(&self) -> Result<ChangeId, AdminError> {
        let key = match self.headers.get(IDEMPOTENCY_KEY_HEADER) {
            Some(value) => validate_key(value.to_str().unwrap_or_default())?,
            None => format!("{:032x}", fastrand::u128(..)),
        };
        let if_match = self.headers.get(IF_MATCH).map(HeaderValue::as_bytes);
        let call = format!(
            "{}\n{}\n{}\n{:?}\n{}",
            self.operator.name, self.method, self.uri, if_match, self.body
        );
        let digest = ContentDigest::of_text(&call).to_string();
        Ok(ChangeId::new(key, &digest))
    }
}

fn find_operator<'a>(
    operators: &'a [OperatorSettings],
    headers: &HeaderMap,
) -> Result<&'a OperatorSettings, AdminError> {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    let digest = AccessDigest::of_key(token.ok_or(AdminError::Unauthorized)?.trim());
    let mut operators = operators.iter();
    operators
        .find(|operator| operator.token_digest == digest)
        .ok_or(AdminError::Unauthorized)
}

fn validate_key(text: &str) -> Result<String, AdminError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY_BYTES || !text.bytes().all(allowed) {
        let expected = format!(
            "Idempotency-Key: expected 1 to {MAX_IDEMPOTENCY_KEY_BYTES} letters, digits, '-', '_' or '.'"
        );
        return Err(AdminError::Malformed(expected));
    }
    Ok(text.to_string())
}
