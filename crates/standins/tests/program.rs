//! Tests of the program as a child process: hard and soft crashes of upstreams, and refused options and fleet inputs.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use coltsfootkeel_standins::{CRASH_EXIT_CODE, CallError, CallRequest, call_once};
use http::Method;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootkeel-standins");

/// A running program that is killed on drop, so that it does not outlive a failed test.
struct StartedProgram(Child);

impl Drop for StartedProgram {
    fn drop(&mut self) {
        // An error means that the program has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_upstreams(arguments: &[&str], count: usize) -> (StartedProgram, Vec<SocketAddr>) {
    let mut child = Command::new(PROGRAM)
        .args(["upstream", "--listen", "127.0.0.1:0"])
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(child.stdout.take().unwrap());
    let program = StartedProgram(child);
    let addresses = output.lines().take(count).map(|line| {
        let line = line.unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    });
    (program, addresses.collect())
}

struct CrashCase {
    label: &'static str,
    arguments: &'static [&'static str],
    exit_code: Option<i32>,
}

/// Guards against a hard crash that leaves the process running, and against a soft crash that also closes the other
/// upstreams of the process.
#[tokio::test]
async fn a_hard_crash_ends_the_process_and_a_soft_crash_one_upstream() {
    let cases = [
        CrashCase {
            label: "hard",
            arguments: &["--count", "2"],
            exit_code: Some(CRASH_EXIT_CODE),
        },
        CrashCase {
            label: "soft",
            arguments: &["--count", "2", "--crash", "soft", "--crash-ms", "60000"],
            exit_code: None,
        },
    ];
    for case in cases {
        let (mut program, addresses) = start_upstreams(case.arguments, 2);
        let crash = CallRequest::new(Method::POST, "/work").header("X-Crash", "yes");
        let crashed = call_once(addresses[0], &crash).await;
        let broken = matches!(crashed, Err(CallError::BrokenBeforeAnswer(_)));
        assert!(broken, "{}: {crashed:?}", case.label);
        if case.exit_code.is_some() {
            let status = program.0.wait().unwrap();
            assert_eq!(status.code(), case.exit_code, "{}", case.label);
        } else {
            let other = CallRequest::new(Method::GET, "/work");
            let answer = call_once(addresses[1], &other).await.unwrap();
            assert_eq!(answer.status, 200, "{}", case.label);
        }
    }
}

struct RefusalCase {
    label: &'static str,
    arguments: &'static [&'static str],
    message: &'static str,
}

/// Guards against invalid or contradictory options that are accepted instead of refused.
#[test]
fn invalid_options_are_refused() {
    let cases = [
        RefusalCase {
            label: "no command",
            arguments: &[],
            message: "",
        },
        RefusalCase {
            label: "upstream without addresses",
            arguments: &["upstream"],
            message: "expected either --listen or --fleet",
        },
        RefusalCase {
            label: "unknown crash mode",
            arguments: &["upstream", "--listen", "127.0.0.1:0", "--crash", "loud"],
            message: "expected hard or soft",
        },
        RefusalCase {
            label: "ports above 65535",
            arguments: &["upstream", "--listen", "127.0.0.1:65535", "--count", "2"],
            message: "expected ports up to 65535",
        },
        RefusalCase {
            label: "target that is not a loopback address",
            arguments: &["load", "--target", "192.0.2.1:80"],
            message: "loopback",
        },
        RefusalCase {
            label: "two bounds",
            arguments: &[
                "load",
                "--target",
                "127.0.0.1:9",
                "--count",
                "1",
                "--seconds",
                "1",
            ],
            message: "not both",
        },
    ];
    for case in cases {
        let output = run(case.arguments);
        assert_refused(case.label, &output, case.message);
    }
}

struct FleetCase {
    label: &'static str,
    files: &'static [(&'static str, &'static str)],
    message: &'static str,
}

const SMALL_FLEET: &str = "
regions: [{name: penang, failure_domains: [penang-a]}]
seats: [{name: penang-a-1, failure_domain: penang-a}]
";

/// Guards against a fleet that starts processes although its inputs are missing or invalid.
#[test]
fn fleet_inputs_are_checked_before_the_start() {
    let cases = [
        FleetCase {
            label: "no configuration",
            files: &[],
            message: "fleet.yaml",
        },
        FleetCase {
            label: "invalid configuration",
            files: &[("fleet.yaml", "regions: []\nseats: []\n")],
            message: "fleet.yaml:2:8: seats: expected at least one seat",
        },
        FleetCase {
            label: "settings without an entry address",
            files: &[
                ("fleet.yaml", SMALL_FLEET),
                ("penang-a-1.yaml", "entry:\n  listen: here\n"),
            ],
            message: "penang-a-1.yaml:2:11: entry.listen: expected an address",
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{index}"));
        fs::create_dir_all(&folder).unwrap();
        for (name, text) in case.files {
            fs::write(folder.join(name), text).unwrap();
        }
        let output = run(&["fleet", folder.to_str().unwrap()]);
        assert_refused(case.label, &output, case.message);
    }
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn assert_refused(label: &str, output: &Output, message: &str) {
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{label}");
    assert!(errors.contains(message), "{label}: {errors}");
}
