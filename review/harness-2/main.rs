//! The programs of the cases of the second review: `review-2 CASE FOLDER`, with the record in FOLDER/record.txt. Exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod endless;
mod fleet;
mod http;
mod json;
mod poison;
mod record;
mod setting;
mod store;
mod target;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

type Play = fn(&Path, &Arc<Record>, bool) -> Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let play: Play = match case.as_str() {
        "endless" => endless::play,
        "poison" => poison::play,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    match run(play, &PathBuf::from(folder), is_troubled) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(play: Play, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let record = Arc::new(Record::create(folder).map_err(text)?);
    let scratch = std::env::var_os("REVIEW_SCRATCH").ok_or("REVIEW_SCRATCH is not set")?;
    let result = play(Path::new(&scratch), &record, is_troubled);
    record.line(&match &result {
        Ok(true) => "the rule is broken".to_string(),
        Ok(false) => "the rule holds".to_string(),
        Err(error) => format!("the case could not run: {error}"),
    });
    result
}
