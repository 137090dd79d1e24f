//! Divides each server's slots among the entries of its failure domain.
//!
//! All entries compute the same division from the same view: each gets the
//! whole part of an equal share, and the slots left over go to the entries that
//! rendezvous hashing ranks first for the server (Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates", 1998). Entries whose views
//! differ for a while may claim a slot twice; the server then refuses a task.

use cuminkeel_types::names;

/// Slots of a server that one entry may use without asking.
///
/// `entries` are all live entries of the domain, with `local` among them.
pub fn local_share(
    server: &names::ServerName,
    slots: u32,
    local: &names::VmName,
    entries: &[names::VmName],
) -> u32 {
    let count = u32::try_from(entries.len()).unwrap_or(u32::MAX).max(1);
    let left_over = slots % count;
    let own = rendezvous_weight(server, local);
    let ahead = entries
        .iter()
        .filter(|entry| *entry != local)
        .filter(|entry| (rendezvous_weight(server, entry), *entry) > (own, local))
        .count();
    let gets_extra = u32::try_from(ahead).unwrap_or(u32::MAX) < left_over;
    slots / count + u32::from(gets_extra)
}

/// FNV-1a over both names with a final mix (the finalizer of `SplitMix64`). The
/// value must be the same in all processes and releases.
fn rendezvous_weight(server: &names::ServerName, entry: &names::VmName) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let separator = [0_u8];
    let bytes = server
        .as_str()
        .as_bytes()
        .iter()
        .chain(&separator)
        .chain(entry.as_str().as_bytes());
    let hash = bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    });
    mix(hash)
}

fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
