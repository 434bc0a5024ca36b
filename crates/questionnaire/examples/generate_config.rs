//! Writes the configuration of a questionnaire to the standard output and the reasons for its derived
//! values to the standard error: `cargo run --example generate_config FILE`.

use std::process::ExitCode;

use coltsfootkeel_questionnaire::{generate, parse};

fn main() -> ExitCode {
    let Some(file) = std::env::args().nth(1) else {
        eprintln!("expected the name of a questionnaire");
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
