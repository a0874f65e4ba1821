//! Choice of the daemons that keep the origin of a stream, the same at every daemon.

use std::hash::Hasher as _;

use xxhash_rust::xxh3::Xxh3;

use crate::cluster::stream_origin::StreamKey;
use crate::ids::CentreId;
use crate::ids::DaemonId;

/// Number of daemons that get a stream's origin in a small fleet: all of a usual one, so that any of them can resume
/// the stream without asking.
pub const SMALL_FLEET_COPIES: usize = 7;
/// The same in a large fleet. Three survive the loss of a data centre and of one more daemon.
pub const LARGE_FLEET_COPIES: usize = 3;
/// Number of daemons of a large fleet that are asked for an origin: the ranking may have changed by some daemons that
/// joined or left since it was reported.
pub const LARGE_FLEET_ASKED: usize = 2 * LARGE_FLEET_COPIES;

/// Returns up to `count` of `daemons` by their rendezvous hashing weight for a stream, greatest first, except that the
/// second one is of another data centre than the first if there is any.
pub fn origin_holders<'a>(
    stream: StreamKey,
    daemons: impl Iterator<Item = (&'a DaemonId, &'a CentreId)>,
    count: usize,
) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<_> = daemons.map(|(id, centre)| (weight(stream, id), id, centre)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    if let Some((_, _, first)) = ranked.first()
        && let Some(other) = ranked.iter().position(|(_, _, centre)| centre != first)
    {
        ranked[1..=other].rotate_right(1);
    }
    ranked.into_iter().take(count).map(|(_, id, _)| id).collect()
}

fn weight(stream: StreamKey, daemon: &DaemonId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write_u64(stream);
    hasher.write(daemon.as_bytes());
    hasher.finish()
}
