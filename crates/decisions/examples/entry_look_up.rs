//! Measures a look-up, which maps a client address to its site and to the ranked entry instances.
//!
//! Run with `cargo run --release -p coltsfootkeel-decisions --example entry_look_up`. The example prints the
//! nanoseconds per look-up on one and four threads and the bytes of memory per client block.

#![expect(
    clippy::cast_precision_loss,
    reason = "the figures are printed with few digits"
)]

use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::thread;
use std::time::Instant;

use coltsfootkeel_decisions::{EntryInstance, EntryTable, EntryTableBuilder};
use coltsfootkeel_model::{ArenaKey, BlockTable, ClientBlock, DomainKey, FleetConfig, SiteKey};

const REGIONS: usize = 11;
const DOMAINS: usize = 35;
const SITES: usize = 120;
const INSTANCES: usize = 550;
const RUNS: usize = 7;
const LOOK_UPS_PER_RUN: usize = 1 << 20;

fn main() {
    let config = FleetConfig::parse("example", &fleet_text()).expect("a valid configuration");
    let table = EntryTableBuilder::new().build(&config, &instances(&config));
    println!(
        "{INSTANCES} instances, {SITES} sites, median of {RUNS} runs of {LOOK_UPS_PER_RUN} look-ups a thread"
    );
    println!("   blocks   ranges  bytes/block  find ns  look-up ns  4 threads ns");
    for block_count in [10_000, 100_000, 630_000] {
        let blocks = random_blocks(block_count);
        let block_table = BlockTable::build(&blocks);
        let clients = random_clients(&blocks);
        let find = measure(&clients, |client| {
            black_box(block_table.find(client));
        });
        let rank = |client| {
            black_box(table.rank_for_site(block_table.find(client), client));
        };
        let single = measure(&clients, rank);
        let parallel = measure_parallel(&clients, &block_table, &table);
        println!(
            "{block_count:9} {:8} {:12.1} {find:8.0} {single:11.0} {parallel:13.0}",
            block_table.range_count(),
            bytes_per_block(block_table.memory_bytes(), block_count),
        );
    }
}

/// Returns the nanoseconds per look-up as the median of several runs, because other programs share the machine.
fn measure(clients: &[IpAddr], look_up: impl Fn(IpAddr)) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            for client in clients {
                look_up(*client);
            }
            start.elapsed().as_secs_f64() * 1e9 / clients.len() as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

fn measure_parallel(clients: &[IpAddr], blocks: &BlockTable, table: &EntryTable) -> f64 {
    let run = || {
        measure(clients, |client| {
            black_box(table.rank_for_site(blocks.find(client), client));
        })
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(run)).collect();
        let times = threads.into_iter().map(|thread| thread.join().unwrap());
        times.sum::<f64>() / 4.0
    })
}

fn bytes_per_block(bytes: usize, blocks: usize) -> f64 {
    bytes as f64 / blocks as f64
}

fn random_blocks(count: usize) -> Vec<(ClientBlock, SiteKey)> {
    let mut random = RandomSequence(1);
    let mut blocks = Vec::with_capacity(count);
    while blocks.len() < count {
        let site = SiteKey::from_index(random.below(SITES));
        let text = if random.below(10) == 0 {
            let length = 32 + random.below(17);
            let bits = random.address_128() >> (128 - length) << (128 - length);
            format!("{}/{length}", Ipv6Addr::from_bits(bits))
        } else {
            let length = 16 + random.below(9);
            let bits = random.address_32() >> (32 - length) << (32 - length);
            format!("{}/{length}", Ipv4Addr::from_bits(bits))
        };
        let block = ClientBlock::try_from(text.as_str()).expect("a valid block");
        blocks.push((block, site));
    }
    blocks
}

/// Returns clients inside the blocks in random order, so that the processor caches hold no more than in operation.
fn random_clients(blocks: &[(ClientBlock, SiteKey)]) -> Vec<IpAddr> {
    let mut random = RandomSequence(2);
    (0..LOOK_UPS_PER_RUN)
        .map(|_| {
            let (block, _) = blocks[random.below(blocks.len())];
            match block.address() {
                IpAddr::V4(address) => IpAddr::V4(Ipv4Addr::from_bits(
                    address.to_bits() | random.address_32() & 0xff,
                )),
                IpAddr::V6(address) => IpAddr::V6(Ipv6Addr::from_bits(
                    address.to_bits() | random.address_128() & 0xffff,
                )),
            }
        })
        .collect()
}

fn instances(config: &FleetConfig) -> Vec<EntryInstance> {
    (0..INSTANCES)
        .map(|index| EntryInstance {
            name: format!("entry-{index}"),
            domain: DomainKey::from_index(index % config.domains.len()),
            address: "127.0.0.1:80".parse().expect("a valid address"),
            leaving: false,
            headroom_percent: if index % 9 == 0 { 5 } else { 60 },
        })
        .collect()
}

fn fleet_text() -> String {
    let mut text = String::from("regions:\n");
    for region in 0..REGIONS {
        let domains: Vec<String> = (0..DOMAINS)
            .filter(|domain| domain % REGIONS == region)
            .map(|domain| format!("d{domain}"))
            .collect();
        let names = domains.join(", ");
        writeln!(text, "  - {{name: r{region}, failure_domains: [{names}]}}").unwrap();
    }
    text.push_str("seats: [{name: s0, failure_domain: d0}]\nsites:\n");
    for site in 0..SITES {
        let near = site % DOMAINS;
        let next = (near + REGIONS) % DOMAINS;
        writeln!(
            text,
            "  - {{name: site{site}, failure_domains: [d{near}, d{next}]}}"
        )
        .unwrap();
    }
    text
}

/// The `SplitMix64` generator with a fixed seed, so that each run measures the same addresses.
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    fn below(&mut self, count: usize) -> usize {
        usize::try_from(self.next() % count as u64).expect("a remainder that fits")
    }

    fn address_32(&mut self) -> u32 {
        (self.next() >> 32) as u32
    }

    fn address_128(&mut self) -> u128 {
        u128::from(self.next()) << 64 | u128::from(self.next())
    }
}
