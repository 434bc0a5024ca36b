//! Every decision of the system as a function of state and an explicit time.
//!
//! Nothing here does I/O, reads a clock or knows how a message is encoded, so the same code runs
//! under the daemon and under the state-machine tests.

mod loan_ledger;
mod seat_claim;
mod share_split;

mod attempt_state;
mod crash_suspects;
mod replay_memory;
mod retry_budget;
mod wait_queue;

mod config_age;
mod entry_ranking;
mod generation_tracker;
mod link_meter;
mod shift_meter;
mod upstream_choice;
mod upstream_health;

mod admission;
