//! Processes that are started while their surroundings change: signals, the settings file and the ports.

#[allow(dead_code, reason = "each test file uses a part of the fleet")]
mod platform_fleet;

use std::fs::OpenOptions;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use coltsfootkeel_standins::EntryOptions;
use nix::sys::signal::Signal;
use platform_fleet::{FleetSetup, PlatformFleet};
use tokio::time::sleep;

/// Starts of a process that each receive a signal.
const STARTS: usize = 8;
/// The signals are sent this much later from one start to the next, so that they arrive in different steps of the start.
const SIGNAL_DELAY_STEP: Duration = Duration::from_micros(500);
/// The grace period in the settings.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// How long the settings file is incomplete, or a port is taken.
const TROUBLE_TIME: Duration = Duration::from_millis(700);
/// The signals that the platform sends, as a mask in `/proc/PID/status`.
const HANDLED_MASK: u64 = 1 << (Signal::SIGHUP as u64 - 1)
    | 1 << (Signal::SIGINT as u64 - 1)
    | 1 << (Signal::SIGTERM as u64 - 1);
/// Time within which a process must have begun.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(10);

async fn empty_fleet(name: &'static str) -> PlatformFleet {
    PlatformFleet::start(FleetSetup {
        name,
        instances: 0,
        ..FleetSetup::default()
    })
    .await
}

/// Returns whether the signals that the platform sends are held back by the main thread of a process, or have handlers.
fn handles_signals(process_id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let mask = |name: &str| {
        let mut lines = status.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)).unwrap();
        u64::from_str_radix(value.trim(), 16).unwrap()
    };
    (mask("SigBlk:") | mask("SigCgt:")) & HANDLED_MASK == HANDLED_MASK
}

/// Waits until the program of a process has executed its first statement. A signal that arrives while the loader runs
/// ends any process.
async fn wait_until_begun(process_id: u32) {
    let started = Instant::now();
    while !handles_signals(process_id) {
        assert!(started.elapsed() < BEGIN_TIMEOUT, "{process_id}");
        sleep(Duration::from_micros(100)).await;
    }
}

/// Guards against a process that is ended by SIGHUP because new settings are named in the moment in which it starts.
#[tokio::test(flavor = "multi_thread")]
async fn new_settings_during_the_start_do_not_end_the_process() {
    let mut fleet = empty_fleet("start-hup").await;
    for index in 0..STARTS {
        let store = fleet.store.address();
        fleet.start_instance(EntryOptions::on_loopback(index, store));
        wait_until_begun(fleet.instances[index].process_id()).await;
        sleep(SIGNAL_DELAY_STEP * u32::try_from(index).unwrap()).await;
        fleet.signal(index, Signal::SIGHUP);
        let ready = fleet.instances[index].wait_until_ready().await;
        let status = fleet.instances[index].exit_status().unwrap();
        assert!(ready.is_ok() && status.is_none(), "{index}: {status:?}");
    }
}

/// Guards against a planned stop that kills a process, instead of ending it in order, because it is still starting.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_the_start_ends_the_process_in_order() {
    let mut fleet = empty_fleet("start-term").await;
    for index in 0..STARTS {
        let store = fleet.store.address();
        fleet.start_instance(EntryOptions::on_loopback(index, store));
        wait_until_begun(fleet.instances[index].process_id()).await;
        sleep(SIGNAL_DELAY_STEP * u32::try_from(index).unwrap()).await;
        fleet.signal(index, Signal::SIGTERM);
    }
    let started = Instant::now();
    for index in 0..STARTS {
        let status = loop {
            if let Some(status) = fleet.instances[index].exit_status().unwrap() {
                break status;
            }
            assert!(started.elapsed() < GRACE_PERIOD, "{index} still runs");
            sleep(Duration::from_millis(10)).await;
        };
        assert!(status.success(), "{index}: {status}");
    }
}

/// Guards against handlers that are set only after the settings are read, which takes a process longer than all before.
/// The settings file is a pipe that nothing writes to, so the process stays in that step.
#[tokio::test(flavor = "multi_thread")]
async fn signals_are_held_back_before_the_settings_are_read() {
    let fleet = empty_fleet("start-held").await;
    let settings = fleet.folder().join("pipe.json");
    let made = Command::new("mkfifo").arg(&settings).status().unwrap();
    assert!(made.success());
    let process = StartedProcess::start(&settings);
    let (opened, opening) = mpsc::channel();
    // A pipe is opened for writing as soon as it is opened for reading. The thread ends with the test program otherwise.
    thread::spawn(move || opened.send(OpenOptions::new().write(true).open(settings)));
    let pipe = opening.recv_timeout(BEGIN_TIMEOUT).unwrap().unwrap();
    assert!(handles_signals(process.0.id()));
    drop(pipe);
}

/// A process that a test starts with a settings file of its own.
struct StartedProcess(Child);

impl StartedProcess {
    fn start(settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_coltsfootkeel-entry"));
        command
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null());
        Self(command.spawn().unwrap())
    }
}

impl Drop for StartedProcess {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a process that ends because its settings file is replaced in the moment in which it starts.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_are_being_written_are_read_again() {
    let mut fleet = empty_fleet("start-settings").await;
    let options = EntryOptions::on_loopback(0, fleet.store.address());
    fleet.start_instance(options);
    fleet.instances[0].wait_until_ready().await.unwrap();
    let settings: PathBuf = fleet.folder().join("entry-0.json");
    let text = std::fs::read_to_string(&settings).unwrap();
    for part in ["", &text[..text.len() / 2]] {
        fleet.signal(0, Signal::SIGKILL);
        std::fs::write(&settings, part).unwrap();
        let mut process = StartedProcess::start(&settings);
        sleep(TROUBLE_TIME).await;
        std::fs::write(&settings, &text).unwrap();
        let ready = fleet.instances[0].wait_until_ready().await;
        let status = process.0.try_wait().unwrap();
        assert!(ready.is_ok() && status.is_none(), "{part:?}: {status:?}");
    }
}

/// Guards against a process that ends because a port is still taken when it starts, for example by the process before
/// it or by a connection that happens to use it.
#[tokio::test(flavor = "multi_thread")]
async fn a_port_that_is_taken_for_a_moment_is_waited_for() {
    let mut fleet = empty_fleet("start-port").await;
    // Another test program may hold a port for a moment to find out whether it is free.
    let (options, held) = loop {
        let options = EntryOptions::on_loopback(0, fleet.store.address());
        let entry = TcpListener::bind(options.addresses.entry);
        let peer = UdpSocket::bind(options.addresses.peer);
        if let (Ok(entry), Ok(peer)) = (entry, peer) {
            break (options, (entry, peer));
        }
    };
    fleet.start_instance(options);
    sleep(TROUBLE_TIME).await;
    drop(held);
    let ready = fleet.instances[0].wait_until_ready().await;
    let status = fleet.instances[0].exit_status().unwrap();
    assert!(ready.is_ok() && status.is_none(), "{status:?}");
}
