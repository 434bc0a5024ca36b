//! The entry daemon: answers look-ups of callers, and forwards their requests to upstreams.
//!
//! Request threads load the published `EntrySnapshot`, resolve its keys and update atomics. The control thread reads
//! the store, exchanges heartbeats with the other instances and publishes complete snapshots. The decisions are in
//! `coltsfootkeel-steering`; headers and store objects are encoded in `coltsfootkeel-adapter`.

mod account_quotas;
mod affinity_persistence;
mod answer_delivery;
mod answer_stream;
mod caller_body;
mod capacity_reports;
mod check_scheduling;
mod control_event;
mod control_heartbeats;
mod control_loop;
mod demand_updates;
mod early_requests;
mod entry_metrics;
mod entry_program;
mod entry_snapshot;
mod fair_wait;
mod fleet_membership;
mod fleet_view;
mod health_check;
mod heartbeat_sending;
mod heartbeat_socket;
mod http_services;
mod limit_delays;
mod limit_division;
mod limit_log;
mod list_changes;
mod load_exchange;
mod member_list;
mod peer_table;
mod plan_lag;
mod process_signals;
mod queue_exchange;
mod reader_role;
mod rejection;
mod request_attempt;
mod request_context;
mod request_flow;
mod request_log;
mod request_wait;
mod settings_reload;
mod shared_state;
mod slot_reservation;
mod snapshot_builder;
mod spread_updates;
mod state_dump;
mod store_outage;
mod store_return;
mod store_updates;
mod store_watch;
mod suspect_exchange;
mod upstream_candidates;
mod upstream_choice;
mod upstream_exchange;
mod upstream_registry;

pub use entry_program::{StartError, run_entry};
pub use process_signals::hold_signals;
