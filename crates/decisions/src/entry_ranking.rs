//! Ranking of the entry instances that a look-up returns to a client, best first.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;

use coltsfootkeel_model::{Arena, ArenaKey, DomainKey, FleetConfig, RegionKey, SiteKey};

/// The maximum number of instances in an answer, so that some remain reachable after the loss of a failure domain.
pub const MAX_RANKED_ENTRIES: usize = 4;

/// The maximum number of instances of one group that are ranked before those of the next group, so that the answer
/// remains useful when a whole failure domain fails.
const MAX_LEADING_ENTRIES_PER_GROUP: usize = 2;

/// Limits of the headroom, in percent of the capacity, below which an instance becomes and remains one with low
/// headroom. Without a gap between the limits, the callers that leave an instance would raise its headroom above the
/// limit within one lifetime of a look-up, and all of them would return at once.
const LOW_HEADROOM_BELOW_PERCENT: u32 = 10;
const SUFFICIENT_HEADROOM_FROM_PERCENT: u32 = 25;

/// 2⁶⁴ divided by the golden ratio, an odd multiplier that mixes the seed of a member and the hash of a client.
const WEIGHT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The low bits of a weight, which hold the position of a member; a failure domain has fewer instances than this.
const POSITION_MASK: u64 = 0xffff;

/// The low bits of an address that are left out of its hash: clients of one IPv4 /24 or IPv6 /48 share a ranking.
const IPV4_IGNORED_BITS: u32 = 8;
const IPV6_IGNORED_BITS: u32 = 80;

/// Identifies an instance within an [`EntryTable`].
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
    /// The name of the instance.
    pub name: String,
    /// The failure domain in which the instance runs.
    pub domain: DomainKey,
    /// The address to which callers send requests.
    pub address: SocketAddr,
    /// Whether the instance is leaving the fleet.
    pub leaving: bool,
    /// The free fraction of the instance's capacity in percent.
    pub headroom_percent: u32,
}

/// The entry instances of an answer, best first.
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

    /// Returns the keys of the instances, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[EntryKey] {
        &self.keys[..self.count]
    }

    fn is_full(&self) -> bool {
        self.count == MAX_RANKED_ENTRIES
    }

    /// Appends an instance unless the answer is full.
    fn push(&mut self, key: EntryKey) {
        if let Some(next) = self.keys.get_mut(self.count) {
            *next = key;
            self.count += 1;
        }
    }
}

/// All instances, grouped by failure domain and headroom, with the order of the groups for each site.
#[derive(Debug)]
pub struct EntryTable {
    entries: Arena<EntryKey, EntryInstance>,
    members: Vec<GroupMember>,
    /// The groups of each site in the order of their ranking, as ranges of `members`.
    sites: Vec<Vec<Range<usize>>>,
    /// All instances of the fleet: first those with sufficient headroom, then those with low headroom.
    fleet_groups: [Range<usize>; 2],
}

#[derive(Debug, Clone, Copy)]
struct GroupMember {
    key: EntryKey,
    /// The hash of the name of the instance.
    seed: u64,
}

impl GroupMember {
    /// Returns the rendezvous weight for a client hash. The 128-bit product is folded, so that all bits of the hash and
    /// the seed affect the weight.
    fn weight(self, hash: u64) -> u64 {
        let product = u128::from(self.seed ^ hash) * u128::from(WEIGHT_MULTIPLIER);
        let [high, low] = [product >> 64, product & u128::from(u64::MAX)];
        u64::try_from(high ^ low).unwrap_or(0)
    }
}

impl EntryTable {
    /// Returns the instance with the given key, or `None` if the table has no such instance.
    #[must_use]
    pub fn entry(&self, key: EntryKey) -> Option<&EntryInstance> {
        self.entries.get(key)
    }

    /// Returns the number of instances that can be ranked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Ranks the instances for a client.
    ///
    /// Clients in none of the configured blocks are spread over all instances by the hash of their address.
    #[must_use]
    pub fn rank(&self, config: &FleetConfig, client: IpAddr) -> RankedEntries {
        self.rank_for_site(config.blocks.find(client), client)
    }

    /// Ranks the instances for a client of the given site; `None` if the client is in no configured block.
    #[must_use]
    pub fn rank_for_site(&self, site: Option<SiteKey>, client: IpAddr) -> RankedEntries {
        let hash = client_hash(client);
        let mut ranked = RankedEntries::EMPTY;
        let Some(groups) = site.and_then(|site| self.sites.get(site.index())) else {
            self.rank_whole_fleet(hash, &mut ranked);
            return ranked;
        };
        for group in groups {
            let members = &self.members[group.clone()];
            for position in two_heaviest(members, hash) {
                ranked.push(members[position].key);
            }
        }
        for group in groups {
            self.fill_from(group, hash, &mut ranked);
        }
        ranked
    }

    /// Ranks instances of all regions. Rendezvous hashing over the complete fleet would be too slow, so the hash
    /// selects the first of a sequence of instances.
    fn rank_whole_fleet(&self, hash: u64, ranked: &mut RankedEntries) {
        for group in &self.fleet_groups {
            let members = &self.members[group.clone()];
            let (before, after) = members.split_at(scale_to_index(hash, members.len()));
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

/// Returns the positions of the two members with the highest weights.
///
/// Rendezvous hashing moves only the clients of an instance that is added or removed. The low bits of a weight hold
/// the position, so that the two maxima are found without a branch, which would be mispredicted.
fn two_heaviest(members: &[GroupMember], hash: u64) -> impl Iterator<Item = usize> {
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

/// Returns the member with the highest weight that is not ranked yet. Used only if the first two members of each
/// group do not fill the answer.
fn next_member(members: &[GroupMember], hash: u64, ranked: &[EntryKey]) -> Option<EntryKey> {
    members
        .iter()
        .filter(|member| !ranked.contains(&member.key))
        .max_by_key(|member| member.weight(hash))
        .map(|member| member.key)
}

/// Builds the entry tables; owned by the control thread.
///
/// The builder retains which instances have low headroom, for the hysteresis of the next table.
#[derive(Debug, Default)]
pub struct EntryTableBuilder {
    low_headroom: HashSet<String>,
}

impl EntryTableBuilder {
    /// Creates a builder without instances with low headroom.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Builds the table of the live instances. Instances that are leaving or drained are omitted.
    pub fn build(&mut self, config: &FleetConfig, live: &[EntryInstance]) -> EntryTable {
        let mut eligible: Vec<&EntryInstance> = live
            .iter()
            .filter(|instance| !is_leaving_or_drained(config, instance))
            .collect();
        eligible.sort_by(|one, other| one.name.cmp(&other.name));
        self.low_headroom = eligible
            .iter()
            .filter(|instance| self.has_low_headroom(instance))
            .map(|instance| instance.name.clone())
            .collect();
        let entries = eligible.into_iter().cloned().collect();
        GroupBuilder::new(config, entries, &self.low_headroom).finish()
    }

    fn has_low_headroom(&self, instance: &EntryInstance) -> bool {
        let limit = if self.low_headroom.contains(&instance.name) {
            SUFFICIENT_HEADROOM_FROM_PERCENT
        } else {
            LOW_HEADROOM_BELOW_PERCENT
        };
        instance.headroom_percent < limit
    }
}

fn is_leaving_or_drained(config: &FleetConfig, instance: &EntryInstance) -> bool {
    let region = config.domains[instance.domain].region;
    instance.leaving
        || config.drains.instances.contains(&instance.name)
        || config.drains.regions.contains(&region)
}

/// The groups of one failure domain, as ranges of members.
#[derive(Debug, Clone)]
struct DomainGroups {
    sufficient: Range<usize>,
    low_headroom: Range<usize>,
}

struct GroupBuilder<'a> {
    config: &'a FleetConfig,
    entries: Arena<EntryKey, EntryInstance>,
    low_headroom: &'a HashSet<String>,
    members: Vec<GroupMember>,
}

impl<'a> GroupBuilder<'a> {
    fn new(
        config: &'a FleetConfig,
        entries: Arena<EntryKey, EntryInstance>,
        low_headroom: &'a HashSet<String>,
    ) -> Self {
        Self {
            config,
            entries,
            low_headroom,
            members: Vec::new(),
        }
    }

    fn finish(mut self) -> EntryTable {
        let domains: Vec<DomainGroups> = self
            .config
            .domains
            .keys()
            .map(|domain| DomainGroups {
                sufficient: self.add_group(|entry| entry.domain == domain, false),
                low_headroom: self.add_group(|entry| entry.domain == domain, true),
            })
            .collect();
        let fleet_groups = [
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
            fleet_groups,
        }
    }

    fn add_group(
        &mut self,
        belongs: impl Fn(&EntryInstance) -> bool,
        low_headroom: bool,
    ) -> Range<usize> {
        let start = self.members.len();
        for (key, entry) in self.entries.iter() {
            if belongs(entry) && self.low_headroom.contains(&entry.name) == low_headroom {
                let seed = name_hash(&entry.name);
                self.members.push(GroupMember { key, seed });
            }
        }
        start..self.members.len()
    }

    /// Returns the groups of a site in the order of their ranking. Within a region, instances with low headroom come
    /// after the other instances of all its failure domains, but before another region, which adds far more latency.
    fn site_groups(&self, listed: &[DomainKey], domains: &[DomainGroups]) -> Vec<Range<usize>> {
        let order = self.domain_order(listed);
        let region_of = |domain: &DomainKey| self.config.domains[*domain].region;
        let mut groups = Vec::new();
        for chunk in order.chunk_by(|one, other| region_of(one) == region_of(other)) {
            let groups_of = |domain: &DomainKey| &domains[domain.index()];
            groups.extend(
                chunk
                    .iter()
                    .map(|domain| groups_of(domain).sufficient.clone()),
            );
            groups.extend(
                chunk
                    .iter()
                    .map(|domain| groups_of(domain).low_headroom.clone()),
            );
        }
        groups.retain(|group| !group.is_empty());
        let mut ranked = 0;
        let needed = groups
            .iter()
            .take_while(|group| {
                let is_needed = ranked < MAX_RANKED_ENTRIES;
                ranked += group.len().min(MAX_LEADING_ENTRIES_PER_GROUP);
                is_needed
            })
            .count();
        groups.truncate(needed);
        groups
    }

    /// Returns the listed failure domains, then all others by the latency of the link, so that a client receives an
    /// instance as long as one is live.
    fn domain_order(&self, listed: &[DomainKey]) -> Vec<DomainKey> {
        let mut others: Vec<DomainKey> = self.config.domains.keys().collect();
        others.retain(|domain| !listed.contains(domain));
        let region_of = |domain: DomainKey| self.config.domains[domain].region;
        if let Some(first) = listed.first() {
            let client_region = region_of(*first);
            others.sort_by_key(|domain| self.distance_key(client_region, region_of(*domain)));
        }
        listed.iter().copied().chain(others).collect()
    }

    /// Returns the sort key of a region: the region of the client is first, then the others by latency.
    fn distance_key(
        &self,
        client_region: RegionKey,
        region: RegionKey,
    ) -> (bool, std::time::Duration, RegionKey) {
        let latency = self.config.links.between(client_region, region).latency;
        (client_region != region, latency, region)
    }
}

fn client_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(address) => mix_bits(u64::from(address.to_bits() >> IPV4_IGNORED_BITS)),
        IpAddr::V6(address) => {
            let prefix = address.to_bits() >> IPV6_IGNORED_BITS;
            mix_bits(u64::try_from(prefix).unwrap_or(0))
        }
    }
}

/// Returns the FNV-1a hash of a name, which is the same on every instance and in every version.
fn name_hash(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mix_bits(hash)
}

/// Applies the finalizer of `SplitMix64`, which spreads neighbouring numbers over all 64 bits.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

fn scale_to_index(hash: u64, count: usize) -> usize {
    let scaled = ((hash >> 32) * count as u64) >> 32;
    usize::try_from(scaled).unwrap_or(0)
}
