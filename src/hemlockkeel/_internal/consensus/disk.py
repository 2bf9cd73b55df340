"""Access to the files of a folder with explicit syncs.

Only what was synced is guaranteed to survive a power loss. Each write after a
file's last sync may be complete, missing or torn. A file that was created or
renamed keeps its new name for certain only once the folder is synced.
"""

import abc
import collections.abc
import contextlib
import errno
import os
import pathlib
import typing

from hemlockkeel._internal import exceptions

TEMPORARY_SUFFIX = ".new"
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


def make_storage_error(
    error: OSError, message: str
) -> exceptions.StorageError:
    """Return the exception for an error of the operating system."""
    if error.errno in FULL_ERRORS:
        return exceptions.DiskFullError(message)
    return exceptions.StorageError(message)


class Disk(abc.ABC):
    """Files in a folder.

    Methods raise OSError when the operating system reports an error.
    """

    @abc.abstractmethod
    def exists(self, name: str) -> bool:
        """Return whether a file exists."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abc.abstractmethod
    def open(self, name: str) -> typing.BinaryIO:
        """Return the content of a file as a stream to read from."""

    @abc.abstractmethod
    def write(self, name: str, data: bytes) -> None:
        """Create or overwrite a file without syncing it."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file without syncing it."""

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes without syncing it."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file without syncing the folder."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Make the creation and renaming of files durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close open files."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and durably.

        After a power loss, the file is complete with the old or new content.
        """
        self.replace_in_parts(name, [data])

    def replace_in_parts(
        self, name: str, parts: collections.abc.Iterable[bytes]
    ) -> None:
        """Replace a file as `replace` does; write its content in parts."""
        temporary = name + TEMPORARY_SUFFIX
        self.write(temporary, b"")
        for part in parts:
            self.append(temporary, part)
        self.sync(temporary)
        self.rename(temporary, name)
        self.sync_folder()


class FolderDisk(Disk):
    """A folder in the file system; files that are appended to stay open."""

    def __init__(
        self,
        folder: pathlib.Path,
        advice: str = "choose another with --data-dir",
    ) -> None:
        """Create the folder and check that files can be written to it.

        ``advice`` completes the error message for the operator.

        :raises StorageError: when files cannot be written, `DiskFullError` if
            only for want of space.
        """
        self.folder = folder
        self.descriptors: dict[str, int] = {}
        try:
            folder.mkdir(parents=True, exist_ok=True)
            probe = folder / ("probe" + TEMPORARY_SUFFIX)
            probe.write_bytes(b"")
            probe.unlink()
        except OSError as error:
            raise make_storage_error(
                error,
                f"folder {folder} cannot be written: "
                f"{error.strerror}; {advice}",
            ) from error

    def exists(self, name: str) -> bool:
        return (self.folder / name).exists()

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def open(self, name: str) -> typing.BinaryIO:
        return (self.folder / name).open("rb")

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
        """Return a descriptor that appends to a file; create the file."""
        if name not in self.descriptors:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, 0o644)
        return self.descriptors[name]

    def close_file(self, name: str) -> None:
        """Close a file's descriptor, if it is open."""
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            # An error is harmless: content that has to be durable was synced.
            with contextlib.suppress(OSError):
                os.close(descriptor)
