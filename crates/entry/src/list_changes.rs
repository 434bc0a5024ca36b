//! Passes the changes of the store's lists on to the other instances, so that few instances call the store.
//!
//! Load pattern: upstreams of a large pool are replaced one after the other, and each change would make every instance of
//! the fleet call the store.

use coltsfootkeel_adapter::{ObjectEvent, ObjectKind, StoreObject};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{ChangedObject, ListChanges, ListKind};
use coltsfootkeel_steering::{PositionRange, StorePosition, replaces_list};
use prost::Message;
use serde_json::Value;

use crate::control_loop::ControlLoop;

/// The most bytes of changes in a heartbeat. The other instances read larger changes from the store.
const MAX_CHANGE_BYTES: usize = 16 * 1024;

impl ControlLoop {
    fn set_applied(&mut self, kind: ObjectKind, position: StorePosition) {
        self.applied.set(kind, position);
        self.shared.reader_role.set_applied(self.applied);
    }

    /// Records the position of a complete list that is about to be applied. Returns false for a list that must not be
    /// applied, see [`replaces_list`].
    pub(crate) fn reset_applied(
        &mut self,
        kind: ObjectKind,
        position: StorePosition,
        requested_at: MonotonicTime,
    ) -> bool {
        let is_requested_before_changes = requested_at < self.peer_changes_applied_at;
        if !replaces_list(position, self.applied.of(kind), is_requested_before_changes) {
            return false;
        }
        self.set_applied(kind, position);
        true
    }

    /// Records the position of changes that are about to be applied. Returns false for changes of a list that are known
    /// already: applied again, they would undo later ones.
    pub(crate) fn advance_applied(&mut self, kind: ObjectKind, position: StorePosition) -> bool {
        if list_kind(kind).is_none() {
            return true;
        }
        if position < self.applied.of(kind) {
            return false;
        }
        self.set_applied(kind, position);
        true
    }

    /// Adds changes that this instance has watched to its next heartbeats.
    pub(crate) fn report_changes(
        &mut self,
        kind: ObjectKind,
        events: &[ObjectEvent],
        unreadable: &[String],
        range: PositionRange,
    ) {
        let Some(list) = list_kind(kind) else {
            return;
        };
        let changes = ListChanges {
            list: list.into(),
            era: range.until.era,
            since: range.since.revision,
            revision: range.until.revision,
            objects: events.iter().map(encode_event).collect(),
            unreadable: unreadable.to_vec(),
        };
        let pending = &mut self.pending;
        for queue in [&mut pending.near_changes, &mut pending.far_changes] {
            let queued_bytes: usize = queue.iter().map(Message::encoded_len).sum();
            if queued_bytes + changes.encoded_len() <= MAX_CHANGE_BYTES {
                queue.push(changes.clone());
            }
        }
        pending.hurry();
    }

    /// Applies changes that another instance has watched, if they continue those that this instance has applied.
    pub(crate) fn apply_peer_changes(&mut self, changes: ListChanges) {
        let kind = object_kind(changes.list());
        let era = changes.era;
        let in_era = |revision| StorePosition { era, revision };
        let range = PositionRange {
            since: in_era(changes.since),
            until: in_era(changes.revision),
        };
        if !range.continues(self.applied.of(kind)) {
            return;
        }
        let mut events = Vec::new();
        for object in changes.objects {
            match decode_event(object, era) {
                Ok(event) => events.push(event),
                Err(error) => {
                    log::warn!("peers: A change of {kind:?} cannot be read: {error}.");
                    return;
                }
            }
        }
        self.set_applied(kind, range.until);
        self.shared.reader_role.advance_kind(kind, range.until);
        let now = self.shared.clock.now_with_suspension();
        self.peer_changes_applied_at = now;
        // The time up to which the list is current counts for the configuration only.
        self.apply_changes(kind, &events, &changes.unreadable, now);
    }
}

fn list_kind(kind: ObjectKind) -> Option<ListKind> {
    match kind {
        ObjectKind::Upstreams => Some(ListKind::Upstreams),
        ObjectKind::Evacuations => Some(ListKind::Evacuations),
        ObjectKind::Instances => Some(ListKind::Instances),
        ObjectKind::Config | ObjectKind::WarmPlaces => None,
    }
}

fn object_kind(list: ListKind) -> ObjectKind {
    match list {
        ListKind::Upstreams => ObjectKind::Upstreams,
        ListKind::Evacuations => ObjectKind::Evacuations,
        ListKind::Instances => ObjectKind::Instances,
    }
}

fn encode_event(event: &ObjectEvent) -> ChangedObject {
    let object = &event.object;
    ChangedObject {
        name: object.name.clone(),
        revision: object.position.revision,
        is_removed: event.is_removed,
        is_deletion_pending: object.is_deletion_pending,
        spec: object.spec.to_string().into_bytes(),
        status: object.status.to_string().into_bytes(),
    }
}

fn decode_event(changed: ChangedObject, era: u64) -> Result<ObjectEvent, serde_json::Error> {
    let decode = |bytes: &[u8]| serde_json::from_slice::<Value>(bytes);
    Ok(ObjectEvent {
        is_removed: changed.is_removed,
        object: StoreObject {
            spec: decode(&changed.spec)?,
            status: decode(&changed.status)?,
            name: changed.name,
            position: StorePosition {
                era,
                revision: changed.revision,
            },
            is_deletion_pending: changed.is_deletion_pending,
        },
    })
}
