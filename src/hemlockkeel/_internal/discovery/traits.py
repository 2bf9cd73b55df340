"""What a request has that may crash the targets that run it.

The trait of its own is its content: a repeated request is recognised by it.
Shared traits are those that different requests have in common.
"""

import dataclasses

from hemlockkeel._internal.models import ids

# In the names of shared traits; a content is a digest in hexadecimal.
SHARED_SEPARATOR = ":"
PART_PREFIX = "part:"
ADAPTER_PREFIX = "adapter:"


def make_part(part_id: str) -> ids.Trait:
    """Return the trait of having a certain part in the prompt."""
    return ids.Trait(PART_PREFIX + part_id)


def make_adapter(model: str, adapter: str) -> ids.Trait:
    """Return the trait of using a certain adapter, in any version."""
    return ids.Trait(f"{ADAPTER_PREFIX}{model}/{adapter}")


def is_shared(trait: ids.Trait) -> bool:
    """Return whether different requests can have a trait in common."""
    return SHARED_SEPARATOR in trait


@dataclasses.dataclass(frozen=True)
class RequestTraits:
    """The traits of one request."""

    content: ids.Trait
    shared: tuple[ids.Trait, ...] = ()

    @property
    def all(self) -> tuple[ids.Trait, ...]:
        """Return the content, then the shared traits."""
        return (self.content, *self.shared)


def make_traits(
    content: ids.ContentDigest,
    shared_parts: tuple[str, ...],
    model: str = "",
    adapter: str = "",
) -> RequestTraits:
    """Return the traits of a request; each part counts once."""
    shared = [make_part(part) for part in dict.fromkeys(shared_parts)]
    if adapter:
        shared.append(make_adapter(model, adapter))
    return RequestTraits(ids.Trait(content), tuple(shared))
