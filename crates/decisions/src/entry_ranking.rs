//! The answer of a look-up: which entry instances a client should use, best first.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;

use coltsfootkeel_model::{Arena, ArenaKey, DomainKey, FleetConfig, RegionKey, SiteKey};

/// The number of instances in an answer: enough for a caller to survive the loss of a failure domain.
pub const MAX_RANKED_ENTRIES: usize = 4;

/// At most this many of one failure domain stand in front of the next domain's, so that the answer
/// still helps when a whole domain fails.
const RANKED_OF_GROUP: usize = 2;

/// Hysteresis: without a gap between the two limits, the callers that leave an instance would make it
/// roomy again within one life of a look-up, and they would return together.
const TIGHT_BELOW_PERCENT: u32 = 10;
const ROOMY_FROM_PERCENT: u32 = 25;

/// An odd number without a pattern in its bits.
const WEIGHT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A failure domain has fewer instances than this.
const POSITION_MASK: u64 = 0xffff;

/// Clients of one IPv4 /24 or IPv6 /48 share their ranking.
const IPV4_SPREAD_SHIFT: u32 = 8;
const IPV6_SPREAD_SHIFT: u32 = 80;

/// Addresses an instance of an [`EntryTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey(u32);

impl ArenaKey for EntryKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).expect("an arena holds at most 2^32 records"))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A live entry instance.
#[derive(Debug, Clone)]
pub struct EntryInstance {
    /// The name.
    pub name: String,
    /// The failure domain it runs in.
    pub domain: DomainKey,
    /// The address callers use.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The part of its capacity that is free, in percent.
    pub headroom_percent: u32,
}

/// Entry instances, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedEntries {
    keys: [EntryKey; MAX_RANKED_ENTRIES],
    count: usize,
}

impl RankedEntries {
    const EMPTY: Self = Self {
        keys: [EntryKey(0); MAX_RANKED_ENTRIES],
        count: 0,
    };

    /// Returns the keys.
    #[must_use]
    pub fn as_slice(&self) -> &[EntryKey] {
        &self.keys[..self.count]
    }

    fn is_full(&self) -> bool {
        self.count == MAX_RANKED_ENTRIES
    }

    /// Adds an instance unless the answer is full.
    fn push(&mut self, key: EntryKey) {
        if let Some(place) = self.keys.get_mut(self.count) {
            *place = key;
            self.count += 1;
        }
    }
}

/// All instances, grouped by failure domain and headroom, with the order of the groups for each site.
#[derive(Debug)]
pub struct EntryTable {
    entries: Arena<EntryKey, EntryInstance>,
    members: Vec<GroupMember>,
    sites: Vec<Vec<Range<usize>>>,
    /// All instances with headroom, then all others.
    anywhere: [Range<usize>; 2],
}

#[derive(Debug, Clone, Copy)]
struct GroupMember {
    key: EntryKey,
    seed: u64,
}

impl GroupMember {
    /// Folds the 128-bit product, so that all bits of the hash and the seed reach the weight.
    fn weight(self, hash: u64) -> u64 {
        let product = u128::from(self.seed ^ hash) * u128::from(WEIGHT_FACTOR);
        let [high, low] = [product >> 64, product & u128::from(u64::MAX)];
        u64::try_from(high ^ low).unwrap_or(0)
    }
}

impl EntryTable {
    /// Returns a live instance.
    #[must_use]
    pub fn entry(&self, key: EntryKey) -> Option<&EntryInstance> {
        self.entries.get(key)
    }

    /// Returns the number of instances that can be ranked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Ranks the instances for a client.
    ///
    /// A client in no block is spread over all instances by its address.
    #[must_use]
    pub fn rank(&self, config: &FleetConfig, client: IpAddr) -> RankedEntries {
        self.rank_for_site(config.blocks.find(client), client)
    }

    /// Ranks the instances for a client whose site is known.
    #[must_use]
    pub fn rank_for_site(&self, site: Option<SiteKey>, client: IpAddr) -> RankedEntries {
        let hash = spread_hash(client);
        let mut ranked = RankedEntries::EMPTY;
        let Some(groups) = site.and_then(|site| self.sites.get(site.index())) else {
            self.rank_anywhere(hash, &mut ranked);
            return ranked;
        };
        for group in groups {
            let members = &self.members[group.clone()];
            for position in heaviest_two(members, hash) {
                ranked.push(members[position].key);
            }
        }
        for group in groups {
            self.fill_from(group, hash, &mut ranked);
        }
        ranked
    }

    /// Rendezvous hashing over all instances would be too slow, so the hash selects where to start.
    fn rank_anywhere(&self, hash: u64, ranked: &mut RankedEntries) {
        for group in &self.anywhere {
            let members = &self.members[group.clone()];
            let (before, after) = members.split_at(scaled(hash, members.len()));
            for member in after.iter().chain(before).take(MAX_RANKED_ENTRIES) {
                ranked.push(member.key);
            }
        }
    }

    fn fill_from(&self, group: &Range<usize>, hash: u64, ranked: &mut RankedEntries) {
        let members = &self.members[group.clone()];
        while !ranked.is_full() {
            let Some(key) = next_member(members, hash, ranked.as_slice()) else {
                return;
            };
            ranked.push(key);
        }
    }
}

/// Returns the positions of the two heaviest members.
///
/// Rendezvous hashing moves only the clients of an instance that comes or goes. The position stands
/// in the low bits of the weight, so that the two maxima need no branch, which would be mispredicted.
fn heaviest_two(members: &[GroupMember], hash: u64) -> impl Iterator<Item = usize> {
    let mut first = 0;
    let mut second = 0;
    for (position, member) in members.iter().enumerate() {
        let weight = member.weight(hash) & !POSITION_MASK | (position as u64 & POSITION_MASK);
        second = second.max(first.min(weight));
        first = first.max(weight);
    }
    [first, second]
        .into_iter()
        .take(members.len())
        .filter_map(|weight| usize::try_from(weight & POSITION_MASK).ok())
}

/// Returns the next member that is not ranked yet. Only small fleets and remainders come here.
fn next_member(members: &[GroupMember], hash: u64, ranked: &[EntryKey]) -> Option<EntryKey> {
    members
        .iter()
        .filter(|member| !ranked.contains(&member.key))
        .max_by_key(|member| member.weight(hash))
        .map(|member| member.key)
}

/// The control thread's side: remembers which instances have little headroom.
#[derive(Debug, Default)]
pub struct EntryTableBuilder {
    tight: HashSet<String>,
}

impl EntryTableBuilder {
    /// Makes a book that knows no instance.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds the table of the live instances. Leaving instances are left out at once.
    pub fn build(&mut self, config: &FleetConfig, live: &[EntryInstance]) -> EntryTable {
        let mut staying: Vec<&EntryInstance> = live
            .iter()
            .filter(|instance| !is_leaving(config, instance))
            .collect();
        staying.sort_by(|one, other| one.name.cmp(&other.name));
        self.tight = staying
            .iter()
            .filter(|instance| self.is_tight(instance))
            .map(|instance| instance.name.clone())
            .collect();
        let entries = staying.into_iter().cloned().collect();
        GroupBuilder::new(config, entries, &self.tight).finish()
    }

    fn is_tight(&self, instance: &EntryInstance) -> bool {
        let limit = if self.tight.contains(&instance.name) {
            ROOMY_FROM_PERCENT
        } else {
            TIGHT_BELOW_PERCENT
        };
        instance.headroom_percent < limit
    }
}

fn is_leaving(config: &FleetConfig, instance: &EntryInstance) -> bool {
    let region = config.domains[instance.domain].region;
    instance.leaving
        || config.drains.instances.contains(&instance.name)
        || config.drains.regions.contains(&region)
}

/// The two groups of a failure domain.
#[derive(Debug, Clone)]
struct DomainGroups {
    roomy: Range<usize>,
    tight: Range<usize>,
}

struct GroupBuilder<'a> {
    config: &'a FleetConfig,
    entries: Arena<EntryKey, EntryInstance>,
    tight: &'a HashSet<String>,
    members: Vec<GroupMember>,
}

impl<'a> GroupBuilder<'a> {
    fn new(
        config: &'a FleetConfig,
        entries: Arena<EntryKey, EntryInstance>,
        tight: &'a HashSet<String>,
    ) -> Self {
        Self {
            config,
            entries,
            tight,
            members: Vec::new(),
        }
    }

    fn finish(mut self) -> EntryTable {
        let domains: Vec<DomainGroups> = self
            .config
            .domains
            .keys()
            .map(|domain| DomainGroups {
                roomy: self.add_group(|entry| entry.domain == domain, false),
                tight: self.add_group(|entry| entry.domain == domain, true),
            })
            .collect();
        let anywhere = [
            self.add_group(|_| true, false),
            self.add_group(|_| true, true),
        ];
        let sites = self
            .config
            .sites
            .iter()
            .map(|(_, site)| self.site_groups(&site.domains, &domains))
            .collect();
        EntryTable {
            entries: self.entries,
            members: self.members,
            sites,
            anywhere,
        }
    }

    fn add_group(&mut self, belongs: impl Fn(&EntryInstance) -> bool, tight: bool) -> Range<usize> {
        let start = self.members.len();
        for (key, entry) in self.entries.iter() {
            if belongs(entry) && self.tight.contains(&entry.name) == tight {
                let seed = name_hash(&entry.name);
                self.members.push(GroupMember { key, seed });
            }
        }
        start..self.members.len()
    }

    /// Orders the groups of a site. Within a region, instances with little headroom come after those
    /// of the region's other domains, but before another region, which costs far more time.
    fn site_groups(&self, listed: &[DomainKey], domains: &[DomainGroups]) -> Vec<Range<usize>> {
        let order = self.domain_order(listed);
        let region_of = |domain: &DomainKey| self.config.domains[*domain].region;
        let mut groups = Vec::new();
        for run in order.chunk_by(|one, other| region_of(one) == region_of(other)) {
            let of_run = |domain: &DomainKey| &domains[domain.index()];
            groups.extend(run.iter().map(|domain| of_run(domain).roomy.clone()));
            groups.extend(run.iter().map(|domain| of_run(domain).tight.clone()));
        }
        groups.retain(|group| !group.is_empty());
        let mut ranked = 0;
        let needed = groups
            .iter()
            .take_while(|group| {
                let is_needed = ranked < MAX_RANKED_ENTRIES;
                ranked += group.len().min(RANKED_OF_GROUP);
                is_needed
            })
            .count();
        groups.truncate(needed);
        groups
    }

    /// The listed domains, then all others by the latency of the link, so that a client is never
    /// left without an instance while one lives.
    fn domain_order(&self, listed: &[DomainKey]) -> Vec<DomainKey> {
        let mut others: Vec<DomainKey> = self.config.domains.keys().collect();
        others.retain(|domain| !listed.contains(domain));
        let region_of = |domain: DomainKey| self.config.domains[domain].region;
        if let Some(first) = listed.first() {
            let near = region_of(*first);
            others.sort_by_key(|domain| self.distance(near, region_of(*domain)));
        }
        listed.iter().copied().chain(others).collect()
    }

    fn distance(
        &self,
        near: RegionKey,
        region: RegionKey,
    ) -> (bool, std::time::Duration, RegionKey) {
        let latency = self.config.links.between(near, region).latency;
        (near != region, latency, region)
    }
}

fn spread_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(address) => mixed(u64::from(address.to_bits() >> IPV4_SPREAD_SHIFT)),
        IpAddr::V6(address) => {
            let prefix = address.to_bits() >> IPV6_SPREAD_SHIFT;
            mixed(u64::try_from(prefix).unwrap_or(0))
        }
    }
}

/// FNV-1a, the same on every instance and in every version.
fn name_hash(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mixed(hash)
}

/// The finalizer of `SplitMix64` spreads neighbouring numbers over all 64 bits.
fn mixed(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

fn scaled(hash: u64, count: usize) -> usize {
    let scaled = ((hash >> 32) * count as u64) >> 32;
    usize::try_from(scaled).unwrap_or(0)
}
