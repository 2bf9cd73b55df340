"""Applies declarations to the clusters of benchmarks and chaos runs."""

import time

from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.state import declaration_files

ADAPTER_COUNT = 3000
IN_FORCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def make_operator_client(
    cluster: dev.DevCluster,
) -> operator_client.OperatorClient:
    """Return a client of the control members of a cluster."""
    urls = [member.admin_url for member in cluster.control_members]
    return operator_client.OperatorClient(urls, cluster.settings.admin_token)


def apply_items(
    operator: operator_client.OperatorClient,
    items: declaration_files.ItemMap,
    change_id: str,
) -> float:
    """Apply items and return the seconds until they are in force.

    :raises TimeoutError: when they are not in force in time.
    """
    config = operator.call("GET", "/v1/config")
    started_at = time.monotonic()
    change = operator.call(
        "POST",
        "/v1/changes",
        {
            "change_id": change_id,
            "operator": "bench",
            "read_version": config["version"],
            "writes": {key: value.decode() for key, value in items.items()},
        },
    )
    path = f"/v1/versions/{change['version']}"
    while not operator.call("GET", path)["in_force"]:
        if time.monotonic() - started_at > IN_FORCE_TIMEOUT_S:
            raise TimeoutError(
                f"version {change['version']} was not in force within "
                f"{IN_FORCE_TIMEOUT_S:g} s"
            )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at


def apply_single_deployment(cluster: dev.DevCluster) -> float:
    """Declare one deployment with as many adapters as profile bushline.

    Returns the seconds until it is in force.
    """
    names = [f"club-{number:04}@1" for number in range(ADAPTER_COUNT)]
    base = declarations.BaseFile(
        sites={
            cluster.settings.site: declarations.Site(
                list(cluster.settings.data_centres),
                cluster.settings.loads_per_second,
            )
        },
        deployments={
            "advice": declarations.DeclaredDeployment(
                base_model=cluster.settings.engine_options.base_model,
                service=cluster.settings.engine_service,
                adapters=names,
            )
        },
    )
    items = declaration_files.make_base_items(base)
    return apply_items(make_operator_client(cluster), items, "bushline")
