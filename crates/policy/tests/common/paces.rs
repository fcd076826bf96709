//! How fast simulated servers work: a third is permanently 1.3 times slower, and each spends 15 % of
//! the time 2.5 times slower, in phases of 600 ms.

use tamaracksail_model::time::Instant;

/// The factor of a server on a slow host.
const SLOW_HOST: f64 = 1.3;

/// The factor of a slow phase.
const SLOW_PHASE: f64 = 2.5;

/// The length of a slow phase.
const PHASE_MS: u64 = 600;

/// The time in which each server has one slow phase.
const CYCLE_MS: u64 = 4000;

/// Returns how long work lastingly takes at the server with this number, without phases.
pub fn lasting(server: usize) -> f64 {
    if server.is_multiple_of(3) {
        SLOW_HOST
    } else {
        1.0
    }
}

/// Whether the server with this number is in a slow phase.
pub fn is_in_phase(server: usize, now: Instant) -> bool {
    let millis = now.0 / 1000;
    let seed = (server as u64 + 1) * 1_000_003 + millis / CYCLE_MS;
    // The finalizer of a splitmix generator places the phase within its cycle.
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let start = (mixed ^ (mixed >> 31)) % (CYCLE_MS - PHASE_MS);
    (start..start + PHASE_MS).contains(&(millis % CYCLE_MS))
}

/// Returns how long work takes at the server with this number.
pub fn mixed(server: usize, now: Instant) -> f64 {
    let phase = if is_in_phase(server, now) {
        SLOW_PHASE
    } else {
        1.0
    };
    lasting(server) * phase
}

/// Returns the mean speed of the server with this number.
pub fn mean_speed(server: usize) -> f64 {
    let share = 0.15;
    (1.0 - share + share / SLOW_PHASE) / lasting(server)
}
