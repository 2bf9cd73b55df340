"""Implementation shared by ``drain`` and ``undrain``."""

from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.cli import options


def set_drain(
    client: operator_client.OperatorClient,
    target: str,
    drained: bool,
    operator: str,
    change_id: str,
    as_json: bool,
) -> None:
    """Start or end the drain of a target and print the outcome."""
    reply = client.call(
        "POST",
        "/v1/drains",
        {
            "change_id": options.get_change_id(change_id),
            "operator": options.get_operator(operator),
            "target_id": target,
            "drained": drained,
        },
    )
    outcome = "is drained" if drained else "accepts new work again"
    options.print_result(reply, as_json, f"target {target} {outcome}")
