//! Loopback addresses of one soak's daemons, which no other soak uses at the same time.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Number of blocks that processes start to look for a free one at.
const BLOCKS: u8 = 100;
/// First number of a block's second octet; smaller ones are those of tests.
const FIRST_BLOCK: u8 = 101;
/// Numbers of the third octet that the daemons of one seed need, and seeds whose numbers differ.
const OCTETS_PER_SEED: u8 = 6;
const SEEDS: u64 = 40;
/// Daemons that share the third octet of their addresses.
const DAEMONS_PER_OCTET: usize = 250;
/// Port that is bound at the address of the first daemon for as long as a block is used.
const CLAIM_PORT: u16 = 7199;

/// The addresses of a soak's daemons.
#[derive(Debug)]
pub struct AddressBlock {
    block: u8,
    seed_octet: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims a block for a seed that no other soak has, beginning with one that the process's id selects.
    ///
    /// # Errors
    ///
    /// No block is free.
    pub fn claim(process: u32, seed: u64) -> io::Result<Self> {
        let seed_octet = (seed % SEEDS) as u8 * OCTETS_PER_SEED;
        let first = process.to_be_bytes()[3] % BLOCKS;
        let claim = |n: u8| {
            let block = FIRST_BLOCK + (first + n) % BLOCKS;
            let addr = SocketAddr::from((host(block, seed_octet, 0), CLAIM_PORT));
            let claim = TcpListener::bind(addr).ok()?;
            Some(Self { block, seed_octet, _claim: claim })
        };
        (0..BLOCKS).find_map(claim).ok_or_else(|| io::ErrorKind::AddrInUse.into())
    }

    /// Returns the address of the daemon with a number.
    pub fn host(&self, number: usize) -> Ipv4Addr {
        host(self.block, self.seed_octet, number)
    }
}

fn host(block: u8, seed_octet: u8, number: usize) -> Ipv4Addr {
    let (high, low) = (number / DAEMONS_PER_OCTET, number % DAEMONS_PER_OCTET + 1);
    Ipv4Addr::new(127, block, seed_octet + high as u8, low as u8)
}
