"""The committed configuration and the versions of its items."""

import collections

from hemlockkeel._internal.models import items
from hemlockkeel._internal.state import conflicts
from hemlockkeel._internal.state import validation


class ConfigState:
    """Configuration items, with the version that last wrote each.

    Counts that are derived from the items are updated with each write.
    """

    def __init__(self, conflict_rule: conflicts.ConflictRule) -> None:
        self.conflict_rule = conflict_rule
        self.items: dict[str, bytes] = {}
        self.item_versions: dict[str, int] = {}
        self.version = 0
        # Number of adapters bound to each (layer, deployment). Validation
        # uses it to refuse the deletion of a deployment that is in use
        # without reading every binding.
        self.binding_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Number of items in each layer.
        self.layer_sizes: collections.Counter[str] = collections.Counter()

    def find_conflicts(
        self, writes: list[items.Write], reads: list[str], read_version: int
    ) -> list[str]:
        """Return keys that conflict with changes since ``read_version``."""
        keys = [write.key for write in writes] + reads
        return self.conflict_rule.find_conflicts(
            keys, read_version, self.version, self.item_versions
        )

    def find_errors(self, writes: list[items.Write]) -> list[str]:
        """Return why the configuration would be invalid after a change."""
        proposed = validation.ProposedConfig(
            self.items, self.binding_counts, self.layer_sizes, writes
        )
        return validation.find_errors(proposed)

    def commit(self, writes: list[items.Write], version: int) -> None:
        """Write items and set the configuration version."""
        for write in writes:
            self.decrement_counts(write.key)
            if write.value is None:
                self.items.pop(write.key, None)
            else:
                self.items[write.key] = write.value
                self.increment_counts(write.key, write.value)
            self.item_versions[write.key] = version
        self.version = version

    def increment_counts(self, key: str, value: bytes) -> None:
        """Add an item to the counts."""
        layer, kind, _ = key.split(items.SEPARATOR, 2)
        self.layer_sizes[layer] += 1
        if kind == items.Kind.ADAPTER.value:
            self.binding_counts[
                layer, validation.get_bound_deployment(value)
            ] += 1

    def decrement_counts(self, key: str) -> None:
        """Remove the stored item of a key from the counts, if there is one."""
        value = self.items.get(key)
        if value is None:
            return
        layer, kind, _ = key.split(items.SEPARATOR, 2)
        self.layer_sizes[layer] -= 1
        if kind == items.Kind.ADAPTER.value:
            self.binding_counts[
                layer, validation.get_bound_deployment(value)
            ] -= 1

    def restore(
        self,
        stored: dict[str, bytes],
        item_versions: dict[str, int],
        version: int,
    ) -> None:
        """Replace the whole configuration with that of a snapshot."""
        self.items = stored
        self.item_versions = item_versions
        self.version = version
        self.binding_counts.clear()
        self.layer_sizes.clear()
        for key, value in stored.items():
            self.increment_counts(key, value)
