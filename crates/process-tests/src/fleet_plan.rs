//! What a test needs of a fleet.

/// An upstream.
#[derive(Debug, Clone)]
pub struct PlannedUpstream {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The number of requests it may run at once.
    pub slots: u32,
}

/// A client account with one access key.
#[derive(Debug, Clone)]
pub struct PlannedAccount {
    /// The name.
    pub name: String,
    /// The access key.
    pub key: String,
    /// The rate in requests per second.
    pub rate_per_s: u64,
    /// The burst in requests.
    pub burst: u64,
}

/// A daemon.
#[derive(Debug, Clone)]
pub struct PlannedDaemon {
    /// The name of the instance; its seat has the same name.
    pub instance: String,
    /// The failure domain.
    pub failure_domain: String,
}

/// A region.
#[derive(Debug, Clone)]
pub struct PlannedRegion {
    /// The name.
    pub name: String,
    /// The names of its failure domains.
    pub failure_domains: Vec<String>,
}

/// A fleet with one pool, which all routes use.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Regions.
    pub regions: Vec<PlannedRegion>,
    /// Upstreams.
    pub upstreams: Vec<PlannedUpstream>,
    /// Accounts.
    pub accounts: Vec<PlannedAccount>,
    /// Daemons.
    pub daemons: Vec<PlannedDaemon>,
    /// Daemons without a seat of their own; a test starts them.
    pub spares: Vec<PlannedDaemon>,
    /// Further lines of the configuration's list of routes.
    pub routes: String,
    /// Further sections of the configuration.
    pub sections: String,
}

impl FleetPlan {
    /// Plans one region with a failure domain for each daemon, an upstream in each, and one account with plenty of
    /// rate and the access key `test-key`.
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

    /// Adds an account.
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

    /// Adds a daemon that has no seat of its own, as a replacement for another one.
    #[must_use]
    pub fn spare(mut self, instance: &str, failure_domain: &str) -> Self {
        self.spares.push(PlannedDaemon {
            instance: instance.to_string(),
            failure_domain: failure_domain.to_string(),
        });
        self
    }

    /// Puts all daemons into the failure domain of the first one.
    #[must_use]
    pub fn in_one_domain(mut self) -> Self {
        let domain = self.daemons[0].failure_domain.clone();
        for daemon in &mut self.daemons {
            daemon.failure_domain.clone_from(&domain);
        }
        self
    }

    /// Adds sections to the configuration.
    #[must_use]
    pub fn section(mut self, text: &str) -> Self {
        self.sections.push_str(text);
        self
    }

    /// Adds lines to the list of routes.
    #[must_use]
    pub fn route(mut self, line: &str) -> Self {
        self.routes.push_str(line);
        self.routes.push('\n');
        self
    }
}
