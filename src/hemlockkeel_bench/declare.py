"""Declarations for benchmark runs, applied to a development cluster."""

import contextlib
import dataclasses
import http.client
import json
import time
import typing
import urllib.parse

from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.state import declaration_files

ADAPTER_COUNT = 3000
IN_FORCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class OperatorClient:
    """Calls the operators' interface of a development cluster."""

    url: str
    token: str

    def send(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Send one call and return its JSON reply."""
        parts = urllib.parse.urlsplit(self.url)
        connection = http.client.HTTPConnection(
            parts.hostname or "", parts.port, timeout=60
        )
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self.token}"}
        with contextlib.closing(connection):
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            reply = json.loads(response.read())
        if response.status != http.client.OK:
            raise RuntimeError(f"{method} {path}: {reply}")
        return reply


def make_operator_client(cluster: dev.DevCluster) -> OperatorClient:
    """Return the operators' interface of a development cluster."""
    control = cluster.control_members[0]
    return OperatorClient(control.admin_url, cluster.settings.admin_token)


def apply_items(
    operator: OperatorClient, wanted: declaration_files.ItemMap, change_id: str
) -> float:
    """Apply items and return the seconds until they are in force."""
    state = operator.send("GET", "/v1/config")
    begun = time.monotonic()
    reply = operator.send(
        "POST",
        "/v1/changes",
        {
            "change_id": change_id,
            "operator": "bench",
            "read_version": state["version"],
            "writes": {key: value.decode() for key, value in wanted.items()},
        },
    )
    path = f"/v1/versions/{reply['version']}"
    while not operator.send("GET", path)["in_force"]:
        if time.monotonic() - begun > IN_FORCE_TIMEOUT_S:
            raise TimeoutError(f"version {reply['version']} not in force")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - begun


def apply_default_items(cluster: dev.DevCluster) -> float:
    """Declare one deployment with today's number of adapters."""
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
    wanted = declaration_files.make_base_items(base)
    return apply_items(make_operator_client(cluster), wanted, "bushline")
