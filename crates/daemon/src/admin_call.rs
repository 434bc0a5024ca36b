//! A call of an operator: who makes it, what it names and what it sends.

use coltsfootkeel_model::{AccessDigest, ContentDigest};
use coltsfootkeel_settings::OperatorSettings;
use http::header::{AUTHORIZATION, IF_MATCH};
use http::{HeaderMap, HeaderValue, Method, Uri};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use volo_http::request::Request;
use volo_http::server::param::PathParamsMap;

use crate::admin_error::AdminError;

/// The largest body in bytes. A document with 630,000 blocks has about 35 MB.
const MAX_BODY_BYTES: usize = 128 * 1024 * 1024;

/// The longest idempotency key in bytes. With what follows it fits into the write id of a commit.
const MAX_KEY_BYTES: usize = 64;

/// The hexadecimal digits of a change's digest that follow the idempotency key in a write id.
const DIGEST_DIGITS: usize = 16;

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const SUMMARY: &str = "coltsfootkeel-summary";

/// The fields of the query.
#[derive(Debug, Default, Deserialize)]
pub struct CallQuery {
    /// The most items to list.
    pub limit: Option<usize>,
    /// The item after which the list starts.
    pub after: Option<String>,
    /// The pool of an upstream that is put.
    pub pool: Option<String>,
}

/// A call of an operator whose token is valid.
#[derive(Debug)]
pub struct AdminCall {
    /// The operator.
    pub operator: OperatorSettings,
    /// The fields of the query.
    pub query: CallQuery,
    /// The body.
    pub body: String,
    params: PathParamsMap,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

/// Identifies a change, so that a repeat is noticed.
#[derive(Debug, Clone)]
pub struct ChangeId {
    /// The idempotency key of the caller, or a random one.
    pub key: String,
    /// The key with a digest of the call.
    call: String,
    /// The write id of the commit: that of the call and a number of this attempt. With the number, a commit with this
    /// write id was made by this attempt and not by a simultaneous one, which may have granted another access key.
    pub write_id: String,
}

/// How an earlier commit relates to a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierCommit {
    /// It has another key.
    Unrelated,
    /// It was made by the same call.
    SameCall,
    /// It was made by another call with the same key.
    SameKey,
}

impl ChangeId {
    fn new(key: String, call_digest: &str) -> Self {
        let call = format!("{key}.{}", &call_digest[..DIGEST_DIGITS]);
        let write_id = format!("{call}.{:08x}", fastrand::u32(..));
        Self {
            key,
            call,
            write_id,
        }
    }

    /// Compares the write id of an earlier commit.
    #[must_use]
    pub fn compare(&self, write_id: &str) -> EarlierCommit {
        let Some((call, _)) = write_id.rsplit_once('.') else {
            return EarlierCommit::Unrelated;
        };
        match call.rsplit_once('.') {
            Some(_) if call == self.call => EarlierCommit::SameCall,
            Some((key, _)) if key == self.key => EarlierCommit::SameKey,
            _ => EarlierCommit::Unrelated,
        }
    }
}

impl AdminCall {
    /// Checks the token and reads the body.
    ///
    /// # Errors
    ///
    /// Returns a fault if the token is not that of an operator or the body cannot be read.
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

    /// Returns a part of the path.
    #[must_use]
    pub fn param(&self, name: &str) -> &str {
        self.params.get(name).map_or("", |value| value.as_str())
    }

    /// Returns the path.
    #[must_use]
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Returns the generation that `If-Match` expects, with or without quotes.
    ///
    /// # Errors
    ///
    /// Returns a fault if the header is present and no generation.
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

    /// Returns the operator's own summary of the change, if one was sent.
    #[must_use]
    pub fn summary(&self) -> Option<&str> {
        let text = self.headers.get(SUMMARY)?.to_str().ok()?;
        (!text.is_empty()).then_some(text)
    }

    /// Identifies the change by the idempotency key and a digest of the call.
    ///
    /// # Errors
    ///
    /// Returns a fault if the key is too long or has other characters than letters, digits, `-`, `_` and `.`.
    pub fn change_id(&self) -> Result<ChangeId, AdminError> {
        let key = match self.headers.get(IDEMPOTENCY_KEY) {
            Some(value) => checked_key(value.to_str().unwrap_or_default())?,
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
    let mut found = operators.iter();
    found
        .find(|operator| operator.token_digest == digest)
        .ok_or(AdminError::Unauthorized)
}

fn checked_key(text: &str) -> Result<String, AdminError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !text.bytes().all(allowed) {
        let expected = format!(
            "Idempotency-Key: expected 1 to {MAX_KEY_BYTES} letters, digits, '-', '_' or '.'"
        );
        return Err(AdminError::Malformed(expected));
    }
    Ok(text.to_string())
}
