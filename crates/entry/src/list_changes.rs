//! Passes the changes of the store's lists on to the other instances, so that few instances call the store.
//!
//! Load pattern: upstreams of a large pool are replaced one after the other, and each change would make every instance of
//! the fleet call the store.

use std::ops::Range;

use coltsfootkeel_adapter::{ObjectEvent, ObjectKind, StoreObject};
use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_protocol::{ChangedObject, ListChanges, ListKind};
use prost::Message;
use serde_json::Value;

use crate::control_loop::ControlLoop;

/// The most bytes of changes in a heartbeat. The other instances read larger changes from the store.
const MAX_CHANGE_BYTES: usize = 16 * 1024;

impl ControlLoop {
    fn set_applied(&mut self, kind: ObjectKind, revision: u64) {
        self.applied.set(kind, revision);
        self.shared.reader_role.set_applied(self.applied);
    }

    /// Records the revision of a complete list that is about to be applied. Returns false for a list that was requested
    /// before later changes of another instance were applied. One that was requested afterwards and is older comes from a
    /// store that was restored to an earlier state.
    pub(crate) fn reset_applied(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        requested_at: MonotonicTime,
    ) -> bool {
        if revision < self.applied.of(kind) && requested_at < self.peer_changes_applied_at {
            return false;
        }
        self.set_applied(kind, revision);
        true
    }

    /// Records the revision of changes that are about to be applied. Returns false for changes of a list that are known
    /// already: applied again, they would undo later ones.
    pub(crate) fn advance_applied(&mut self, kind: ObjectKind, revision: u64) -> bool {
        if list_kind(kind).is_none() {
            return true;
        }
        if revision < self.applied.of(kind) {
            return false;
        }
        self.set_applied(kind, revision);
        true
    }

    /// Adds changes that this instance has watched to its next heartbeats.
    pub(crate) fn report_changes(
        &mut self,
        kind: ObjectKind,
        events: &[ObjectEvent],
        unreadable: &[String],
        revisions: Range<u64>,
    ) {
        let Some(list) = list_kind(kind) else {
            return;
        };
        let changes = ListChanges {
            list: list.into(),
            since: revisions.start,
            revision: revisions.end,
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
        let applied = self.applied.of(kind);
        if applied == 0 || changes.since > applied || changes.revision <= applied {
            return;
        }
        let mut events = Vec::new();
        for object in changes.objects {
            match decode_event(object) {
                Ok(event) => events.push(event),
                Err(error) => {
                    log::warn!("peers: A change of {kind:?} cannot be read: {error}.");
                    return;
                }
            }
        }
        self.set_applied(kind, changes.revision);
        self.shared.reader_role.advance_kind(kind, changes.revision);
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
        revision: object.revision,
        is_removed: event.is_removed,
        is_deletion_pending: object.is_deletion_pending,
        spec: object.spec.to_string().into_bytes(),
        status: object.status.to_string().into_bytes(),
    }
}

fn decode_event(changed: ChangedObject) -> Result<ObjectEvent, serde_json::Error> {
    let decode = |bytes: &[u8]| serde_json::from_slice::<Value>(bytes);
    Ok(ObjectEvent {
        is_removed: changed.is_removed,
        object: StoreObject {
            spec: decode(&changed.spec)?,
            status: decode(&changed.status)?,
            name: changed.name,
            revision: changed.revision,
            is_deletion_pending: changed.is_deletion_pending,
        },
    })
}
