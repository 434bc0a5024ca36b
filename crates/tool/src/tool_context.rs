//! Context of all commands: the daemon's address, the operator's token and the format of the output.

use std::net::SocketAddr;

use http::{Method, StatusCode};
use serde_json::Value;

use crate::admin_client::{ClientAnswer, ClientCall};
use crate::command_line::CommandLine;
use crate::text_output::{conflict_text, findings_text, print_text};
use crate::tool_error::ToolError;

const ADMIN_VARIABLE: &str = "COLTSFOOTKEEL_ADMIN";
const TOKEN_VARIABLE: &str = "COLTSFOOTKEEL_TOKEN";

/// The global options of the command line, with defaults from the environment.
#[derive(Debug)]
pub struct ToolContext {
    /// Whether answers are printed as JSON instead of as tables and texts.
    pub prints_json: bool,
    admin: Option<String>,
    token: Option<String>,
    write_id: Option<String>,
}

impl ToolContext {
    /// Creates a context from the options; an absent address or token is taken from its environment variable.
    #[must_use]
    pub fn new(line: &CommandLine) -> Self {
        let option_or_variable =
            |option: &Option<String>, name| option.clone().or_else(|| std::env::var(name).ok());
        Self {
            prints_json: line.json,
            admin: option_or_variable(&line.admin, ADMIN_VARIABLE),
            token: option_or_variable(&line.token, TOKEN_VARIABLE),
            write_id: line.write_id.clone(),
        }
    }

    /// Sends a call that reads `path` from the administration API, and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the call or is not reached.
    pub async fn get(&self, path: &str) -> Result<Value, ToolError> {
        self.call(&ClientCall::get(path), "").await
    }

    /// Sends a change to the administration API with the write id of the command line or a random one, and returns its
    /// answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon refuses the change or is not reached.
    pub async fn change(&self, change: ToolChange<'_>) -> Result<Value, ToolError> {
        let random_id = || format!("{:032x}", fastrand::u128(..));
        let call = ClientCall {
            method: change.method,
            path: change.path,
            headers: change.headers,
            body: change.body,
            write_id: Some(self.write_id.clone().unwrap_or_else(random_id)),
        };
        self.call(&call, change.file).await
    }

    /// Prints `value` as JSON with the option `--json`, or else formats it with `text` and prints that.
    pub fn print(&self, value: &Value, text: impl FnOnce(&Value) -> String) {
        if self.prints_json {
            print_text(&format!("{value:#}"));
        } else {
            print_text(&text(value));
        }
    }

    async fn call(&self, call: &ClientCall, file: &str) -> Result<Value, ToolError> {
        let address = self.address()?;
        let answer = call.send(address, self.token.as_deref()).await?;
        if answer.status.is_success() {
            return Ok(answer.json());
        }
        let error = refusal_error(&answer, file);
        if self.prints_json {
            print_text(&format!("{:#}", answer.json()));
        }
        Err(error)
    }

    fn address(&self) -> Result<SocketAddr, ToolError> {
        let Some(text) = &self.admin else {
            let text =
                format!("expected --admin ADDRESS or {ADMIN_VARIABLE}, such as 127.0.0.1:7201");
            return Err(ToolError::Usage(text));
        };
        parse_address("--admin", text)
    }
}

/// A call that changes the configuration.
#[derive(Debug)]
pub struct ToolChange<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The names and values of further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body, or an empty text if the call has none.
    pub body: String,
    /// The name of the file from which the body was read, for the locations of findings; empty without a file.
    pub file: &'a str,
}

impl ToolChange<'_> {
    /// Creates a change without a body.
    #[must_use]
    pub fn new(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            headers: Vec::new(),
            body: String::new(),
            file: "",
        }
    }
}

/// Parses the IP address and the port in the value of an option.
///
/// # Errors
///
/// Returns an error that names the option and its value.
pub fn parse_address(option: &str, text: &str) -> Result<SocketAddr, ToolError> {
    text.parse().map_err(|_| {
        ToolError::Usage(format!(
            "{option} {text}: expected an IP address with a port, such as 127.0.0.1:7201"
        ))
    })
}

fn refusal_error(answer: &ClientAnswer, file: &str) -> ToolError {
    let body = answer.json();
    let message = match body["message"].as_str() {
        Some(message) => message.to_string(),
        None => format!("the daemon answered with status {}", answer.status),
    };
    match (answer.status, body["error"].as_str()) {
        (StatusCode::CONFLICT, Some("conflict")) => ToolError::Conflict(conflict_text(&body)),
        (StatusCode::UNPROCESSABLE_ENTITY, Some("findings")) => {
            ToolError::Refused(findings_text(&message, &body, file))
        }
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT, _) => {
            ToolError::NotReached(outcome_text(&message, &body))
        }
        (StatusCode::UNAUTHORIZED, _) => ToolError::Refused(format!(
            "the token does not belong to an operator; set --token or {TOKEN_VARIABLE}"
        )),
        _ => ToolError::Refused(message),
    }
}

fn outcome_text(message: &str, body: &Value) -> String {
    match body["write_id"].as_str() {
        Some(id) => format!(
            "the outcome is unknown and the change may have been made; repeat the command with --write-id {id} to get it"
        ),
        None => message.to_string(),
    }
}
