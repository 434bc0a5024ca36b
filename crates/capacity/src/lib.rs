//! Measures how state, messages, processor time and memory grow with the fleet.
//!
//! Each module measures one group of slopes and returns a [`FigureTable`]. `docs/CAPACITY.md` works out
//! the cost of each role from them.

#![expect(
    clippy::cast_precision_loss,
    reason = "the figures are printed with a few digits"
)]

mod document_cost;
mod figure_table;
mod idle_fleet;
mod loan_exchange;
mod look_up_cost;
mod message_cost;
mod message_counts;
mod process_figures;
mod random_sequence;
mod replay_cost;
mod request_cost;
mod sample_fleet;
mod tick_cost;

pub use document_cost::{DocumentCost, document_table, measure_document};
pub use figure_table::{FigureTable, bytes_text, decimal_text};
pub use idle_fleet::{IdleFleetError, idle_fleet_table};
pub use loan_exchange::{ExchangeCounts, ExchangePlan, run_exchange};
pub use look_up_cost::{entry_table, look_up_table};
pub use message_cost::message_table;
pub use message_counts::{heartbeat_table, loan_table};
pub use process_figures::{ProcessFigures, peak_memory, processor_time, resident_memory};
pub use replay_cost::replay_table;
pub use request_cost::request_table;
pub use sample_fleet::FleetSize;
pub use tick_cost::{lender_table, tick_table};
