//! The help text of each command, with examples.

use std::fmt::Write;

use gumdrop::Options;

use crate::command_line::CommandLine;

/// The examples of a command or of a group of commands.
struct CommandExamples {
    command: &'static str,
    examples: &'static [&'static str],
}

/// The examples in the help text. Help shows the entry of the command, or of its group if the command has none.
const EXAMPLES: [CommandExamples; 21] = [
    CommandExamples {
        command: "",
        examples: &[
            "export COLTSFOOTKEEL_ADMIN=127.0.0.1:7201 COLTSFOOTKEEL_TOKEN=first-run-operator-token",
            "coltsfootkeel status",
            "coltsfootkeel account list --json",
        ],
    },
    CommandExamples {
        command: "config",
        examples: &[
            "coltsfootkeel config show > fleet.json",
            "coltsfootkeel config diff fleet.json",
        ],
    },
    CommandExamples {
        command: "config check",
        examples: &["coltsfootkeel config check examples/first-run/fleet.yaml"],
    },
    CommandExamples {
        command: "config diff",
        examples: &["coltsfootkeel config diff fleet.yaml"],
    },
    CommandExamples {
        command: "config apply",
        examples: &[
            "coltsfootkeel config apply fleet.yaml --expect 7 --message 'more slots in johor'",
        ],
    },
    CommandExamples {
        command: "config show",
        examples: &["coltsfootkeel config show > fleet.json"],
    },
    CommandExamples {
        command: "history",
        examples: &["coltsfootkeel history --limit 5"],
    },
    CommandExamples {
        command: "status",
        examples: &["coltsfootkeel status --admin 127.0.0.1:7201"],
    },
    CommandExamples {
        command: "dump",
        examples: &["coltsfootkeel dump --admin 127.0.0.1:7201"],
    },
    CommandExamples {
        command: "department",
        examples: &[
            "coltsfootkeel department list",
            "coltsfootkeel department put weddings.yaml",
        ],
    },
    CommandExamples {
        command: "account",
        examples: &[
            "coltsfootkeel account show hotel-group",
            "coltsfootkeel account put hotel-group.yaml",
        ],
    },
    CommandExamples {
        command: "route",
        examples: &[
            "coltsfootkeel route list",
            "coltsfootkeel route remove previews",
        ],
    },
    CommandExamples {
        command: "pool",
        examples: &[
            "coltsfootkeel pool show order-desk",
            "coltsfootkeel pool put order-desk.yaml",
        ],
    },
    CommandExamples {
        command: "upstream",
        examples: &[
            "coltsfootkeel upstream list",
            "coltsfootkeel upstream put od-5.yaml --pool order-desk",
        ],
    },
    CommandExamples {
        command: "shift",
        examples: &[
            "coltsfootkeel shift start echo-out",
            "coltsfootkeel shift status echo-out",
        ],
    },
    CommandExamples {
        command: "drain",
        examples: &[
            "coltsfootkeel drain start upstream od-1",
            "coltsfootkeel drain stop upstream od-1",
        ],
    },
    CommandExamples {
        command: "key",
        examples: &["coltsfootkeel key grant hotel-group --label 2026-12"],
    },
    CommandExamples {
        command: "key grant",
        examples: &["coltsfootkeel key grant hotel-group --label 2026-12"],
    },
    CommandExamples {
        command: "key withdraw",
        examples: &["coltsfootkeel key withdraw hotel-group --label 2026-11 --wait"],
    },
    CommandExamples {
        command: "look-up",
        examples: &["coltsfootkeel look-up --entry 127.0.0.1:7001 --client 10.1.0.7"],
    },
    CommandExamples {
        command: "questionnaire",
        examples: &["coltsfootkeel questionnaire check team.yaml"],
    },
];

const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused or not found, 2 usage, 3 conflict with another change, \
    4 daemon or platform not reached";

/// Returns the help of the innermost command on the command line.
#[must_use]
pub fn help_text(line: &CommandLine) -> String {
    let mut options = line as &dyn Options;
    let mut names = Vec::new();
    while let Some(inner) = options.command() {
        options = inner;
        names.extend(inner.command_name());
    }
    let path = names.join(" ");
    let separator = if path.is_empty() { "" } else { " " };
    let mut text = format!(
        "Usage: coltsfootkeel{separator}{path} [OPTIONS]\n\n{}\n",
        options.self_usage()
    );
    if let Some(commands) = options.self_command_list() {
        let _ = write!(text, "\nCommands:\n{commands}\n");
    }
    if !path.is_empty() {
        text.push_str("\nGlobal options: --admin ADDRESS, --token TOKEN, --write-id ID, --json\n");
    }
    text.push_str("\nExamples:\n");
    for example in examples_of(&path) {
        let _ = writeln!(text, "  {example}");
    }
    let _ = write!(text, "\n{EXIT_CODES}\n");
    text
}

fn examples_of(path: &str) -> &'static [&'static str] {
    let group = path.split(' ').next().unwrap_or_default();
    let find = |wanted: &str| EXAMPLES.iter().find(|entry| entry.command == wanted);
    find(path)
        .or_else(|| find(group))
        .map_or(&[], |entry| entry.examples)
}
