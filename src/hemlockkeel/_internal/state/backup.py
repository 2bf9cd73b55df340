"""Writes backups of the whole state and restores them to a new cluster."""

import pathlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import disk
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from hemlockkeel._internal.state import machine

# Added to a backup's log index on restore, so that the new cluster starts
# beyond any index that the lost one can have reached. Versions, incarnations
# and fences are derived from the index and must only ever grow.
RESTORE_INDEX_INCREMENT = 1_000_000_000


def make_backup(state: machine.StateMachine) -> bytes:
    """Return the encoded state with a checksum."""
    return storage.pack_record(state.encode_snapshot())


def read_backup(path: pathlib.Path) -> machine.StateMachine:
    """Decode a backup file.

    :raises StorageError: when the file cannot be read or is corrupt.
    """
    try:
        with path.open("rb") as stream:
            payload = storage.read_record(stream, path.stat().st_size)
    except OSError as error:
        raise exceptions.StorageError(
            f"cannot read {path}: {error.strerror}"
        ) from error
    if payload is None:
        raise exceptions.StorageError(
            f"{path} is truncated or corrupt; use another copy of the backup"
        )
    state = machine.StateMachine()
    state.restore_snapshot(payload)
    return state


def restore(
    backup_path: pathlib.Path, folder: pathlib.Path, address: str
) -> storage.Identity:
    """Create the first member of a new cluster from a backup.

    ``folder`` becomes the member's data folder; ``address`` is where its
    peers will reach it. The cluster gets an id of its own.

    :raises StorageError: when the backup cannot be read or the folder
        already contains a log.
    """
    state = read_backup(backup_path)
    if (folder / storage.LOG_NAME).exists():
        raise exceptions.StorageError(
            f"{folder} already contains a log; choose an empty folder"
        )
    member_storage = storage.Storage(disk.FolderDisk(folder))
    identity = member_storage.load_identity()
    identity = storage.Identity(
        identity.member_id, "cluster-" + identity.member_id
    )
    member_storage.save_identity(identity)
    index = state.applied_index + RESTORE_INDEX_INCREMENT
    peer = messages.Peer(identity.member_id, address)
    meta = messages.SnapshotMeta(index, 1, messages.Membership([peer]))
    state.applied_index = index
    state.view.restore(state.view.items, index)
    data = state.encode_snapshot()
    member_storage.save_snapshot(
        meta, data, messages.HardState(1), log_module.Log(index, 1)
    )
    member_storage.close()
    return identity
