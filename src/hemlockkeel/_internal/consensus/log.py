"""In-memory log of one member, without the entries that were compacted."""

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import messages


class Log:
    """The entries after ``base_index``.

    ``base_index`` and ``base_term`` are those of the last entry that was
    compacted into a snapshot, 0 if there is none.
    """

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: list[messages.Entry] | None = None,
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries or [])

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def get_term(self, index: int) -> int | None:
        """Return the term of the entry at an index; None if not in the log."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def get(self, index: int) -> messages.Entry:
        """Return the entry at an index, which must be in the log."""
        return self.entries[index - self.base_index - 1]

    def slice(self, after: int, limit: int) -> list[messages.Entry]:
        """Return at most ``limit`` entries after an index."""
        start = after - self.base_index
        return self.entries[start : start + limit]

    def slice_bytes(
        self, after: int, limit: int, max_bytes: int
    ) -> list[messages.Entry]:
        """Return at most ``limit`` entries after an index, as `slice` does.

        Their data has at most ``max_bytes`` bytes, unless the first entry has
        more: then it is the only one.
        """
        entries = self.slice(after, limit)
        total = 0
        for count, entry in enumerate(entries):
            total += len(entry.data)
            if count and total > max_bytes:
                return entries[:count]
        return entries

    def count_trailing(self, index: int, limit: int, max_bytes: int) -> int:
        """Return how many entries up to an index fit in two limits.

        These are ``limit`` entries and ``max_bytes`` bytes of data.
        """
        end = index - self.base_index
        count = 0
        for entry in reversed(self.entries[max(0, end - limit) : end]):
            max_bytes -= len(entry.data)
            if max_bytes < 0:
                break
            count += 1
        return count

    def count_bytes(self, after: int) -> int:
        """Return the bytes of data in the entries after an index."""
        kept = self.entries[max(0, after - self.base_index) :]
        return sum(len(entry.data) for entry in kept)

    def append(self, entry: messages.Entry) -> None:
        """Append an entry.

        :raises InvariantError: when it does not follow the last entry.
        """
        exceptions.require(
            entry.index == self.last_index + 1,
            "log entry %d appended after entry %d",
            entry.index,
            self.last_index,
        )
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entries at and after an index."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including an index.

        Does nothing if they have been removed already.

        :raises InvariantError: when the index is after the last entry.
        """
        if index <= self.base_index:
            return
        term = self.get_term(index)
        exceptions.require(
            term is not None,
            "log compacted up to %d, but it ends at %d",
            index,
            self.last_index,
        )
        assert term is not None
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries and continue after a snapshot."""
        self.entries = []
        self.base_index = index
        self.base_term = term
