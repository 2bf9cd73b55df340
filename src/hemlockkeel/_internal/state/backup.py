"""Backups of the whole state, and new clusters made from them."""

import pathlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import disk
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from hemlockkeel._internal.state import machine

# A restored cluster continues at indexes that the lost one cannot have
# reached, so that versions, incarnations and fences only grow.
RESTORE_INDEX_INCREMENT = 1_000_000_000


def make_backup(state: machine.StateMachine) -> bytes:
    """Return a checksummed copy of the state."""
    return storage.pack_record(state.encode_snapshot())


def read_backup(path: pathlib.Path) -> machine.StateMachine:
    """Read a backup file.

    :raises StorageError: when it is missing or damaged.
    """
    try:
        data = path.read_bytes()
    except OSError as fault:
        raise exceptions.StorageError(
            f"cannot read {path}: {fault.strerror}"
        ) from fault
    payload = storage.read_record(data, 0)
    if payload is None:
        raise exceptions.StorageError(
            f"{path} is not a whole backup; use another copy"
        )
    state = machine.StateMachine()
    state.restore_snapshot(payload)
    return state


def restore(
    backup_path: pathlib.Path, folder: pathlib.Path, address: str
) -> storage.Identity:
    """Make a blank folder the first member of a new cluster.

    :raises StorageError: when the folder holds a log already.
    """
    state = read_backup(backup_path)
    if (folder / storage.LOG_NAME).exists():
        raise exceptions.StorageError(
            f"{folder} holds a log already; choose a blank folder"
        )
    stored = storage.Storage(disk.FolderDisk(folder))
    identity = stored.load_identity()
    identity = storage.Identity(
        identity.member_id, "cluster-" + identity.member_id
    )
    stored.save_identity(identity)
    index = state.applied_index + RESTORE_INDEX_INCREMENT
    peer = messages.Peer(identity.member_id, address)
    meta = messages.SnapshotMeta(index, 1, messages.Membership([peer]))
    state.applied_index = index
    state.view.restore(state.view.items, index)
    data = state.encode_snapshot()
    stored.save_snapshot(
        meta, data, messages.HardState(1), log_module.Log(index, 1)
    )
    stored.close()
    return identity
