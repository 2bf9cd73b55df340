"""Authenticates requests, and refuses those that are not accepted."""

import http

from hemlockkeel._internal.relay import authentication
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import shared_state
from hemlockkeel._internal.routes import table

# Does not tell whether the key is missing, malformed, unknown or revoked.
REFUSAL = "no valid key"


def check_head(
    shared: shared_state.SharedState, request: caller.CallerRequest
) -> None:
    """Refuse a request by its head if no body could get it accepted.

    A request without a body is refused later, as that keeps its connection.

    :raises RequestRejectedError: when it is refused.
    """
    if not has_body(request):
        return
    decision = decide(shared, request)
    if decision is None:
        return
    if decision.outcome is authentication.Outcome.REFUSED:
        raise caller.RequestRejectedError(
            http.HTTPStatus.UNAUTHORIZED, REFUSAL
        )


async def confirm_unknown_key(
    shared: shared_state.SharedState, request: caller.CallerRequest
) -> None:
    """Wait for a proof, and the configuration, if the key may be a new one.

    Gives up after a while.
    """
    decision = decide(shared, request)
    if (
        shared.proofs is not None
        and decision is not None
        and decision.outcome is authentication.Outcome.UNCONFIRMED
    ):
        await shared.proofs.wait_until_confirmed()


def authenticate(
    context: request_context.RequestContext,
    configuration: table.Configuration,
) -> bool:
    """Set the organisation of a request; return whether it is accepted.

    Otherwise a response is sent. The body has been read already: the time
    that it took counts in the age of the proof.
    """
    route, directory = context.route, configuration.organisations
    if directory is None or route is None or route.public:
        return True
    proofs = context.shared.proofs
    decision = authentication.authenticate(
        context.metadata.keys,
        directory,
        proofs.get_age() if proofs is not None else None,
    )
    match decision.outcome:
        case authentication.Outcome.ACCEPTED:
            context.organisation = decision.organisation
            return True
        case authentication.Outcome.REFUSED:
            context.respond(
                http.HTTPStatus.UNAUTHORIZED,
                results.Cause.UNAUTHENTICATED,
                REFUSAL,
            )
        case authentication.Outcome.STALE | authentication.Outcome.UNCONFIRMED:
            context.refuse(
                results.Cause.KEY_PROOF_STALE,
                "keys cannot be checked for the moment",
            )
    return False


def decide(
    shared: shared_state.SharedState, request: caller.CallerRequest
) -> authentication.Decision | None:
    """Return the decision about a request; None if it needs no key."""
    configuration = shared.configuration
    if configuration is None or configuration.organisations is None:
        return None
    route = configuration.find_route(request.host, request.path)
    if route is None or route.public:
        return None
    return authentication.authenticate(
        shared.codec.read_keys(request.headers),
        configuration.organisations,
        shared.proofs.get_age() if shared.proofs is not None else None,
    )


def has_body(request: caller.CallerRequest) -> bool:
    """Return whether a body follows the head of a request."""
    length = headers.get(request.headers, b"content-length")
    if length is not None:
        return int(length) > 0
    return headers.get(request.headers, b"transfer-encoding") is not None
