//! A body in memory, in parts that never move while it grows.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use smallvec::SmallVec;

/// The size of the parts of a body whose length is not known beforehand, in bytes.
const SEGMENT_BYTES: usize = 64 * 1024;

/// A whole body; clones share its parts.
#[derive(Debug, Clone, Default)]
pub struct Segments {
    parts: SmallVec<[Bytes; 1]>,
    length: u64,
}

/// A body that is being received.
#[derive(Debug)]
pub struct Growing {
    complete: Segments,
    current: Vec<u8>,
    /// The memory of all parts, in bytes.
    memory: usize,
}

/// A body that is being sent.
#[derive(Debug)]
pub struct Sending {
    parts: smallvec::IntoIter<[Bytes; 1]>,
    left: u64,
}

impl Segments {
    /// Returns the length of the body, in bytes.
    pub fn len(&self) -> u64 {
        self.length
    }

    /// Starts to send the body.
    pub fn send(&self) -> Sending {
        Sending { parts: self.parts.clone().into_iter(), left: self.length }
    }

    fn push(&mut self, part: Vec<u8>) {
        if !part.is_empty() {
            self.length += part.len() as u64;
            self.parts.push(Bytes::from(part));
        }
    }
}

impl Growing {
    /// Creates an empty body of which the first part has room for `capacity` bytes.
    pub fn with_capacity(capacity: usize) -> Self {
        let current = Vec::with_capacity(capacity);
        Self { complete: Segments::default(), memory: current.capacity(), current }
    }

    /// Returns the length so far, in bytes.
    pub fn len(&self) -> u64 {
        self.complete.length + self.current.len() as u64
    }

    /// Returns how many bytes of memory the body has after `more` bytes.
    pub fn memory_after(&self, more: usize) -> usize {
        let spare = self.current.capacity() - self.current.len();
        self.memory + more.saturating_sub(spare).next_multiple_of(SEGMENT_BYTES)
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.current.len() == self.current.capacity() {
                let next = Vec::with_capacity(SEGMENT_BYTES);
                self.memory += next.capacity();
                self.complete.push(std::mem::replace(&mut self.current, next));
            }
            let spare = self.current.capacity() - self.current.len();
            let (part, rest) = bytes.split_at(spare.min(bytes.len()));
            self.current.extend_from_slice(part);
            bytes = rest;
        }
    }

    /// Returns the whole body, and begins an empty one.
    pub fn finish(&mut self) -> Segments {
        let Self { mut complete, current, .. } = std::mem::replace(self, Self::with_capacity(0));
        complete.push(current);
        complete
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.next();
        self.left -= part.as_ref().map_or(0, |part| part.len() as u64);
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
