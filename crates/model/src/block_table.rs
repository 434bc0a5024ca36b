//! Look-up of client sites by address.
//!
//! Nested CIDR blocks are flattened into sorted, non-overlapping ranges. The ranges form a static
//! B-tree with 16 start addresses in a node, so that a look-up in a large table reads one or two
//! cache lines of each level.

use std::net::IpAddr;

use thiserror::Error;

use crate::arena::ArenaKey;
use crate::keys::SiteKey;

/// A block of client addresses in CIDR notation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBlock {
    address: IpAddr,
    prefix_length: u8,
}

/// Why a text is not a valid CIDR block.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BlockParseError {
    /// The text is not an address and a prefix length in CIDR notation.
    #[error("expected a block such as 10.1.0.0/16 or 2001:db8::/32")]
    Notation,
    /// Address bits after the prefix are set.
    #[error("expected zero bits after the prefix")]
    HostBits,
}

impl TryFrom<&str> for ClientBlock {
    type Error = BlockParseError;

    fn try_from(text: &str) -> Result<Self, BlockParseError> {
        let (address, length) = text.split_once('/').ok_or(BlockParseError::Notation)?;
        let address: IpAddr = address.parse().map_err(|_| BlockParseError::Notation)?;
        let prefix_length: u8 = length.parse().map_err(|_| BlockParseError::Notation)?;
        let width = address_width(address);
        if u32::from(prefix_length) > width {
            return Err(BlockParseError::Notation);
        }
        let block = Self {
            address,
            prefix_length,
        };
        if address_number(address) != block.first_address() {
            return Err(BlockParseError::HostBits);
        }
        Ok(block)
    }
}

impl ClientBlock {
    /// Returns the lowest address of the block.
    #[must_use]
    pub fn address(self) -> IpAddr {
        self.address
    }

    /// Returns the number of leading bits that all addresses of the block have in common.
    #[must_use]
    pub fn prefix_length(self) -> u8 {
        self.prefix_length
    }

    fn host_mask(self) -> u128 {
        let host_bits = address_width(self.address) - u32::from(self.prefix_length);
        if host_bits == 128 {
            u128::MAX
        } else {
            (1 << host_bits) - 1
        }
    }

    fn first_address(self) -> u128 {
        address_number(self.address) & !self.host_mask()
    }

    fn last_address(self) -> u128 {
        address_number(self.address) | self.host_mask()
    }
}

/// Maps client addresses to sites. Where blocks nest, the block with the longest prefix applies.
#[derive(Debug, Default)]
pub struct BlockTable {
    ipv4: RangeTree<u32>,
    ipv6: RangeTree<u128>,
}

impl BlockTable {
    /// Builds the table from the blocks of all sites, in any order.
    ///
    /// # Panics
    ///
    /// Never panics, because the start of an IPv4 range always fits into 32 bits.
    #[must_use]
    pub fn build(blocks: &[(ClientBlock, SiteKey)]) -> Self {
        let of_family = |is_ipv4: bool| {
            blocks
                .iter()
                .copied()
                .filter(move |(block, _)| block.address.is_ipv4() == is_ipv4)
                .collect::<Vec<_>>()
        };
        let from_bits = |start: u128| u32::try_from(start).expect("an IPv4 address has 32 bits");
        Self {
            ipv4: RangeTree::build(of_family(true), u128::from(u32::MAX), from_bits),
            ipv6: RangeTree::build(of_family(false), u128::MAX, |start| start),
        }
    }

    /// Returns the site of a client address, or `None` if no block contains it. An IPv4-mapped IPv6 address is looked
    /// up as an IPv4 address.
    #[must_use]
    pub fn find(&self, client: IpAddr) -> Option<SiteKey> {
        match client.to_canonical() {
            IpAddr::V4(address) => self.ipv4.find(address.to_bits()),
            IpAddr::V6(address) => self.ipv6.find(address.to_bits()),
        }
    }

    /// Returns the number of ranges that the blocks are flattened into.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ipv4.range_count + self.ipv6.range_count
    }

    /// Returns the heap memory of the ranges, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.ipv4.memory_bytes() + self.ipv6.memory_bytes()
    }
}

/// The number of start addresses in a tree node. Sixteen IPv4 addresses fill one cache line.
const STARTS_PER_NODE: usize = 16;

/// Marks a range that belongs to no block.
const NO_SITE: u32 = u32::MAX;

/// A static B-tree of address ranges, sorted by start address. Each range ends where the next one starts.
#[derive(Debug)]
struct RangeTree<A> {
    range_count: usize,
    leaves: Vec<RangeLeaf<A>>,
    /// The inner levels, from the one above the leaves up to the root. Each holds the lowest start of every node in the
    /// level below.
    levels: Vec<Vec<A>>,
}

/// The start addresses and sites of adjacent ranges, stored together because a look-up reads both.
///
/// The last leaf is padded with copies of its last range, which do not change the result of a look-up.
#[derive(Debug)]
struct RangeLeaf<A> {
    starts: [A; STARTS_PER_NODE],
    sites: [u32; STARTS_PER_NODE],
}

impl<A> Default for RangeTree<A> {
    fn default() -> Self {
        Self {
            range_count: 0,
            leaves: Vec::new(),
            levels: Vec::new(),
        }
    }
}

impl<A: Ord + Copy> RangeTree<A> {
    fn build(
        blocks: Vec<(ClientBlock, SiteKey)>,
        highest: u128,
        from_bits: impl Fn(u128) -> A,
    ) -> Self {
        let ranges = RangeList::flatten(blocks, highest, from_bits).ranges;
        let leaves: Vec<RangeLeaf<A>> = ranges.chunks(STARTS_PER_NODE).map(padded_leaf).collect();
        let mut levels: Vec<Vec<A>> = Vec::new();
        let mut below: Vec<A> = leaves.iter().map(|leaf| leaf.starts[0]).collect();
        while below.len() > 1 {
            let above = below.iter().copied().step_by(STARTS_PER_NODE).collect();
            levels.push(std::mem::replace(&mut below, above));
        }
        Self {
            range_count: ranges.len(),
            leaves,
            levels,
        }
    }

    fn memory_bytes(&self) -> usize {
        let starts: usize = self.levels.iter().map(Vec::capacity).sum();
        starts * size_of::<A>() + self.leaves.capacity() * size_of::<RangeLeaf<A>>()
    }

    fn find(&self, address: A) -> Option<SiteKey> {
        let mut node = 0;
        for level in self.levels.iter().rev() {
            let first = node * STARTS_PER_NODE;
            let end = level.len().min(first + STARTS_PER_NODE);
            node = first + range_position(level.get(first..end)?, address)?;
        }
        let leaf = self.leaves.get(node)?;
        let site = leaf.sites[range_position(&leaf.starts, address)?];
        (site != NO_SITE).then(|| SiteKey::from_index(site as usize))
    }
}

fn padded_leaf<A: Copy>(ranges: &[(A, u32)]) -> RangeLeaf<A> {
    let range = |position: usize| ranges[position.min(ranges.len() - 1)];
    RangeLeaf {
        starts: std::array::from_fn(|position| range(position).0),
        sites: std::array::from_fn(|position| range(position).1),
    }
}

/// Returns the position of the last start that is not above `address`, or `None` if all starts are above it.
///
/// Counting over the whole node lets the compiler use vector instructions.
fn range_position<A: Ord + Copy>(starts: &[A], address: A) -> Option<usize> {
    let count = starts.iter().filter(|start| **start <= address).count();
    count.checked_sub(1)
}

fn site_number(site: SiteKey) -> u32 {
    u32::try_from(site.index()).expect("an arena holds at most 2^32 records")
}

/// The sorted ranges of the blocks flattened so far.
#[derive(Debug)]
struct RangeList<A> {
    ranges: Vec<(A, u32)>,
}

impl<A: Ord + Copy> RangeList<A> {
    fn flatten(
        mut blocks: Vec<(ClientBlock, SiteKey)>,
        highest: u128,
        from_bits: impl Fn(u128) -> A,
    ) -> Self {
        blocks.sort_by_key(|(block, _)| (block.first_address(), block.prefix_length));
        let mut list = Self { ranges: Vec::new() };
        let mut open: Vec<(u128, SiteKey)> = Vec::new();
        for (block, site) in blocks {
            list.close_blocks_before(&mut open, block.first_address(), &from_bits);
            list.push_range(from_bits(block.first_address()), Some(site));
            open.push((block.last_address(), site));
        }
        while let Some((last, _)) = open.pop() {
            if last < highest {
                list.push_range(from_bits(last + 1), open.last().map(|(_, site)| *site));
            }
        }
        list
    }

    fn close_blocks_before(
        &mut self,
        open: &mut Vec<(u128, SiteKey)>,
        start: u128,
        from_bits: &impl Fn(u128) -> A,
    ) {
        while let Some((last, _)) = open.last().copied() {
            if last >= start {
                break;
            }
            open.pop();
            self.push_range(from_bits(last + 1), open.last().map(|(_, site)| *site));
        }
    }

    fn push_range(&mut self, start: A, site: Option<SiteKey>) {
        if self.ranges.last().is_some_and(|(last, _)| *last == start) {
            // The previous range would be empty, because the new one starts at the same address.
            self.ranges.pop();
        }
        let site = site.map_or(NO_SITE, site_number);
        if self.ranges.last().is_none_or(|(_, last)| *last != site) {
            self.ranges.push((start, site));
        }
    }
}

fn address_width(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(_) => 32,
        IpAddr::V6(_) => 128,
    }
}

fn address_number(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits(),
    }
}
