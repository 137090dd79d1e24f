//! The fixed split of a limit among the seats.

use cuminkeel_types::names;

use super::settings;

/// Units of `limit` that belong to a seat.
///
/// Each seat gets the whole part; the rest goes to the seats that come first in
/// an order that starts elsewhere for each customer. The units of a seat never
/// fall when the limit grows, so entries that know an older, lower limit never
/// add up to more than the newer one.
pub fn seat_units(
    seats: &settings::SeatMap,
    customer: &names::CustomerName,
    seat: settings::SeatId,
    limit: u32,
) -> u32 {
    let total = seats.total().max(1);
    let start = customer_hash(customer) % total;
    let rank = (seats.position(seat) + total - start) % total;
    limit / total + u32::from(rank < limit % total)
}

/// FNV-1a, 32 bits: the same on every entry and release.
fn customer_hash(customer: &names::CustomerName) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let bytes = customer.as_str().bytes();
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
