//! Numbers of frames, by which those that were received before are recognised.
//!
//! Each sender numbers its frames to each receiver. A receiver keeps the highest
//! number and a bitmap of the [`WINDOW_FRAMES`] before it, as in RFC 4303.

use std::collections;

use cuminkeel_types::names;

use crate::frame;

/// Frames that may arrive out of order behind the newest one.
pub const WINDOW_FRAMES: u64 = (WORDS as u64 - 1) * WORD_BITS;

const WORD_BITS: u64 = 64;
/// One more than the window fills, since it rarely starts at a word's first bit.
const WORDS: usize = 17;

/// Window over one sender's sequence numbers.
#[derive(Clone, Debug)]
pub struct ReplayWindow {
    highest: u64,
    seen: [u64; WORDS],
}

impl Default for ReplayWindow {
    fn default() -> Self {
        Self {
            highest: 0,
            seen: [0; WORDS],
        }
    }
}

impl ReplayWindow {
    /// Takes note of a number. False if it came before, is zero, or is too old to tell.
    pub fn accept(&mut self, sequence: u64) -> bool {
        match sequence {
            0 => false,
            ahead if ahead > self.highest => {
                self.advance(ahead);
                self.mark(ahead)
            }
            behind if self.highest - behind >= WINDOW_FRAMES => false,
            inside => self.mark(inside),
        }
    }

    fn advance(&mut self, highest: u64) {
        let from = self.highest / WORD_BITS;
        let steps = (highest / WORD_BITS - from).min(WORDS as u64);
        for step in 1..=steps {
            let word = highest / WORD_BITS - (steps - step);
            self.seen[Self::slot(word)] = 0;
        }
        self.highest = highest;
    }

    fn mark(&mut self, sequence: u64) -> bool {
        let bit = 1 << (sequence % WORD_BITS);
        let word = &mut self.seen[Self::slot(sequence / WORD_BITS)];
        let fresh = *word & bit == 0;
        *word |= bit;
        fresh
    }

    fn slot(word: u64) -> usize {
        usize::try_from(word % WORDS as u64).unwrap_or_default()
    }
}

/// Numbers of frames, sent and received.
#[derive(Debug, Default)]
pub(crate) struct SequenceBook {
    sent: collections::HashMap<names::IncarnationId, u64>,
    introduced: u64,
    windows: collections::HashMap<names::IncarnationId, ReplayWindow>,
    introductions: collections::HashMap<names::IncarnationId, ReplayWindow>,
}

impl SequenceBook {
    pub(crate) fn next(&mut self, to: Option<names::IncarnationId>) -> u64 {
        let counter = match to {
            Some(to) => self.sent.entry(to).or_default(),
            None => &mut self.introduced,
        };
        *counter += 1;
        *counter
    }

    pub(crate) fn accept(&mut self, proved: &frame::ProvedFrame<'_>) -> bool {
        let windows = match proved.kind {
            frame::FrameKind::Introduction => &mut self.introductions,
            frame::FrameKind::Membership | frame::FrameKind::Topic(_) => &mut self.windows,
        };
        let window = windows.entry(proved.from).or_default();
        window.accept(proved.sequence)
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(names::IncarnationId) -> bool) {
        self.sent.retain(|&peer, _| keep(peer));
        self.windows.retain(|&peer, _| keep(peer));
        self.introductions.retain(|&peer, _| keep(peer));
    }
}
