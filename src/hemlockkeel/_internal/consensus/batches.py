"""Groups messages into batches of a bounded size."""

import collections.abc
import typing

_Item = typing.TypeVar("_Item")


def split(
    items: collections.abc.Iterable[_Item],
    get_size: collections.abc.Callable[[_Item], int],
    max_bytes: int,
) -> list[list[_Item]]:
    """Return items in order, in batches of at most ``max_bytes`` bytes.

    ``get_size`` returns an item's size in bytes. A larger item forms a batch
    of its own.
    """
    batches: list[list[_Item]] = []
    left = 0
    for item in items:
        size = get_size(item)
        if not batches or size > left:
            batches.append([])
            left = max_bytes
        batches[-1].append(item)
        left -= size
    return batches
