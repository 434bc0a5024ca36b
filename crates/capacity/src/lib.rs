//! Measures how state, messages, processor time and memory grow with the size of a fleet.
//!
//! Each module measures one group of costs and returns a [`TextTable`]. `docs/CAPACITY.md` calculates the cost of each
//! role from them.

#![expect(
    clippy::cast_precision_loss,
    reason = "the results are printed with few digits"
)]

mod account_cost;
mod document_cost;
mod idle_fleet;
mod loan_exchange;
mod look_up_cost;
mod message_cost;
mod message_counts;
mod process_usage;
mod random_sequence;
mod replay_cost;
mod request_cost;
mod sample_fleet;
mod text_table;
mod tick_cost;

pub use account_cost::account_table;
pub use document_cost::{DocumentCost, document_table, measure_document};
pub use idle_fleet::{IdleFleetError, idle_fleet_table};
pub use loan_exchange::{ExchangeCounts, ExchangePlan, run_exchange};
pub use look_up_cost::{entry_table, look_up_table};
pub use message_cost::message_table;
pub use message_counts::{heartbeat_table, loan_table};
pub use process_usage::{ProcessUsage, peak_memory, processor_time, resident_memory};
pub use replay_cost::replay_table;
pub use request_cost::request_table;
pub use sample_fleet::FleetSize;
pub use text_table::{TextTable, bytes_text, decimal_text};
pub use tick_cost::{lender_table, tick_table};
