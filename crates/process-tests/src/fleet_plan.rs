//! Description of the fleet that a test needs.

/// Upstream of the pool.
#[derive(Debug, Clone)]
pub struct PlannedUpstream {
    /// Name in the configuration, unique within the fleet.
    pub name: String,
    /// Name of the failure domain that the upstream is in.
    pub failure_domain: String,
    /// Number of requests that the upstream may run concurrently.
    pub slots: u32,
}

/// Client account with one access key.
#[derive(Debug, Clone)]
pub struct PlannedAccount {
    /// Name in the configuration, unique within the fleet.
    pub name: String,
    /// Access key in plain text; the configuration contains its digest.
    pub key: String,
    /// Rate limit in requests per second.
    pub rate_per_s: u64,
    /// Burst in requests.
    pub burst: u64,
}

/// Daemon of the fleet.
#[derive(Debug, Clone)]
pub struct PlannedDaemon {
    /// Name of the instance. The seat of a daemon that is not a spare has the same name.
    pub instance: String,
    /// Name of the failure domain that the daemon is in.
    pub failure_domain: String,
}

/// Region with its failure domains.
#[derive(Debug, Clone)]
pub struct PlannedRegion {
    /// Name in the configuration.
    pub name: String,
    /// Names of the failure domains in the region.
    pub failure_domains: Vec<String>,
}

/// Fleet with one pool, which all routes use.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Regions; the platform is in the first one.
    pub regions: Vec<PlannedRegion>,
    /// Upstreams of the pool.
    pub upstreams: Vec<PlannedUpstream>,
    /// Client accounts, all of the same department.
    pub accounts: Vec<PlannedAccount>,
    /// Daemons with a seat each, which [`TestFleet::start`](crate::TestFleet::start) starts.
    pub daemons: Vec<PlannedDaemon>,
    /// Daemons without a seat of their own, which run only if the test starts them.
    pub spares: Vec<PlannedDaemon>,
    /// YAML lines that are appended to the list of routes.
    pub routes: String,
    /// YAML sections that are appended to the configuration.
    pub sections: String,
}

impl FleetPlan {
    /// Creates a plan with one region, `count` failure domains with one daemon and one upstream each, and one account
    /// with the access key `test-key` and a rate that tests don't reach.
    #[must_use]
    pub fn with_daemons(count: usize) -> Self {
        let domain = |index: usize| format!("home-{index}");
        let daemon = |index| PlannedDaemon {
            instance: format!("daemon-{index}"),
            failure_domain: domain(index),
        };
        let upstream = |index| PlannedUpstream {
            name: format!("upstream-{index}"),
            failure_domain: domain(index),
            slots: 8,
        };
        let account = PlannedAccount {
            name: "tester".to_string(),
            key: "test-key".to_string(),
            rate_per_s: 10_000,
            burst: 10_000,
        };
        Self {
            regions: vec![PlannedRegion {
                name: "home".to_string(),
                failure_domains: (0..count).map(domain).collect(),
            }],
            upstreams: (0..count).map(upstream).collect(),
            accounts: vec![account],
            daemons: (0..count).map(daemon).collect(),
            spares: Vec::new(),
            routes: String::new(),
            sections: String::new(),
        }
    }

    /// Adds a client account.
    #[must_use]
    pub fn account(mut self, name: &str, key: &str, rate_per_s: u64, burst: u64) -> Self {
        self.accounts.push(PlannedAccount {
            name: name.to_string(),
            key: key.to_string(),
            rate_per_s,
            burst,
        });
        self
    }

    /// Adds a daemon without a seat, as the replacement of another daemon.
    #[must_use]
    pub fn spare(mut self, instance: &str, failure_domain: &str) -> Self {
        self.spares.push(PlannedDaemon {
            instance: instance.to_string(),
            failure_domain: failure_domain.to_string(),
        });
        self
    }

    /// Moves all daemons into the failure domain of the first one.
    #[must_use]
    pub fn in_one_domain(mut self) -> Self {
        let domain = self.daemons[0].failure_domain.clone();
        for daemon in &mut self.daemons {
            daemon.failure_domain.clone_from(&domain);
        }
        self
    }

    /// Appends YAML sections to the configuration.
    #[must_use]
    pub fn section(mut self, text: &str) -> Self {
        self.sections.push_str(text);
        self
    }

    /// Appends a YAML line to the list of routes.
    #[must_use]
    pub fn route(mut self, line: &str) -> Self {
        self.routes.push_str(line);
        self.routes.push('\n');
        self
    }
}
