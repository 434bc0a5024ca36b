//! Sites by client address: nested blocks are flattened into sorted ranges, so a look-up is one binary search.

use std::net::IpAddr;

use thiserror::Error;

use crate::keys::SiteKey;

/// A block of client addresses in CIDR notation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientBlock {
    address: IpAddr,
    prefix_length: u8,
}

/// Why a text is no block.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BlockParseError {
    /// The text is not in CIDR notation.
    #[error("expected a block such as 10.1.0.0/16 or 2001:db8::/32")]
    Notation,
    /// Bits after the prefix are set.
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
        if address_number(address) != block.first() {
            return Err(BlockParseError::HostBits);
        }
        Ok(block)
    }
}

impl ClientBlock {
    fn host_mask(self) -> u128 {
        let host_bits = address_width(self.address) - u32::from(self.prefix_length);
        if host_bits == 128 {
            u128::MAX
        } else {
            (1 << host_bits) - 1
        }
    }

    fn first(self) -> u128 {
        address_number(self.address) & !self.host_mask()
    }

    fn last(self) -> u128 {
        address_number(self.address) | self.host_mask()
    }
}

/// The sites of all blocks. Where blocks nest, the longest prefix wins.
#[derive(Debug, Default)]
pub struct BlockTable {
    ipv4: RangeList<u32>,
    ipv6: RangeList<u128>,
}

impl BlockTable {
    /// Builds the table.
    ///
    /// # Panics
    ///
    /// Never: an IPv4 address fits 32 bits.
    #[must_use]
    pub fn build(blocks: &[(ClientBlock, SiteKey)]) -> Self {
        let of_family = |is_ipv4: bool| {
            blocks
                .iter()
                .copied()
                .filter(move |(block, _)| block.address.is_ipv4() == is_ipv4)
                .collect::<Vec<_>>()
        };
        let narrow = |start: u128| u32::try_from(start).expect("an IPv4 address has 32 bits");
        Self {
            ipv4: RangeList::build(of_family(true), u128::from(u32::MAX), narrow),
            ipv6: RangeList::build(of_family(false), u128::MAX, |start| start),
        }
    }

    /// Finds the site of a client.
    #[must_use]
    pub fn find(&self, client: IpAddr) -> Option<SiteKey> {
        match client.to_canonical() {
            IpAddr::V4(address) => self.ipv4.find(address.to_bits()),
            IpAddr::V6(address) => self.ipv6.find(address.to_bits()),
        }
    }

    /// Returns the number of ranges after flattening.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ipv4.starts.len() + self.ipv6.starts.len()
    }
}

/// Ranges sorted by their first address; each ends where the next one starts.
#[derive(Debug)]
struct RangeList<A> {
    starts: Vec<A>,
    sites: Vec<Option<SiteKey>>,
}

impl<A> Default for RangeList<A> {
    fn default() -> Self {
        Self {
            starts: Vec::new(),
            sites: Vec::new(),
        }
    }
}

impl<A: Ord + Copy> RangeList<A> {
    fn build(
        mut blocks: Vec<(ClientBlock, SiteKey)>,
        highest: u128,
        narrow: impl Fn(u128) -> A,
    ) -> Self {
        blocks.sort_by_key(|(block, _)| (block.first(), block.prefix_length));
        let mut ranges = Self::default();
        let mut open: Vec<(u128, SiteKey)> = Vec::new();
        for (block, site) in blocks {
            ranges.close_before(&mut open, block.first(), &narrow);
            ranges.start(narrow(block.first()), Some(site));
            open.push((block.last(), site));
        }
        while let Some((last, _)) = open.pop() {
            if last < highest {
                ranges.start(narrow(last + 1), open.last().map(|(_, site)| *site));
            }
        }
        ranges
    }

    fn close_before(
        &mut self,
        open: &mut Vec<(u128, SiteKey)>,
        start: u128,
        narrow: &impl Fn(u128) -> A,
    ) {
        while let Some((last, _)) = open.last().copied() {
            if last >= start {
                break;
            }
            open.pop();
            self.start(narrow(last + 1), open.last().map(|(_, site)| *site));
        }
    }

    fn start(&mut self, start: A, site: Option<SiteKey>) {
        if self.starts.last() == Some(&start) {
            // A range that would be empty is replaced by the one that starts at the same address.
            self.sites.pop();
            self.starts.pop();
        }
        if self.sites.last() == Some(&site) {
            return;
        }
        self.starts.push(start);
        self.sites.push(site);
    }

    fn find(&self, address: A) -> Option<SiteKey> {
        let after = self.starts.partition_point(|start| *start <= address);
        self.sites.get(after.checked_sub(1)?).copied().flatten()
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
