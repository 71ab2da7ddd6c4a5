//! Service registry, bounded channels and journal of the kernel crate.

use anvilgw_kernel::{EventKind, Journal, Registry, RegistryError, SendError, bounded_channel};
use std::sync::Arc;

/// Guards against a second service that silently replaces the first one under the same name.
#[test]
fn registry_refuses_duplicate_names_and_wrong_types() {
    let registry = Registry::new();
    registry.register("answer", Arc::new(42_u32)).unwrap();
    assert_eq!(
        registry.register("answer", Arc::new(43_u32)),
        Err(RegistryError::Duplicate("answer".to_owned()))
    );
    assert_eq!(*registry.find::<u32>("answer").unwrap(), 42);
    assert_eq!(
        registry.find::<u64>("answer"),
        Err(RegistryError::WrongType("answer".to_owned()))
    );
    assert_eq!(
        registry.find::<u32>("question"),
        Err(RegistryError::Missing("question".to_owned()))
    );
}

/// Guards against queues that grow without bound when a worker processes messages too slowly.
#[test]
fn full_channel_refuses_messages_and_counts_them() {
    let (sender, receiver) = bounded_channel(2);
    assert_eq!(sender.send(1), Ok(()));
    assert_eq!(sender.send(2), Ok(()));
    assert_eq!(sender.send(3), Err(SendError::Full));
    assert_eq!(sender.refused(), 1);
    drop(receiver);
    assert_eq!(sender.send(4), Err(SendError::Closed));
}

/// Guards against a request that waits for ever because its message was still unread when the
/// receiver was dropped. The message, with the channel for its answer, has to be dropped although
/// senders of the channel still exist.
#[test]
fn unread_messages_are_dropped_with_the_receiver() {
    let (sender, receiver) = bounded_channel(4);
    let unread = Arc::new(());
    sender.send(Arc::clone(&unread)).unwrap();
    drop(receiver);
    assert_eq!(Arc::strong_count(&unread), 1);
    assert_eq!(
        sender.send(Arc::clone(&unread)),
        Err(SendError::Closed),
        "a later message is refused"
    );
    assert_eq!(Arc::strong_count(&unread), 1);
}

/// Guards against the same fault for a message that is sent while the receiver is dropped.
#[test]
fn message_sent_during_the_drop_of_the_receiver_is_dropped() {
    for _ in 0..2_000 {
        let (sender, receiver) = bounded_channel(4);
        let unread = Arc::new(());
        let message = Arc::clone(&unread);
        let other = sender.clone();
        let sending = std::thread::spawn(move || other.send(message));
        drop(receiver);
        let _ = sending.join().unwrap();
        assert_eq!(Arc::strong_count(&unread), 1);
    }
}

/// Guards against a journal that grows without bound or loses its newest events.
#[test]
fn journal_keeps_the_newest_events() {
    let journal = Journal::new(2);
    for subject in ["a", "b", "c"] {
        journal.record(0, EventKind::ServerCold, subject, "test");
    }
    let subjects: Vec<_> = journal
        .since(0)
        .into_iter()
        .map(|event| (event.sequence, event.subject))
        .collect();
    assert_eq!(subjects, [(1, "b".to_owned()), (2, "c".to_owned())]);
}
