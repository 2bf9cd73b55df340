"""A disk in memory that loses power at any step, in any allowed way."""

import collections.abc
import copy
import dataclasses
import itertools

from hemlockkeel._internal.consensus import disk


class PowerLossError(Exception):
    """The process ended here."""


@dataclasses.dataclass
class File:
    """A file's synced content, and what was written since."""

    synced: bytes = b""
    # Contents after each unsynced write, the newest last.
    pending: list[bytes] = dataclasses.field(default_factory=list)

    @property
    def content(self) -> bytes:
        """Return what a process reads."""
        return self.pending[-1] if self.pending else self.synced

    def list_crash_contents(self) -> collections.abc.Iterator[bytes]:
        """Return what may be left after a loss of power."""
        yield self.synced
        before = self.synced
        for after in self.pending:
            yield after
            yield from list_torn_writes(before, after)
            before = after


def list_torn_writes(
    before: bytes, after: bytes
) -> collections.abc.Iterator[bytes]:
    """Return half-done writes: cut off, or with a hole where blocks lack."""
    if before.startswith(after):
        # Cutting a file off writes no bytes.
        return
    same = len(before) if after.startswith(before) else 0
    size = len(after) - same
    for share in (1, size // 3, size // 2, size - 1):
        if 0 < share < size:
            yield after[: same + share]
            yield after[:same] + bytes(share) + after[same + share :]


@dataclasses.dataclass
class DiskState:
    """Files by number, names as they last, and changes since."""

    files: dict[int, File] = dataclasses.field(default_factory=dict)
    names: dict[str, int] = dataclasses.field(default_factory=dict)
    # Names made or renamed that are not synced: (new, old or empty, file).
    changes: list[tuple[str, str, int]] = dataclasses.field(
        default_factory=list
    )

    def get_names(self) -> dict[str, int]:
        """Return the names that a process sees."""
        return apply_changes(self.names, self.changes)

    def list_crash_states(self) -> collections.abc.Iterator["DiskState"]:
        """Return every state that a loss of power may leave."""
        for kept in itertools.product((True, False), repeat=len(self.changes)):
            changes = list(itertools.compress(self.changes, kept))
            names = apply_changes(self.names, changes)
            numbers = sorted(set(names.values()))
            remains = [
                list(self.files[n].list_crash_contents()) for n in numbers
            ]
            for contents in itertools.product(*remains):
                files = {
                    number: File(content)
                    for number, content in zip(numbers, contents, strict=True)
                }
                yield DiskState(files, names)


def apply_changes(
    names: dict[str, int], changes: list[tuple[str, str, int]]
) -> dict[str, int]:
    """Return the names after some changes."""
    changed = dict(names)
    for new, old, number in changes:
        if old:
            changed.pop(old, None)
        changed[new] = number
    return changed


class CrashingDisk(disk.Disk):
    """Counts its steps and loses power before one of them."""

    def __init__(self, state: DiskState | None = None) -> None:
        self.state = copy.deepcopy(state) if state else DiskState()
        self.step_count = 0
        self.power_loss_at_step = -1

    def count_step(self) -> None:
        """Go on, or end here."""
        if self.step_count == self.power_loss_at_step:
            raise PowerLossError
        self.step_count += 1

    def get_file(self, name: str) -> File:
        """Return a file that exists."""
        return self.state.files[self.state.get_names()[name]]

    def exists(self, name: str) -> bool:
        return name in self.state.get_names()

    def read(self, name: str) -> bytes:
        return self.get_file(name).content

    def write(self, name: str, data: bytes) -> None:
        self.count_step()
        if not self.exists(name):
            number = len(self.state.files)
            self.state.files[number] = File()
            self.state.changes.append((name, "", number))
        self.get_file(name).pending.append(data)

    def append(self, name: str, data: bytes) -> None:
        self.count_step()
        found = self.get_file(name)
        found.pending.append(found.content + data)

    def truncate(self, name: str, size: int) -> None:
        self.count_step()
        found = self.get_file(name)
        found.pending.append(found.content[:size])

    def sync(self, name: str) -> None:
        self.count_step()
        found = self.get_file(name)
        found.synced = found.content
        found.pending.clear()

    def rename(self, old: str, new: str) -> None:
        self.count_step()
        self.state.changes.append((new, old, self.state.get_names()[old]))

    def sync_folder(self) -> None:
        self.count_step()
        self.state.names = self.state.get_names()
        self.state.changes.clear()

    def close(self) -> None:
        return
