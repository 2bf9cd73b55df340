"""Durable log and snapshot of one member, under one data folder.

Files: ``identity.json`` (who this disk is), ``log`` (checksummed records)
and ``snapshot``. A record is its length, its CRC-32 and its bytes. Each sync
covers one record, so that a loss of power can harm only the last one. A torn
record at the end of the log is cut off on start: it was never acknowledged,
since acknowledgements follow the sync. A bad record before good ones is
damage, and the member refuses to start.
"""

import struct
import uuid
import zlib

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk as disk_module
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages

RECORD_HEADER = struct.Struct("!II")
MAX_RECORD_BYTES = 64 * 1024 * 1024
LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity.json"


class LogBase(msgspec.Struct, frozen=True, tag=True):
    """First record of a log file: where its entries start."""

    index: int
    term: int


class Batch(msgspec.Struct, frozen=True, tag=True):
    """What is made durable by one sync."""

    hard_state: messages.HardState | None
    entries: list[messages.Entry]


AnyRecord = LogBase | Batch | messages.HardState | messages.StoredEntries
RECORD_DECODER: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(
    AnyRecord
)


class Identity(msgspec.Struct, frozen=True):
    """Who a data folder belongs to; a blank disk gets a new identity."""

    member_id: str
    cluster_id: str = ""


class StoredSnapshot(msgspec.Struct, frozen=True):
    """Content of the snapshot file."""

    meta: messages.SnapshotMeta
    data: bytes


def pack_record(payload: bytes) -> bytes:
    """Return a record with its length and checksum."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def unpack_records(data: bytes) -> tuple[list[bytes], int]:
    """Return the good records and the length of the good part.

    :raises StorageError: when a bad record has good ones after it.
    """
    records: list[bytes] = []
    position = 0
    while position < len(data):
        payload = read_record(data, position)
        if payload is None:
            check_torn_tail(data, position)
            break
        records.append(payload)
        position += RECORD_HEADER.size + len(payload)
    return records, position


def read_record(data: bytes, position: int) -> bytes | None:
    """Return the record at a position; None when it is not whole."""
    start = position + RECORD_HEADER.size
    if start > len(data):
        return None
    size, checksum = RECORD_HEADER.unpack_from(data, position)
    payload = data[start : start + size]
    if size > MAX_RECORD_BYTES or len(payload) < size or size == 0:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def check_torn_tail(data: bytes, position: int) -> None:
    """Require that a bad record is the last thing in the log.

    :raises StorageError: when the record is whole but damaged and another
        good record follows it.
    """
    if position + RECORD_HEADER.size > len(data):
        return
    size, _ = RECORD_HEADER.unpack_from(data, position)
    following = position + RECORD_HEADER.size + size
    if size == 0 or following >= len(data):
        return
    if read_record(data, following) is not None:
        raise exceptions.StorageError(
            f"the log is damaged at byte {position}; replace this member "
            "with 'hemlockkeel control replace' and a blank data folder"
        )


class Storage:
    """One member's files."""

    def __init__(self, disk: disk_module.Disk) -> None:
        self.disk = disk
        self.log_bytes = 0

    @property
    def is_blank(self) -> bool:
        """Tell whether the folder belongs to nobody yet."""
        return not self.disk.exists(IDENTITY_NAME)

    def load_identity(self, founder: Identity | None = None) -> Identity:
        """Return this disk's identity.

        A blank disk gets the founder's, if there is one, or a new one.
        """
        if self.disk.exists(IDENTITY_NAME):
            data = self.disk.read(IDENTITY_NAME)
            return msgspec.json.decode(data, type=Identity)
        if self.disk.exists(LOG_NAME):
            raise exceptions.StorageError(
                f"{IDENTITY_NAME} is missing but a log exists; restore the "
                "folder from a backup or start with a blank one"
            )
        identity = founder or Identity("control-" + uuid.uuid4().hex[:12])
        self.save_identity(identity)
        return identity

    def save_identity(self, identity: Identity) -> None:
        """Store this disk's identity."""
        self.disk.replace(IDENTITY_NAME, msgspec.json.encode(identity))

    def load(self) -> core.PersistentState:
        """Recover the stored state and open the log for appending."""
        snapshot = self.load_snapshot()
        hard_state, log = self.load_log(snapshot)
        return core.PersistentState(hard_state, log, snapshot)

    def load_snapshot(self) -> tuple[messages.SnapshotMeta, bytes] | None:
        """Return the stored snapshot.

        :raises StorageError: when its checksum is wrong.
        """
        if not self.disk.exists(SNAPSHOT_NAME):
            return None
        data = self.disk.read(SNAPSHOT_NAME)
        size, checksum = RECORD_HEADER.unpack_from(data, 0)
        payload = data[RECORD_HEADER.size :]
        if len(payload) != size or zlib.crc32(payload) != checksum:
            raise exceptions.StorageError(
                f"{SNAPSHOT_NAME} is damaged; replace this member with "
                "'hemlockkeel control replace' and a blank data folder"
            )
        stored = msgspec.msgpack.decode(payload, type=StoredSnapshot)
        return stored.meta, stored.data

    def load_log(
        self, snapshot: tuple[messages.SnapshotMeta, bytes] | None
    ) -> tuple[messages.HardState, log_module.Log]:
        """Recover the log and cut off a torn end.

        What is read may not have been synced when its writer ended; it is
        before anything follows from it.
        """
        hard_state = messages.HardState(0)
        log = log_module.Log()
        if self.disk.exists(LOG_NAME):
            data = self.disk.read(LOG_NAME)
            payloads, good = unpack_records(data)
            for payload in payloads:
                record = RECORD_DECODER.decode(payload)
                hard_state = get_hard_state(record) or hard_state
                log = replay_record(log, record)
            if good < len(data):
                self.disk.truncate(LOG_NAME, good)
            self.disk.sync(LOG_NAME)
            self.disk.sync_folder()
            self.log_bytes = good
        if snapshot is not None and not contains_snapshot_end(
            log, snapshot[0]
        ):
            # The process stopped between an install and its new log.
            log = log_module.Log(snapshot[0].index, snapshot[0].term)
        if not self.disk.exists(LOG_NAME):
            self.replace_log(hard_state, log)
        return hard_state, log

    def append(
        self,
        hard_state: messages.HardState | None,
        entries: list[messages.Entry],
    ) -> None:
        """Append and sync records; return only once they last.

        :raises StorageError: when writing or syncing fails; the member
            must then stop, since what is on disk is unknown.
        """
        if hard_state is None and not entries:
            return
        batch = Batch(hard_state, entries)
        self.write_and_sync(pack_record(msgspec.msgpack.encode(batch)))

    def write_and_sync(self, data: bytes) -> None:
        """Write bytes at the end of the log and sync them."""
        try:
            self.disk.append(LOG_NAME, data)
            self.disk.sync(LOG_NAME)
        except OSError as fault:
            raise exceptions.StorageError(
                f"cannot write the log: {fault.strerror}; "
                "free space or replace the disk, then start again"
            ) from fault
        self.log_bytes += len(data)

    def save_snapshot(
        self,
        meta: messages.SnapshotMeta,
        data: bytes,
        hard_state: messages.HardState,
        log: log_module.Log,
    ) -> None:
        """Store a snapshot, then a log without the compacted entries.

        :raises StorageError: when writing fails.
        """
        payload = msgspec.msgpack.encode(StoredSnapshot(meta, data))
        try:
            self.disk.replace(SNAPSHOT_NAME, pack_record(payload))
            self.replace_log(hard_state, log)
        except OSError as fault:
            raise exceptions.StorageError(
                f"cannot write a snapshot: {fault.strerror}"
            ) from fault

    def replace_log(
        self, hard_state: messages.HardState, log: log_module.Log
    ) -> None:
        """Replace the log file."""
        base = LogBase(log.base_index, log.base_term)
        data = pack_record(msgspec.msgpack.encode(base))
        data += pack_record(msgspec.msgpack.encode(hard_state))
        if log.entries:
            stored = messages.StoredEntries(log.entries)
            data += pack_record(msgspec.msgpack.encode(stored))
        self.disk.replace(LOG_NAME, data)
        self.log_bytes = len(data)

    def close(self) -> None:
        """Close the log."""
        self.disk.close()


def get_hard_state(record: AnyRecord) -> messages.HardState | None:
    """Return the hard state in a record, if there is one."""
    if isinstance(record, messages.HardState):
        return record
    return record.hard_state if isinstance(record, Batch) else None


def contains_snapshot_end(
    log: log_module.Log, meta: messages.SnapshotMeta
) -> bool:
    """Tell whether a log holds the entry that a snapshot ends with."""
    return log.get_term(meta.index) == meta.term


def replay_record(log: log_module.Log, record: AnyRecord) -> log_module.Log:
    """Apply a stored record to the log read so far."""
    if isinstance(record, LogBase):
        return log_module.Log(record.index, record.term)
    if isinstance(record, messages.HardState):
        return log
    for entry in record.entries:
        if entry.index <= log.base_index:
            continue
        if entry.index <= log.last_index:
            log.truncate(entry.index)
        log.append(entry)
    return log
