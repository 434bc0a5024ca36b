//! The programs of the cases of the second review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod fleet;
mod http;
mod json;
mod poison;
mod record;
mod store;
mod target;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "poison" => poison::play(&folder, is_troubled),
        _ => Err("unknown case".to_string()),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
