//! Demonstration for the first run: sends a few requests to a running fleet and prints the answers.

use std::net::SocketAddr;

use http::Method;

use crate::http_call::{CallAnswer, CallError, CallRequest, call_once};

/// Request of the demonstration.
struct DemoCase<'a> {
    /// Text that is printed before the request.
    description: &'static str,
    /// Index of the daemon that receives the request, modulo the number of daemons.
    daemon: usize,
    method: Method,
    path: &'static str,
    key: Option<&'a str>,
    idempotency_key: Option<&'static str>,
}

/// Sends the requests of the demonstration to the daemons at `entries` and prints the answers.
///
/// # Errors
///
/// Returns the error of the first request without a complete answer.
pub async fn show_requests(entries: &[SocketAddr], key: &str) -> Result<(), CallError> {
    for case in demo_cases(key) {
        let Some(entry) = entries.get(case.daemon % entries.len().max(1)) else {
            return Ok(());
        };
        let mut request = CallRequest::new(case.method.clone(), case.path);
        if let Some(key) = case.key {
            request = request.header("Authorization", &format!("Bearer {key}"));
        }
        if let Some(name) = case.idempotency_key {
            request = request.header("Idempotency-Key", name);
        }
        let answer = call_once(*entry, &request).await?;
        println!(
            "\n{}\n  {} {} at {entry}",
            case.description, case.method, case.path
        );
        print_answer(&answer);
    }
    Ok(())
}

fn demo_cases(key: &str) -> Vec<DemoCase<'_>> {
    let get = |description, daemon, path, key| DemoCase {
        description,
        daemon,
        method: Method::GET,
        path,
        key,
        idempotency_key: None,
    };
    let confirm = |description, daemon| DemoCase {
        description,
        daemon,
        method: Method::POST,
        path: "/confirmations/1",
        key: Some(key),
        idempotency_key: Some("order-1"),
    };
    vec![
        get(
            "Which entry instances should a client in Penang use?",
            0,
            "/v1/look-up?client=10.1.2.3",
            None,
        ),
        get(
            "A request with an access key is carried to an upstream:",
            0,
            "/previews/1",
            Some(key),
        ),
        get(
            "Without a key it is refused, and did not run:",
            0,
            "/previews/1",
            None,
        ),
        get("A path that no route serves:", 0, "/nowhere", Some(key)),
        get(
            "A route that is open to all:",
            4,
            "/opening-hours/today",
            None,
        ),
        confirm("A confirmation that may be sent again:", 0),
        confirm(
            "The same confirmation at another instance: the first answer, and no second run:",
            4,
        ),
    ]
}

fn print_answer(answer: &CallAnswer) {
    let upstream = answer.header("coltsfootkeel-upstream");
    let run = answer.header("coltsfootkeel-run");
    print!("  {}", answer.status);
    if let Some(upstream) = upstream {
        print!(", from upstream {upstream}");
    }
    if let Some(run) = run {
        print!(", {run}");
    }
    println!("\n  {}", String::from_utf8_lossy(&answer.body));
}
