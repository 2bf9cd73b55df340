"""The filter chain of an entry."""

import abc
import collections.abc

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.models import outcomes

Result = outcomes.Refused | context.Events
Handler = collections.abc.Callable[[context.RequestContext], Result]


class Filter(abc.ABC):
    """One step that every request passes through."""

    @abc.abstractmethod
    def handle(
        self, request: context.RequestContext, next_handler: Handler
    ) -> Result:
        """Refuse the request, or pass it on and return the result."""


def make_chain(
    filters: collections.abc.Sequence[Filter], last_handler: Handler
) -> Handler:
    """Return a function that passes a request through every filter."""
    handler = last_handler
    for step in reversed(filters):
        handler = bind_filter(step, handler)
    return handler


def bind_filter(step: Filter, next_handler: Handler) -> Handler:
    """Return a function that runs one filter."""

    def handle(request: context.RequestContext) -> Result:
        return step.handle(request, next_handler)

    return handle
