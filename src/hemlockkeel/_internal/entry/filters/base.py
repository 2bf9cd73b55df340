"""The filter chain of an entry."""

import abc
import collections.abc

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.models import outcomes

Result = outcomes.Refused | context.Events
Following = collections.abc.Callable[[context.RequestContext], Result]


class Filter(abc.ABC):
    """One step that every request passes through."""

    @abc.abstractmethod
    def handle(
        self, request: context.RequestContext, following: Following
    ) -> Result:
        """Refuse the request, or pass it on and return the result."""


def make_chain(
    filters: collections.abc.Sequence[Filter], last: Following
) -> Following:
    """Return a function that passes a request through every filter."""
    following = last
    for step in reversed(filters):
        following = bind(step, following)
    return following


def bind(step: Filter, following: Following) -> Following:
    """Return a function that runs one filter."""

    def handle(request: context.RequestContext) -> Result:
        return step.handle(request, following)

    return handle
