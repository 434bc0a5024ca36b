//! Tests of the look-up of client sites by address: fixed cases, and random tables that are compared with a linear
//! search.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use coltsfootkeel_model::{ArenaKey, BlockParseError, BlockTable, ClientBlock, SiteKey};

fn block(text: &str) -> ClientBlock {
    ClientBlock::try_from(text).expect("a valid block")
}

fn table(blocks: &[(&str, usize)]) -> BlockTable {
    let blocks: Vec<_> = blocks
        .iter()
        .map(|(text, site)| (block(text), SiteKey::from_index(*site)))
        .collect();
    BlockTable::build(&blocks)
}

fn find(table: &BlockTable, client: &str) -> Option<usize> {
    let client: IpAddr = client.parse().expect("a valid address");
    table.find(client).map(ArenaKey::index)
}

struct FindCase {
    name: &'static str,
    blocks: &'static [(&'static str, usize)],
    clients: &'static [(&'static str, Option<usize>)],
}

const FIND_CASES: &[FindCase] = &[
    FindCase {
        name: "no block",
        blocks: &[],
        clients: &[("0.0.0.0", None), ("255.255.255.255", None), ("::", None)],
    },
    FindCase {
        name: "an inner block ends before its outer block",
        blocks: &[("10.0.0.0/8", 1), ("10.1.0.0/16", 2), ("10.1.2.0/24", 3)],
        clients: &[
            ("9.255.255.255", None),
            ("10.0.0.0", Some(1)),
            ("10.0.255.255", Some(1)),
            ("10.1.0.0", Some(2)),
            ("10.1.1.255", Some(2)),
            ("10.1.2.0", Some(3)),
            ("10.1.2.255", Some(3)),
            ("10.1.3.0", Some(2)),
            ("10.2.0.0", Some(1)),
            ("10.255.255.255", Some(1)),
            ("11.0.0.0", None),
        ],
    },
    FindCase {
        name: "inner blocks at both ends of their outer block",
        blocks: &[("10.0.0.0/8", 1), ("10.0.0.0/16", 2), ("10.255.0.0/16", 3)],
        clients: &[
            ("10.0.0.0", Some(2)),
            ("10.1.0.0", Some(1)),
            ("10.254.255.255", Some(1)),
            ("10.255.255.255", Some(3)),
            ("11.0.0.0", None),
        ],
    },
    FindCase {
        name: "adjacent blocks of one site and of two",
        blocks: &[("10.0.0.0/24", 1), ("10.0.1.0/24", 1), ("10.0.2.0/24", 2)],
        clients: &[
            ("10.0.0.255", Some(1)),
            ("10.0.1.0", Some(1)),
            ("10.0.1.255", Some(1)),
            ("10.0.2.0", Some(2)),
            ("10.0.2.255", Some(2)),
            ("10.0.3.0", None),
        ],
    },
    FindCase {
        name: "an inner block of the same site",
        blocks: &[("10.0.0.0/8", 1), ("10.1.0.0/16", 1), ("10.1.1.0/24", 2)],
        clients: &[
            ("10.1.0.255", Some(1)),
            ("10.1.1.1", Some(2)),
            ("10.1.2.0", Some(1)),
        ],
    },
    FindCase {
        name: "both ends of the IPv4 addresses",
        blocks: &[("0.0.0.0/32", 1), ("255.255.255.255/32", 2)],
        clients: &[
            ("0.0.0.0", Some(1)),
            ("0.0.0.1", None),
            ("255.255.255.254", None),
            ("255.255.255.255", Some(2)),
        ],
    },
    FindCase {
        name: "all IPv4 addresses, and none of IPv6",
        blocks: &[("0.0.0.0/0", 1), ("128.0.0.0/1", 2)],
        clients: &[
            ("0.0.0.0", Some(1)),
            ("127.255.255.255", Some(1)),
            ("128.0.0.0", Some(2)),
            ("255.255.255.255", Some(2)),
            ("::1", None),
            ("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", None),
        ],
    },
    FindCase {
        name: "both ends of the IPv6 addresses",
        blocks: &[
            ("::/128", 1),
            ("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff/128", 2),
        ],
        clients: &[
            ("::", Some(1)),
            ("::1", None),
            ("ffff:ffff:ffff:ffff:ffff:ffff:ffff:fffe", None),
            ("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", Some(2)),
            ("0.0.0.0", None),
        ],
    },
    FindCase {
        name: "nested IPv6 blocks",
        blocks: &[("::/0", 1), ("2001:db8::/32", 2), ("2001:db8:1::/48", 3)],
        clients: &[
            ("2001:db7:ffff::1", Some(1)),
            ("2001:db8::1", Some(2)),
            ("2001:db8:1:ffff::1", Some(3)),
            ("2001:db8:2::", Some(2)),
            ("2001:db9::", Some(1)),
        ],
    },
    FindCase {
        name: "an IPv4 client in IPv6 notation",
        blocks: &[("10.0.0.0/8", 1), ("::/0", 2)],
        clients: &[("::ffff:10.1.2.3", Some(1)), ("::ffff:11.1.2.3", None)],
    },
];

/// Guards against flattening errors that assign a client to the site of an adjacent or outer block.
#[test]
fn finds_the_longest_prefix() {
    for case in FIND_CASES {
        let table = table(case.blocks);
        for (client, expected) in case.clients {
            assert_eq!(find(&table, client), *expected, "{}: {client}", case.name);
        }
    }
}

/// Guards against results that depend on the order of the blocks in the document.
#[test]
fn order_of_the_blocks_does_not_matter() {
    for case in FIND_CASES {
        let reversed: Vec<_> = case.blocks.iter().rev().copied().collect();
        let table = table(&reversed);
        for (client, expected) in case.clients {
            assert_eq!(find(&table, client), *expected, "{}: {client}", case.name);
        }
    }
}

struct ParseCase {
    text: &'static str,
    error: BlockParseError,
}

const PARSE_CASES: &[ParseCase] = &[
    ParseCase {
        text: "10.0.0.0",
        error: BlockParseError::Notation,
    },
    ParseCase {
        text: "10.0.0.0/33",
        error: BlockParseError::Notation,
    },
    ParseCase {
        text: "10.0.0.0/-1",
        error: BlockParseError::Notation,
    },
    ParseCase {
        text: "::/129",
        error: BlockParseError::Notation,
    },
    ParseCase {
        text: "10.0.0/8",
        error: BlockParseError::Notation,
    },
    ParseCase {
        text: "10.0.0.1/8",
        error: BlockParseError::HostBits,
    },
    ParseCase {
        text: "2001:db8::1/32",
        error: BlockParseError::HostBits,
    },
];

/// Guards against a mistyped block that is accepted and read as a different block.
#[test]
fn rejects_invalid_blocks() {
    for case in PARSE_CASES {
        let result = ClientBlock::try_from(case.text);
        assert_eq!(result.err().as_ref(), Some(&case.error), "{}", case.text);
    }
}

struct RandomCase {
    seed: u64,
    blocks: usize,
    /// Random addresses differ in this many low bits only, so that blocks are often nested or adjacent.
    address_bits: u32,
    is_ipv4: bool,
}

const RANDOM_CASES: &[RandomCase] = &[
    RandomCase {
        seed: 1,
        blocks: 5,
        address_bits: 4,
        is_ipv4: true,
    },
    RandomCase {
        seed: 2,
        blocks: 40,
        address_bits: 8,
        is_ipv4: true,
    },
    RandomCase {
        seed: 3,
        blocks: 1_500,
        address_bits: 32,
        is_ipv4: true,
    },
    RandomCase {
        seed: 4,
        blocks: 40,
        address_bits: 8,
        is_ipv4: false,
    },
    RandomCase {
        seed: 5,
        blocks: 1_500,
        address_bits: 128,
        is_ipv4: false,
    },
];

/// Guards against errors in the flattening and in the search tree that depend on the size of the table. Random tables
/// are compared with a linear search, for random clients and around both ends of the blocks.
#[test]
fn agrees_with_a_linear_search() {
    for case in RANDOM_CASES {
        for round in 0..20 {
            let mut random = RandomSequence(case.seed * 1_000 + round);
            let blocks = random_blocks(case, &mut random);
            let built: Vec<_> = blocks.iter().map(RandomBlock::table_entry).collect();
            let table = BlockTable::build(&built);
            for number in clients(case, &blocks, &mut random) {
                let found = table.find(address(number, case.is_ipv4));
                let expected = linear_search(&blocks, number);
                let context = (case.seed, round, address(number, case.is_ipv4));
                assert_eq!(found.map(ArenaKey::index), expected, "{context:?}");
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct RandomBlock {
    first: u128,
    last: u128,
    length: u32,
    site: usize,
    is_ipv4: bool,
}

impl RandomBlock {
    fn table_entry(&self) -> (ClientBlock, SiteKey) {
        let text = format!("{}/{}", address(self.first, self.is_ipv4), self.length);
        (block(&text), SiteKey::from_index(self.site))
    }
}

fn random_blocks(case: &RandomCase, random: &mut RandomSequence) -> Vec<RandomBlock> {
    let width: u32 = if case.is_ipv4 { 32 } else { 128 };
    let mut blocks: Vec<RandomBlock> = Vec::new();
    for _ in 0..case.blocks {
        let host_bits = random.below(case.address_bits + 1);
        let mask = low_bits(host_bits);
        let first = random.number(case.address_bits) & !mask;
        let new = RandomBlock {
            first,
            last: first | mask,
            length: width - host_bits,
            site: random.below(7) as usize,
            is_ipv4: case.is_ipv4,
        };
        let is_duplicate =
            |other: &RandomBlock| (other.first, other.length) == (new.first, new.length);
        if !blocks.iter().any(is_duplicate) {
            blocks.push(new);
        }
    }
    blocks
}

fn clients(case: &RandomCase, blocks: &[RandomBlock], random: &mut RandomSequence) -> Vec<u128> {
    let highest = low_bits(if case.is_ipv4 { 32 } else { 128 });
    let mut numbers = vec![0, highest];
    for block in blocks.iter().take(200) {
        numbers.extend([block.first, block.last]);
        numbers.push(block.first.saturating_sub(1));
        numbers.push(block.last.saturating_add(1).min(highest));
    }
    numbers.extend((0..200).map(|_| random.number(case.address_bits)));
    numbers
}

fn linear_search(blocks: &[RandomBlock], number: u128) -> Option<usize> {
    blocks
        .iter()
        .filter(|block| (block.first..=block.last).contains(&number))
        .max_by_key(|block| block.length)
        .map(|block| block.site)
}

fn address(number: u128, is_ipv4: bool) -> IpAddr {
    if is_ipv4 {
        let bits = u32::try_from(number).expect("an IPv4 address has 32 bits");
        IpAddr::V4(Ipv4Addr::from_bits(bits))
    } else {
        IpAddr::V6(Ipv6Addr::from_bits(number))
    }
}

fn low_bits(count: u32) -> u128 {
    if count == 128 {
        u128::MAX
    } else {
        (1 << count) - 1
    }
}

/// A `SplitMix64` generator, so that each run uses the same tables.
struct RandomSequence(u64);

impl RandomSequence {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let number = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        number ^ (number >> 31)
    }

    fn below(&mut self, count: u32) -> u32 {
        u32::try_from(self.next() % u64::from(count)).expect("a remainder of 32 bits")
    }

    fn number(&mut self, bits: u32) -> u128 {
        (u128::from(self.next()) << 64 | u128::from(self.next())) & low_bits(bits)
    }
}
