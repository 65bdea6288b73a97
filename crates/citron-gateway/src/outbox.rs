//! A bounded queue of messages that wait to be sent to other gateways as datagrams.

use std::net::SocketAddr;

use tokio::sync::{Mutex, mpsc};

/// The maximum number of messages that wait; further ones are dropped.
const CAPACITY: usize = 256;

/// Messages with their receivers.
#[derive(Debug)]
pub struct Outbox<T> {
    sender: mpsc::Sender<(SocketAddr, T)>,
    queue: Mutex<mpsc::Receiver<(SocketAddr, T)>>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        let (sender, queue) = mpsc::channel(CAPACITY);
        Self { sender, queue: Mutex::new(queue) }
    }
}

impl<T> Outbox<T> {
    /// Adds a message; returns false if the queue is full.
    pub fn push(&self, to: SocketAddr, message: T) -> bool {
        self.sender.try_send((to, message)).is_ok()
    }

    /// Returns the next message and its receiver, `None` once there will be none.
    pub async fn next(&self) -> Option<(SocketAddr, T)> {
        self.queue.lock().await.recv().await
    }
}
