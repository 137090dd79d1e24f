//! Feeds a service's mailbox from the mesh: messages of its topic, and members.

use std::{fmt, sync};

use cuminkeel_mesh::border;
use cuminkeel_types::names;
use tokio::sync::mpsc;

/// Makes a service's events of what the mesh tells.
pub(super) struct FeedEvents<Event> {
    /// The event of a message from a proved sender.
    pub(super) message: fn(names::IncarnationId, Vec<u8>) -> Event,
    /// The event of the other members as they are now, with this process's own record.
    pub(super) members: fn(&border::MemberRecord, &[border::MemberRecord]) -> Event,
}

/// Listens and watches for one service. An event that finds no room is dropped:
/// services repeat what matters, and each change tells all members anew.
struct MeshFeed<Event> {
    mesh: sync::Weak<dyn border::MeshPort>,
    events: FeedEvents<Event>,
    mailbox: mpsc::Sender<Event>,
}

impl<Event> fmt::Debug for MeshFeed<Event> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MeshFeed(..)")
    }
}

/// Feeds a mailbox from now on, beginning with the members as they are.
pub(super) fn link<Event: Send + 'static>(
    mesh: &sync::Arc<dyn border::MeshPort>,
    topic: border::MeshTopic,
    mailbox: mpsc::Sender<Event>,
    events: FeedEvents<Event>,
) {
    let feed = sync::Arc::new(MeshFeed {
        mesh: sync::Arc::downgrade(mesh),
        events,
        mailbox,
    });
    feed.tell_members();
    mesh.listen(topic, sync::Arc::clone(&feed) as _);
    mesh.watch(feed);
}

impl<Event: Send> MeshFeed<Event> {
    fn tell_members(&self) {
        if let Some(mesh) = self.mesh.upgrade() {
            let event = (self.events.members)(&mesh.local(), &mesh.members());
            let _ = self.mailbox.try_send(event);
        }
    }
}

impl<Event: Send> border::MeshListener for MeshFeed<Event> {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        let event = (self.events.message)(from.incarnation, payload.to_vec());
        let _ = self.mailbox.try_send(event);
    }
}

impl<Event: Send> border::MemberWatcher for MeshFeed<Event> {
    fn on_change(&self, _event: &border::MemberEvent) {
        self.tell_members();
    }
}
