"""Admits requests within the quotas of their organisations."""

import http

from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import quotas
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import results

# Retry-After is the expected wait plus a random part of half of it, or of
# this many seconds if that is more, so that callers do not return together.
MIN_SPREAD_S = 0.3


async def admit(context: request_context.RequestContext) -> bool:
    """Charge a request to its organisation, if any, or respond 429.

    The request has not run then.
    """
    organisation = context.organisation
    if organisation is None or organisation.quota is None:
        return True
    quota = organisation.quota
    cost = quota.get_cost(
        context.metadata.prompt_tokens, context.metadata.max_output_tokens
    )
    decision = await context.shared.quotas.acquire(organisation, cost)
    if decision.granted:
        context.charge = quotas.Charge(organisation, cost)
        return True
    spread_s = max(MIN_SPREAD_S, decision.wait_s / 2)
    wait_s = decision.wait_s + context.shared.rng.uniform(0.0, spread_s)
    context.log_event(
        "quota_exceeded",
        organisation=organisation.name,
        units=cost,
        wait=round(decision.wait_s, 3),
        alone=context.shared.quotas.isolated_at is not None,
    )
    context.respond(
        http.HTTPStatus.TOO_MANY_REQUESTS,
        results.Cause.QUOTA_EXCEEDED,
        "the quota of the organisation is used up; the request has not run",
        [(b"Retry-After", f"{wait_s:.2f}".encode())],
    )
    return False


def settle(context: request_context.RequestContext) -> None:
    """Give back what a request was charged if it never ran."""
    charge, context.charge = context.charge, None
    if charge is None or context.verdict is not outcomes.Verdict.NOT_RUN:
        return
    context.shared.quotas.give_back(charge.organisation, charge.cost)
