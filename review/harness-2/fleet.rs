//! Entry instances as child processes, with settings as the platform writes them.

use std::fs;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

pub const ZONES: [&str; 3] = ["penang-bayan", "johor-pasir", "kuching-pending"];
const REGIONS: [&str; 3] = ["penang", "johor", "kuching"];

/// Ports that every machine of the day uses: front, ready, directory, first and last internal port.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
}

impl Ports {
    /// Finds a range of 24 ports that is free on the addresses of all machines.
    pub fn find(machines: usize) -> Option<Self> {
        let first = 20_000 + (std::process::id() % 97) as u16 * 80;
        (0..100).map(|step| first + step * 24).find_map(|front| {
            let is_free = (1..=machines).all(|machine| {
                (front..front + 24).all(|port| {
                    let address = format!("127.0.{machine}.1:{port}");
                    TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok()
                })
            });
            is_free.then_some(Self { front })
        })
    }
}

/// A machine with one entry instance.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn new(
        index: usize,
        ports: Ports,
        store: SocketAddr,
        folder: &std::path::Path,
        bounds: &str,
    ) -> io::Result<Self> {
        let zone = ZONES[index % ZONES.len()];
        let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
        let ip = format!("127.0.{}.1", index + 1);
        let at = |offset: u16| format!("{ip}:{}", ports.front + offset);
        let zones: Vec<String> = ZONES
            .iter()
            .zip(REGIONS)
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let text = format!(
            r#"{{"node":"{name}","role":"entry","machine_class":"edge","serves":["edge","directory"],"ip":"{ip}","zone":"{zone}","region":"{region}","zones":{{{zones}}},"listen":{{"front":"{front}","ready":"{ready}","directory":"{directory}"}},"internal_port_range":[{first},{last}],"seeds":[],"bootstrap":false,"counts_as_loss":false,"limits":{{"cpu_share":0.4,"cores":1,"memory_mb":520,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"directory","heartbeat":"1500ms","contracts":["base","drain","config","cost","retry","recover","places","tenants","quota","platform"],"fault_tolerance":{{"machines":2,"zones":1,"regions":1}},"bounds":[{bounds}],"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"retention":"20s","value_bytes":1048576,"min_ttl":"1000ms"}}}}"#,
            region = REGIONS[index % REGIONS.len()],
            zones = zones.join(","),
            front = at(0),
            ready = at(1),
            directory = at(2),
            first = ports.front + 6,
            last = ports.front + 21,
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text)?;
        let parse = |text: String| {
            text.parse()
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))
        };
        Ok(Self {
            front: parse(at(0))?,
            ready: parse(at(1))?,
            log: folder.join(format!("{name}.log")),
            name,
            settings,
            child: None,
        })
    }

    /// Starts the program of the deploy file with the settings in its environment.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new("target/release/coltsfootkeel-entry");
        command.env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("COLTSFOOTKEEL_CONFIG", &self.settings);
        command
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        let child = command.spawn()?;
        if let Some(folder) = self.log.parent() {
            let pids = fs::File::options()
                .create(true)
                .append(true)
                .open(folder.join("pids"));
            writeln!(pids?, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = format!(
            "GET /-/readyz HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        while Instant::now() < until {
            let answer = call(self.ready, request.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("/bin/sh")
                .args(["-c", &format!("kill -{name} {id}")])
                .status();
        }
    }

    /// Waits for the end of the process, and kills it after `limit` as the platform does. Returns whether it ended by
    /// itself.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
