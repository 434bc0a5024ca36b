//! Tests of the program against running daemons: its output and its exit codes.

#[path = "../../daemon/tests/admin_fleet/mod.rs"]
mod admin_fleet;

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use admin_fleet::{AdminFleet, FULL_TOKEN, TEAM_TOKEN};
use serde_json::Value;

const TOOL_PATH: &str = env!("CARGO_BIN_EXE_coltsfootkeel");
const TEMP_FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const FIRST_PORT: u16 = 17_500;

/// Starts a fleet. The daemon's executable is in the same folder as the tool's; `cargo test --workspace` and
/// `cargo build --bins` build both.
async fn start_fleet(count: u16, offset: u16) -> AdminFleet {
    let daemon: PathBuf = Path::new(TOOL_PATH).with_file_name("coltsfootkeeld");
    assert!(daemon.is_file(), "run cargo build --bins first");
    AdminFleet::start(&daemon, Path::new(TEMP_FOLDER), count, FIRST_PORT + offset).await
}

fn spawn_tool(admin: &str, token: &str, arguments: &[&str]) -> Child {
    Command::new(TOOL_PATH)
        .args(arguments)
        .env("COLTSFOOTKEEL_ADMIN", admin)
        .env("COLTSFOOTKEEL_TOKEN", token)
        .env_remove("COLTSFOOTKEEL_ENTRY")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Runs the tool with the token of the operator who may change everything.
fn run_tool(fleet: &AdminFleet, arguments: &[&str]) -> Output {
    let child = spawn_tool(&fleet.admin(0).to_string(), FULL_TOKEN, arguments);
    child.wait_with_output().unwrap()
}

fn output_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn errors_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn code_of(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Guards against two concurrent changes that are both accepted, and against a conflict that is reported without the
/// change that was accepted first.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_applies_is_accepted() {
    let fleet = start_fleet(1, 0).await;
    let first = fleet.document.replace("rate_per_s: 70", "rate_per_s: 71");
    let second = fleet.document.replace("burst: 35", "burst: 36");
    let files = [
        fleet.write("first.yaml", &first),
        fleet.write("second.yaml", &second),
    ];
    let admin = fleet.admin(0).to_string();
    let messages = ["more for hotels", "longer bursts"];
    let children = [0, 1].map(|index| {
        let file = files[index].to_str().unwrap();
        let message = messages[index];
        let arguments = [
            "config",
            "apply",
            file,
            "--expect",
            "1",
            "--message",
            message,
        ];
        spawn_tool(&admin, FULL_TOKEN, &arguments)
    });
    let outputs = children.map(|child| child.wait_with_output().unwrap());
    let codes = [code_of(&outputs[0]), code_of(&outputs[1])];
    let accepted = codes
        .iter()
        .position(|code| *code == 0)
        .expect("one is accepted");
    let rejected = 1 - accepted;
    assert_eq!(codes[rejected], 3, "{}", errors_of(&outputs[rejected]));
    assert!(output_of(&outputs[accepted]).contains("accepted at generation 2"));
    let expected = format!("generation 2 by full: {}", messages[accepted]);
    let errors = errors_of(&outputs[rejected]);
    assert!(errors.contains(&expected), "{errors}");
    assert!(errors.contains("--expect 2"), "{errors}");
    assert_eq!(fleet.generation().await, 2);
}

struct InvalidDocumentCase {
    label: &'static str,
    /// Texts of the document and their replacements.
    changes: &'static [(&'static str, &'static str)],
    /// A part of a line in the document, and a part of the finding expected for that line.
    findings: &'static [(&'static str, &'static str)],
}

/// Guards against an invalid document that is applied in part, and against a report that contains only the first
/// finding or lacks the line numbers.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_gives_all_findings_and_changes_nothing() {
    let fleet = start_fleet(1, 10).await;
    let cases = [
        InvalidDocumentCase {
            label: "one fault",
            changes: &[("pool: desk,", "pool: nowhere,")],
            findings: &[
                (
                    "name: orders,",
                    "expected the name of a pool, found 'nowhere'",
                ),
                (
                    "name: proofs,",
                    "expected the name of a pool, found 'nowhere'",
                ),
            ],
        },
        InvalidDocumentCase {
            label: "faults of parsing and of validation",
            changes: &[
                ("rate_per_s: 70", "rate_per_s: many"),
                ("department: printing, path", "department: absent, path"),
                ("slots: 9", "slots: 0, colour: red"),
            ],
            findings: &[
                ("name: hotels,", "rate_per_s: expected a whole number"),
                (
                    "name: proofs,",
                    "expected the name of a department, found 'absent'",
                ),
                ("name: od-1,", "slots: expected a whole number"),
                ("name: od-1,", "unknown field"),
            ],
        },
    ];
    for case in cases {
        let mut document = fleet.document.clone();
        for (from, to) in case.changes {
            assert!(document.contains(from), "{}: {from}", case.label);
            document = document.replace(from, to);
        }
        let path = fleet.write("faulty.yaml", &document);
        let file = path.to_str().unwrap();
        for arguments in [
            &["config", "check", file][..],
            &["config", "apply", file, "--expect", "1"][..],
        ] {
            let output = run_tool(&fleet, arguments);
            let errors = errors_of(&output);
            assert_eq!(code_of(&output), 1, "{}: {errors}", case.label);
            for (text, expected) in case.findings {
                let line = document
                    .lines()
                    .position(|line| line.contains(text))
                    .unwrap()
                    + 1;
                let location = format!("{file}:{line}:");
                let found = errors
                    .lines()
                    .any(|error| error.starts_with(&location) && error.contains(expected));
                assert!(found, "{}: {location} {expected}: {errors}", case.label);
            }
        }
        assert_eq!(fleet.generation().await, 1, "{}", case.label);
    }
}

struct ExitCase {
    label: &'static str,
    token: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    /// A text that standard output or standard error contains.
    text: &'static str,
}

const EXIT_CASES: [ExitCase; 16] = [
    ExitCase {
        label: "help",
        token: FULL_TOKEN,
        arguments: &["key", "withdraw", "--help"],
        code: 0,
        text: "Examples:\n  coltsfootkeel key withdraw",
    },
    ExitCase {
        label: "status",
        token: FULL_TOKEN,
        arguments: &["status"],
        code: 0,
        text: "in force on 1 of 1 instances",
    },
    ExitCase {
        label: "JSON after the command",
        token: FULL_TOKEN,
        arguments: &["account", "list", "--json"],
        code: 0,
        text: "\"rate_per_s\": 70",
    },
    ExitCase {
        label: "table",
        token: FULL_TOKEN,
        arguments: &["upstream", "list"],
        code: 0,
        text: "od-1  desk",
    },
    ExitCase {
        label: "shift",
        token: FULL_TOKEN,
        arguments: &["shift", "start", "orders-out"],
        code: 0,
        text: "started shift orders-out",
    },
    ExitCase {
        label: "shift that is started already",
        token: FULL_TOKEN,
        arguments: &["shift", "start", "orders-out"],
        code: 0,
        text: "nothing to change",
    },
    ExitCase {
        label: "drain",
        token: FULL_TOKEN,
        arguments: &["drain", "start", "upstream", "od-1"],
        code: 0,
        text: "added drain upstream/od-1",
    },
    ExitCase {
        label: "end of a drain",
        token: FULL_TOKEN,
        arguments: &["drain", "stop", "upstream", "od-1"],
        code: 0,
        text: "removed drain upstream/od-1",
    },
    ExitCase {
        label: "absent record",
        token: FULL_TOKEN,
        arguments: &["route", "show", "absent"],
        code: 1,
        text: "route absent does not exist",
    },
    ExitCase {
        label: "another department",
        token: TEAM_TOKEN,
        arguments: &["shift", "pause", "orders-out"],
        code: 1,
        text: "may change only objects of: printing",
    },
    ExitCase {
        label: "unknown token",
        token: "nobody",
        arguments: &["status"],
        code: 1,
        text: "COLTSFOOTKEEL_TOKEN",
    },
    ExitCase {
        label: "unknown command",
        token: FULL_TOKEN,
        arguments: &["shfit", "list"],
        code: 2,
        text: "--help",
    },
    ExitCase {
        label: "apply without a generation",
        token: FULL_TOKEN,
        arguments: &["config", "apply", "../../examples/first-run/fleet.yaml"],
        code: 2,
        text: "--expect GENERATION",
    },
    ExitCase {
        label: "file that is no configuration",
        token: FULL_TOKEN,
        arguments: &["config", "check", "Cargo.toml"],
        code: 1,
        text: "Cargo.toml:",
    },
    ExitCase {
        label: "address with a host name",
        token: FULL_TOKEN,
        arguments: &["status", "--admin", "localhost:7201"],
        code: 2,
        text: "expected an IP address with a port",
    },
    ExitCase {
        label: "no listener at the address",
        token: FULL_TOKEN,
        arguments: &["status", "--admin", "127.0.0.1:2"],
        code: 4,
        text: "cannot connect to 127.0.0.1:2",
    },
];

/// Guards against exit codes that change, on which scripts depend, and against errors that do not name their cause or
/// remedy.
#[tokio::test(flavor = "multi_thread")]
async fn each_outcome_has_its_exit_code_and_text() {
    let fleet = start_fleet(1, 20).await;
    let admin = fleet.admin(0).to_string();
    for case in EXIT_CASES {
        let output = spawn_tool(&admin, case.token, case.arguments)
            .wait_with_output()
            .unwrap();
        let text = output_of(&output) + &errors_of(&output);
        assert_eq!(code_of(&output), case.code, "{}: {text}", case.label);
        assert!(text.contains(case.text), "{}: {text}", case.label);
    }
}

/// Guards against a repeated command that applies its change twice although its write id is the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_command_with_one_write_id_is_applied_once() {
    let fleet = start_fleet(1, 30).await;
    let file = fleet.write("weddings.yaml", "name: weddings\n");
    let arguments = [
        "department",
        "put",
        file.to_str().unwrap(),
        "--write-id",
        "weddings-1",
    ];
    for expected in [
        "accepted at generation 2:",
        "accepted at generation 2 by an earlier call:",
    ] {
        let output = run_tool(&fleet, &arguments);
        assert_eq!(code_of(&output), 0, "{}", errors_of(&output));
        assert!(
            output_of(&output).contains(expected),
            "{}",
            output_of(&output)
        );
    }
    assert_eq!(fleet.generation().await, 2);
}

/// Guards against a withdrawal that is reported as complete before it is in force on every instance with a recent
/// heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawal_waits_until_it_is_in_force_on_all_instances() {
    const DAEMONS: u16 = 3;
    let fleet = start_fleet(DAEMONS, 40).await;
    let granted = run_tool(
        &fleet,
        &["key", "grant", "printers", "--label", "new", "--json"],
    );
    assert_eq!(code_of(&granted), 0, "{}", errors_of(&granted));
    let answer: Value = serde_json::from_slice(&granted.stdout).unwrap();
    assert_eq!(
        answer["access_key"].as_str().map(str::len),
        Some(64),
        "{answer}"
    );
    let withdraw = ["key", "withdraw", "printers", "--label", "new", "--wait"];
    let withdrawn = run_tool(&fleet, &withdraw);
    assert_eq!(code_of(&withdrawn), 0, "{}", errors_of(&withdrawn));
    let text = output_of(&withdrawn);
    assert!(text.contains("withdrawn at generation 3"), "{text}");
    assert!(text.contains("in force on 3 of 3 instances"), "{text}");
    let again = run_tool(&fleet, &withdraw);
    assert_eq!(code_of(&again), 1, "{}", errors_of(&again));
}
