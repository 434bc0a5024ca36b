//! Generates a configuration from a questionnaire: `cargo run --example generate_config FILE`.
//!
//! The configuration goes to the standard output, the reasons for its derived values to the standard error.

use std::process::ExitCode;

use coltsfootkeel_questionnaire::{generate, parse};

fn main() -> ExitCode {
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("expected the path of a questionnaire");
        return ExitCode::FAILURE;
    };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return ExitCode::FAILURE;
        }
    };
    match parse(&file, &text) {
        Ok(answers) => {
            let generated = generate(&answers);
            print!("{}", generated.document);
            for explanation in &generated.explanations {
                eprintln!("{explanation}");
            }
            ExitCode::SUCCESS
        }
        Err(findings) => {
            eprint!("{findings}");
            ExitCode::FAILURE
        }
    }
}
