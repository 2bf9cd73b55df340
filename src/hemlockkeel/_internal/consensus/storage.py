"""Durable log and snapshot of one member in a data folder.

The files are ``identity.json`` (the member and cluster that the folder
belongs to), ``log`` (checksummed records) and ``snapshot``. A record is its
length, its CRC-32 and its payload.

Each appended record is synced on its own, so a power loss can only damage the
last one. A torn record at the end of the log is cut off when the member
starts: it was never acknowledged, since acknowledgements are sent after the
sync. An invalid record before valid ones means that the log is corrupt, and
the member refuses to start.

A snapshot is stored before the log that continues it. If the member ends
between the two, its next start finds a log without the entry that the
snapshot ends with, and replaces that log before anything is appended to it.
"""

import collections.abc
import contextlib
import os
import pathlib
import struct
import time
import typing
import uuid
import zlib

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import batches
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk as disk_module
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.utils import logs

RECORD_HEADER = struct.Struct("!II")
# Entries in one record have more bytes only if a single entry has.
MAX_RECORD_BYTES = 4 * 1024 * 1024
LOG_NAME = "log"
PROBE_NAME = "probe" + disk_module.TEMPORARY_SUFFIX
PROBE_BYTES = 4096
SNAPSHOT_NAME = "snapshot"
IDENTITY_NAME = "identity.json"


class LogBase(msgspec.Struct, frozen=True, tag=True):
    """First record of a log file: index and term before its first entry."""

    index: int
    term: int


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Record of one append: a new term or vote, new entries or both."""

    hard_state: messages.HardState | None
    entries: list[messages.Entry]


AnyRecord = LogBase | Batch | messages.HardState | messages.StoredEntries
RECORD_DECODER: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(
    AnyRecord
)


class Identity(msgspec.Struct, frozen=True):
    """Member and cluster that a data folder belongs to.

    ``cluster_id`` is empty before the member has joined a cluster.
    """

    member_id: str
    cluster_id: str = ""


class StoredSnapshot(msgspec.Struct, frozen=True):
    """Payload of the snapshot file."""

    meta: messages.SnapshotMeta
    data: bytes


def pack_record(payload: bytes) -> bytes:
    """Return a payload as a record with its length and checksum."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def read_record(stream: typing.BinaryIO, left_bytes: int) -> bytes | None:
    """Return the payload of the record at the position of a stream.

    None if the record is incomplete or its checksum does not match.
    ``left_bytes`` are left in the stream.
    """
    header = stream.read(RECORD_HEADER.size)
    if len(header) < RECORD_HEADER.size:
        return None
    size, checksum = RECORD_HEADER.unpack(header)
    if size == 0 or size > left_bytes - RECORD_HEADER.size:
        return None
    payload = stream.read(size)
    return payload if zlib.crc32(payload) == checksum else None


class RecordReader:
    """Reads the records of a stream, one at a time.

    ``end`` is the size of the stream and ``position`` the end of the last
    valid record that was read, both in bytes.
    """

    def __init__(self, stream: typing.BinaryIO) -> None:
        self.stream = stream
        self.end = stream.seek(0, os.SEEK_END)
        self.position = stream.seek(0)

    def read_all(self) -> collections.abc.Iterator[bytes]:
        """Yield the payloads of the records before a torn one.

        :raises StorageError: when an invalid record is followed by a valid
            one.
        """
        while self.position < self.end:
            payload = read_record(self.stream, self.end - self.position)
            if payload is None:
                self.check_torn_tail()
                return
            self.position += RECORD_HEADER.size + len(payload)
            yield payload

    def check_torn_tail(self) -> None:
        """Check that the invalid record at the position is the last one.

        :raises StorageError: when a valid record follows at the position that
            the length in its header leads to.
        """
        self.stream.seek(self.position)
        header = self.stream.read(RECORD_HEADER.size)
        if len(header) < RECORD_HEADER.size:
            return
        size, _ = RECORD_HEADER.unpack(header)
        following = self.position + RECORD_HEADER.size + size
        if size == 0 or following >= self.end:
            return
        self.stream.seek(following)
        if read_record(self.stream, self.end - following) is not None:
            raise exceptions.StorageError(
                f"the log is damaged at byte {self.position}; replace this "
                "member with 'hemlockkeel control replace' and a blank data "
                "folder"
            )


@contextlib.contextmanager
def report_errors(action: str) -> collections.abc.Iterator[None]:
    """Turn an error of the operating system into a `StorageError`.

    :raises StorageError: when there is one; the content of the disk is
        unknown then.
    """
    try:
        yield
    except OSError as error:
        raise disk_module.make_storage_error(
            error,
            f"cannot {action}: {error.strerror or error}; "
            "free space or replace the disk",
        ) from error


class Storage:
    """Reads and writes the files of one member.

    ``log_bytes`` is the size of the log file. ``replaced_log`` says that
    `load` found a log that the snapshot had overtaken, and replaced it.
    """

    def __init__(self, disk: disk_module.Disk) -> None:
        self.disk = disk
        self.log_bytes = 0
        self.replaced_log = False

    def load_identity(
        self, initial_identity: Identity | None = None
    ) -> Identity:
        """Return the identity stored in the folder.

        A blank folder is given the initial identity, or one with a new member
        id if there is none.

        :raises StorageError: when the identity is missing but a log exists,
            or the disk fails.
        """
        with report_errors("read the identity"):
            return self.load_or_create_identity(initial_identity)

    def load_or_create_identity(
        self, initial_identity: Identity | None
    ) -> Identity:
        """Return the identity, as `load_identity` does."""
        if self.disk.exists(IDENTITY_NAME):
            data = self.disk.read(IDENTITY_NAME)
            return msgspec.json.decode(data, type=Identity)
        if self.disk.exists(LOG_NAME):
            raise exceptions.StorageError(
                f"{IDENTITY_NAME} is missing but a log exists; restore the "
                "folder from a backup or start with a blank one"
            )
        identity = initial_identity or Identity(
            "control-" + uuid.uuid4().hex[:12]
        )
        self.save_identity(identity)
        return identity

    def save_identity(self, identity: Identity) -> None:
        """Store the identity in the folder.

        :raises StorageError: when the disk fails.
        """
        with report_errors("write the identity"):
            self.disk.replace(IDENTITY_NAME, msgspec.json.encode(identity))

    def load(self) -> core.PersistentState:
        """Recover the stored state; create the log if there is none.

        :raises StorageError: when the log or the snapshot is corrupt, or the
            disk fails.
        """
        with report_errors("read the log"):
            snapshot = self.load_snapshot()
            hard_state, log = self.load_log(snapshot)
        return core.PersistentState(hard_state, log, snapshot)

    def load_snapshot(self) -> tuple[messages.SnapshotMeta, bytes] | None:
        """Return the stored snapshot, or None if there is none.

        :raises StorageError: when its checksum does not match.
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
        """Recover the log and cut off a torn record at its end.

        The process that wrote the log may have stopped before it synced the
        last record, so the log is synced again before its content is used.

        :raises StorageError: when the log is corrupt.
        """
        replay = LogReplay(snapshot[0] if snapshot is not None else None)
        exists = self.disk.exists(LOG_NAME)
        if exists:
            with self.disk.open(LOG_NAME) as stream:
                reader = RecordReader(stream)
                for payload in reader.read_all():
                    replay.apply(RECORD_DECODER.decode(payload))
            if reader.position < reader.end:
                self.disk.truncate(LOG_NAME, reader.position)
            self.disk.sync(LOG_NAME)
            self.disk.sync_folder()
            self.log_bytes = reader.position
        replay.finish()
        self.replaced_log = exists and replay.differs_from_file
        if not exists or replay.differs_from_file:
            self.replace_log(replay.hard_state, replay.log)
        return replay.hard_state, replay.log

    def append(
        self,
        hard_state: messages.HardState | None,
        entries: list[messages.Entry],
    ) -> None:
        """Append a record and return once it is synced.

        Entries that are large together are appended in several records, each
        synced before the next. What a power loss leaves of them is valid: the
        term and vote come first, and entries before the last need no others.

        :raises StorageError: when writing or syncing fails; the member must
            then stop, since the content of the disk is unknown.
        """
        if hard_state is None and not entries:
            return
        first, *others = split_entries(entries) or [[]]
        self.append_batch(Batch(hard_state, first))
        for part in others:
            self.append_batch(Batch(None, part))

    def append_batch(self, batch: Batch) -> None:
        """Append one record and sync it.

        :raises StorageError: when writing or syncing fails.
        """
        self.write_and_sync(pack_record(msgspec.msgpack.encode(batch)))

    def write_and_sync(self, data: bytes) -> None:
        """Append bytes to the log file and sync it.

        :raises StorageError: when writing or syncing fails.
        """
        with report_errors("write the log"):
            self.disk.append(LOG_NAME, data)
            self.disk.sync(LOG_NAME)
        self.log_bytes += len(data)

    def save_snapshot(
        self,
        meta: messages.SnapshotMeta,
        data: bytes,
        hard_state: messages.HardState,
        log: log_module.Log,
    ) -> None:
        """Store a snapshot, then replace the log by the given one.

        The log no longer needs the entries that the snapshot covers.

        :raises StorageError: when writing or syncing fails.
        """
        payload = msgspec.msgpack.encode(StoredSnapshot(meta, data))
        with report_errors("write a snapshot"):
            self.disk.replace(SNAPSHOT_NAME, pack_record(payload))
            self.replace_log(hard_state, log)

    def reload(self) -> core.PersistentState:
        """Recover the state after a write has failed.

        The log is written anew: after a failed sync, the operating system may
        hold content of the file that the disk does not.

        :raises StorageError: when the disk still fails.
        """
        self.disk.close()
        with report_errors("write to the disk"):
            self.disk.write(PROBE_NAME, bytes(PROBE_BYTES))
            self.disk.sync(PROBE_NAME)
            self.disk.write(PROBE_NAME, b"")
        saved = self.load()
        with report_errors("write the log"):
            self.replace_log(saved.hard_state, saved.log)
        return saved

    def replace_log(
        self, hard_state: messages.HardState, log: log_module.Log
    ) -> None:
        """Replace the log file atomically."""
        self.log_bytes = 0
        self.disk.replace_in_parts(
            LOG_NAME, self.write_records(hard_state, log)
        )

    def write_records(
        self, hard_state: messages.HardState, log: log_module.Log
    ) -> collections.abc.Iterator[bytes]:
        """Yield the records of a new log file and count their bytes."""
        records: list[AnyRecord] = [
            LogBase(log.base_index, log.base_term),
            hard_state,
            *map(messages.StoredEntries, split_entries(log.entries)),
        ]
        for record in records:
            data = pack_record(msgspec.msgpack.encode(record))
            self.log_bytes += len(data)
            yield data

    def close(self) -> None:
        """Close open files."""
        self.disk.close()


def open_when_writable(
    folder: pathlib.Path, founder: Identity | None, retry_interval_s: float
) -> tuple[Storage, Identity, core.PersistentState]:
    """Open a folder and load what it holds; wait while its disk is full.

    A member that ended for want of space would have to be started again.

    :raises StorageError: when the folder cannot be read, or cannot be written
        for another reason.
    """
    while True:
        try:
            return open_folder(folder, founder)
        except exceptions.DiskFullError as error:
            logs.log_error("control_disk_full", reason=error)
            time.sleep(retry_interval_s)


def open_folder(
    folder: pathlib.Path, founder: Identity | None
) -> tuple[Storage, Identity, core.PersistentState]:
    """Open a folder and load what it holds.

    :raises StorageError: when the folder cannot be read or written.
    """
    opened = Storage(disk_module.FolderDisk(folder))
    try:
        return opened, opened.load_identity(founder), opened.load()
    except exceptions.StorageError:
        opened.close()
        raise


def split_entries(
    entries: list[messages.Entry],
) -> list[list[messages.Entry]]:
    """Return entries in the parts that records hold."""
    return batches.split(
        entries, lambda entry: len(entry.data), MAX_RECORD_BYTES
    )


def get_hard_state(record: AnyRecord) -> messages.HardState | None:
    """Return the hard state in a record, or None if it has none."""
    if isinstance(record, messages.HardState):
        return record
    return record.hard_state if isinstance(record, Batch) else None


def contains_snapshot_end(
    log: log_module.Log, meta: messages.SnapshotMeta
) -> bool:
    """Return whether a log contains the last entry of a snapshot."""
    return log.get_term(meta.index) == meta.term


class LogReplay:
    """The log and hard state that stored records and a snapshot lead to.

    ``meta`` is that of the stored snapshot, None if there is none.
    ``differs_from_file`` says that later records must not be appended to the
    file that the records were read from.
    """

    def __init__(self, meta: messages.SnapshotMeta | None) -> None:
        self.meta = meta
        self.hard_state = messages.HardState(0)
        self.log = log_module.Log()
        self.differs_from_file = False

    def apply(self, record: AnyRecord) -> None:
        """Apply the next record.

        :raises InvariantError: when entries before it are missing.
        """
        self.hard_state = get_hard_state(record) or self.hard_state
        match record:
            case LogBase(index, term):
                self.log = log_module.Log(index, term)
            case Batch(entries=entries) | messages.StoredEntries(entries):
                for entry in entries:
                    self.apply_entry(entry)

    def apply_entry(self, entry: messages.Entry) -> None:
        """Append an entry in place of those from its index on."""
        if entry.index <= self.log.base_index:
            return
        if self.meta is not None and entry.index > self.log.last_index + 1:
            # Versions that kept a log which lacks the end of the snapshot
            # appended to it what follows the snapshot.
            self.differs_from_file = True
            if entry.index <= self.meta.index:
                return
            self.log = log_module.Log(self.meta.index, self.meta.term)
        if entry.index <= self.log.last_index:
            self.log.truncate(entry.index)
        self.log.append(entry)

    def finish(self) -> None:
        """Let the log follow the snapshot if it lacks the snapshot's end.

        Its entries belong to a branch that was never committed, except for
        those of the snapshot's term or later: versions that did not replace
        such a log appended them after the snapshot.
        """
        if self.meta is None or contains_snapshot_end(self.log, self.meta):
            return
        index, term = self.meta.index, self.meta.term
        following = [
            entry for entry in self.log.entries if entry.index > index
        ]
        if following and following[0].term < term:
            following = []
        self.log = log_module.Log(index, term, following)
        if self.hard_state.term < term:
            self.hard_state = messages.HardState(term)
        self.differs_from_file = True
