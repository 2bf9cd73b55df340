"""Base class of request filters, and the chain that runs them in order."""

import abc
import collections.abc

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.models import outcomes

Result = outcomes.Refused | context.Events
Handler = collections.abc.Callable[[context.RequestContext], Result]


class Filter(abc.ABC):
    """One step in the processing of a request."""

    @abc.abstractmethod
    def handle(
        self, request: context.RequestContext, next_handler: Handler
    ) -> Result:
        """Refuse the request, or return the result of the next handler."""


def make_chain(
    filters: collections.abc.Sequence[Filter], last_handler: Handler
) -> Handler:
    """Return a handler that runs the filters in order, then the last one."""
    handler = last_handler
    for request_filter in reversed(filters):
        handler = bind_filter(request_filter, handler)
    return handler


def bind_filter(request_filter: Filter, next_handler: Handler) -> Handler:
    """Return a handler that runs one filter before the next handler."""

    def handle(request: context.RequestContext) -> Result:
        return request_filter.handle(request, next_handler)

    return handle
