//! The daemon of an entry instance: answers look-ups, forwards requests of callers to upstreams and shares limits with
//! the other instances of the fleet, its peers.
//!
//! Request threads load the published snapshot, index its arenas by keys and update atomic counters. The
//! control thread owns all decision state and replaces the complete snapshot. [`run_daemon`] starts both.

mod admin_api;
mod admin_call;
mod admin_change;
mod admin_collections;
mod admin_control;
mod admin_error;
mod admin_findings;
mod admin_progress;
mod admin_reads;
mod admin_router;
mod admin_writes;
mod answer_body;
mod answer_relay;
mod caller_request;
mod config_pull;
mod control_config;
mod control_dump;
mod control_event;
mod control_loop;
mod control_messages;
mod control_publish;
mod control_seat;
mod control_shares;
mod control_upstreams;
mod crash_check;
mod daemon;
mod daemon_metrics;
mod entry_service;
mod fleet_snapshot;
mod header_rules;
mod key_withdrawal;
mod limit_registry;
mod loan_messages;
mod lookup_answer;
mod peer_client;
mod peer_handle;
mod peer_message_handler;
mod peer_server;
mod peer_table;
mod platform_task;
mod refusal_answer;
mod replay_flow;
mod replay_messages;
mod request_context;
mod request_flow;
mod seat_lifecycle;
mod share_table;
mod shared_state;
mod slot_queue;
mod snapshot_builder;
mod state_dump;
mod stored_answer;
mod upstream_attempt;
mod upstream_probe;

pub use daemon::{StartError, run_daemon};
