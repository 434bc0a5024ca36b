//! The daemon: answers look-ups, carries requests of callers to upstreams, and shares limits with its peers.
//!
//! Request threads load the published snapshot, resolve keys into arenas and take atomics. The control
//! thread owns all decision state and publishes whole snapshots. [`run_daemon`] assembles both.

mod access_watch;
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
mod limit_book;
mod loan_messages;
mod lookup_answer;
mod peer_client;
mod peer_handle;
mod peer_messages;
mod peer_server;
mod peer_table;
mod platform_task;
mod refusal_answer;
mod replay_flow;
mod replay_messages;
mod request_context;
mod request_flow;
mod seat_keeper;
mod share_book;
mod shared_state;
mod slot_queue;
mod snapshot_builder;
mod state_dump;
mod stored_answer;
mod upstream_attempt;
mod upstream_probe;

pub use daemon::{StartError, run_daemon};
