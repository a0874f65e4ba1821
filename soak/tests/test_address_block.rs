//! Addresses of soaks that run at the same time.

use std::io;

use comfreymux_soak::address_block::AddressBlock;

/// Guards against two soaks whose process ids and seeds give the same addresses, and whose callers reach each other's daemons.
#[test]
fn blocks_apart() -> io::Result<()> {
    const PROCESS: u32 = 1234;
    let first = AddressBlock::claim(PROCESS, 7)?;
    let second = AddressBlock::claim(PROCESS + 256, 47)?;
    for number in [0, 1, 249, 250, 399] {
        assert_ne!(first.host(number), second.host(number));
    }
    let host = first.host(0);
    drop(first);
    assert_eq!(AddressBlock::claim(PROCESS, 7)?.host(0), host);
    Ok(())
}
