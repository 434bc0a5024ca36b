//! Memory and processor time of look-ups, and of building their tables.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use coltsfootkeel_decisions::{EntryTable, EntryTableBuilder};
use coltsfootkeel_model::{ArenaKey, BlockTable, ClientBlock, FleetConfig, SiteKey};

use crate::process_usage::{nanos_per_call, processor_time};
use crate::random_sequence::RandomSequence;
use crate::sample_fleet::{FleetSize, SITE_COUNT, live_instances};
use crate::text_table::{TextTable, decimal_text};

const BLOCK_COUNTS: [usize; 3] = [10_000, 100_000, 630_000];
const INSTANCE_COUNTS: [usize; 3] = [7, 100, 550];

/// Number of clients, which are looked up in random order. It is large enough that processor caches hit no more often
/// than in production.
const CLIENT_COUNT: usize = 1 << 20;

/// Measures look-ups with growing numbers of blocks and instances.
#[must_use]
pub fn look_up_table() -> TextTable {
    let mut table = TextTable::new(
        "Look-up: 120 sites, 11 regions, 35 failure domains",
        &[
            "blocks",
            "instances",
            "ranges",
            "bytes/block",
            "build ms",
            "find ns",
            "look-up ns",
        ],
    );
    let config = FleetSize::SMALLEST.config();
    for block_count in BLOCK_COUNTS {
        let blocks = random_blocks(block_count);
        let start = processor_time();
        let sites = BlockTable::build(&blocks);
        let build = processor_time().saturating_sub(start);
        let clients = random_clients(&blocks);
        let find = nanos_per_client(&clients, |client| sites.find(client));
        for instances in INSTANCE_COUNTS {
            let entries = live_entry_table(&config, instances);
            let look_up = nanos_per_client(&clients, |client| {
                entries.rank_for_site(sites.find(client), client)
            });
            table.add([
                block_count.to_string(),
                instances.to_string(),
                sites.range_count().to_string(),
                decimal_text(sites.memory_bytes() as f64 / block_count as f64, 1),
                decimal_text(build.as_secs_f64() * 1e3, 1),
                decimal_text(find, 0),
                decimal_text(look_up, 0),
            ]);
        }
    }
    table
}

/// Measures the time for building the table of live instances.
#[must_use]
pub fn entry_table() -> TextTable {
    let mut table = TextTable::new(
        "Table of live instances, built once a second and at each change",
        &["instances", "build µs"],
    );
    let config = FleetSize::SMALLEST.config();
    for instances in INSTANCE_COUNTS {
        let live = live_instances(instances);
        let mut builder = EntryTableBuilder::new();
        let build = nanos_per_call(|| builder.build(&config, &live));
        table.add([instances.to_string(), decimal_text(build / 1e3, 0)]);
    }
    table
}

fn live_entry_table(config: &FleetConfig, instances: usize) -> EntryTable {
    EntryTableBuilder::new().build(config, &live_instances(instances))
}

fn nanos_per_client<T>(clients: &[IpAddr], look_up: impl Fn(IpAddr) -> T) -> f64 {
    let pass = || {
        for client in clients {
            black_box(look_up(*client));
        }
    };
    nanos_per_call(pass) / clients.len() as f64
}

/// Returns random blocks with random sites. One block in ten is an IPv6 block. Prefixes have 16 to 24 bits for IPv4 and
/// 32 to 48 bits for IPv6.
fn random_blocks(count: usize) -> Vec<(ClientBlock, SiteKey)> {
    let mut random = RandomSequence(1);
    (0..count)
        .map(|_| {
            let site = SiteKey::from_index(random.below(SITE_COUNT));
            (random_block(&mut random), site)
        })
        .collect()
}

fn random_block(random: &mut RandomSequence) -> ClientBlock {
    let text = if random.below(10) == 0 {
        let length = 32 + random.below(17);
        let bits = random.address_128() >> (128 - length) << (128 - length);
        format!("{}/{length}", Ipv6Addr::from_bits(bits))
    } else {
        let length = 16 + random.below(9);
        let bits = random.address_32() >> (32 - length) << (32 - length);
        format!("{}/{length}", Ipv4Addr::from_bits(bits))
    };
    ClientBlock::try_from(text.as_str()).expect("a valid block")
}

fn random_clients(blocks: &[(ClientBlock, SiteKey)]) -> Vec<IpAddr> {
    let mut random = RandomSequence(2);
    (0..CLIENT_COUNT)
        .map(|_| {
            let (block, _) = blocks[random.below(blocks.len())];
            match block.address() {
                IpAddr::V4(address) => {
                    let host = random.address_32() & 0xff;
                    IpAddr::V4(Ipv4Addr::from_bits(address.to_bits() | host))
                }
                IpAddr::V6(address) => {
                    let host = random.address_128() & 0xffff;
                    IpAddr::V6(Ipv6Addr::from_bits(address.to_bits() | host))
                }
            }
        })
        .collect()
}
