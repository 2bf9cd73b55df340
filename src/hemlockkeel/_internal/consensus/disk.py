"""Files of one folder, and when what was written lasts.

After a loss of power, a file holds what its last sync covered; each later
write may be there, missing or torn. A name that was made or renamed lasts
once the folder is synced.
"""

import abc
import contextlib
import os
import pathlib

from hemlockkeel._internal import exceptions

TEMPORARY_SUFFIX = ".new"


class Disk(abc.ABC):
    """A folder of files."""

    @abc.abstractmethod
    def exists(self, name: str) -> bool:
        """Tell whether a file is there."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return a file's content."""

    @abc.abstractmethod
    def write(self, name: str, data: bytes) -> None:
        """Make a file with a content, without a sync."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, without a sync."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file off, without a sync."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Let a file's content last."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file, without a sync of the folder."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Let the names of files last."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close open files."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file so that either the old or the new one is whole."""
        temporary = name + TEMPORARY_SUFFIX
        self.write(temporary, data)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_folder()


class FolderDisk(Disk):
    """A folder of the file system; files that are appended to stay open."""

    def __init__(
        self,
        folder: pathlib.Path,
        advice: str = "choose another with --data-dir",
    ) -> None:
        """Create the folder and check that it can be written.

        :raises StorageError: when it cannot.
        """
        self.folder = folder
        self.descriptors: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            probe = folder / ("probe" + TEMPORARY_SUFFIX)
            probe.write_bytes(b"")
            probe.unlink()
        except OSError as fault:
            raise exceptions.StorageError(
                f"folder {folder} cannot be written: "
                f"{fault.strerror}; {advice}"
            ) from fault

    def exists(self, name: str) -> bool:
        return (self.folder / name).exists()

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        self.close_file(name)
        (self.folder / name).write_bytes(data)

    def append(self, name: str, data: bytes) -> None:
        descriptor = self.open_file(name)
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self.open_file(name), size)

    def sync(self, name: str) -> None:
        os.fsync(self.open_file(name))

    def rename(self, old: str, new: str) -> None:
        self.close_file(old)
        self.close_file(new)
        (self.folder / old).replace(self.folder / new)

    def sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self.descriptors):
            self.close_file(name)

    def open_file(self, name: str) -> int:
        """Return a descriptor of a file that writes at its end."""
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, 0o644)
        return self.descriptors[name]

    def close_file(self, name: str) -> None:
        """Close a file that is about to be another one."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            # Its content was synced where it has to last.
            with contextlib.suppress(OSError):
                os.close(descriptor)
