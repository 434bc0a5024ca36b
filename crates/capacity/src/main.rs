//! Command line of `coltsfootkeel-capacity`, which prints the measurements from which `docs/CAPACITY.md` is calculated.

use std::path::PathBuf;
use std::process::ExitCode;

use coltsfootkeel_capacity::{
    FleetSize, account_table, bytes_text, document_table, entry_table, heartbeat_table,
    idle_fleet_table, lender_table, loan_table, look_up_table, measure_document, message_table,
    peak_memory, replay_table, request_table, tick_table,
};
use gumdrop::Options;

/// Prints the measurements from which docs/CAPACITY.md is calculated.
#[derive(Debug, Options)]
struct CapacityOptions {
    /// Print this help.
    help: bool,
    /// Folder of the fleet that is measured without requests.
    #[options(no_short, meta = "FOLDER", default = "examples/first-run")]
    fleet: PathBuf,
    /// Measure only a document of this size and print its raw figures: seats,accounts,upstreams,routes,blocks.
    #[options(no_short, meta = "COUNTS")]
    document: Option<String>,
}

fn main() -> ExitCode {
    let options = CapacityOptions::parse_args_default_or_exit();
    if let Some(counts) = &options.document {
        return measure_one_document(counts);
    }
    println!("{}", replay_table());
    println!("{}", look_up_table());
    println!("{}", entry_table());
    match document_table() {
        Ok(table) => println!("{table}"),
        Err(error) => eprintln!("configuration document: not measured: {error}"),
    }
    println!("{}", message_table());
    println!("{}", account_table());
    println!("{}", tick_table());
    println!("{}", lender_table());
    println!("{}", heartbeat_table());
    println!("{}", loan_table());
    println!("{}", request_table());
    match idle_fleet_table(&options.fleet) {
        Ok(table) => println!("{table}"),
        Err(error) => println!("idle fleet: not run: {error}"),
    }
    let peak = bytes_text(peak_memory());
    println!("Peak memory of this program, without the processes it starts: {peak} MiB");
    ExitCode::SUCCESS
}

fn measure_one_document(counts: &str) -> ExitCode {
    let counts: Vec<usize> = counts
        .split(',')
        .filter_map(|count| count.parse().ok())
        .collect();
    let [seats, accounts, upstreams, routes, blocks] = counts[..] else {
        eprintln!("--document: expected five counts, such as 7,1,1,1,0");
        return ExitCode::FAILURE;
    };
    let size = FleetSize {
        seats,
        accounts,
        upstreams,
        routes,
        blocks,
    };
    println!("{}", measure_document(size));
    ExitCode::SUCCESS
}
