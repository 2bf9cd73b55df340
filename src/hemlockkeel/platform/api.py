"""Decodes the platform's HTTP calls of operators and targets."""

import re
import urllib.parse

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.utils import strict_json
from hemlockkeel.platform import configuration
from hemlockkeel.platform import engine
from hemlockkeel.platform import fields

# Of printable ASCII, as in the header Host.
ADDRESS = re.compile(r"[!-~]+:[0-9]{1,5}")
MAX_PORT = 65535
INSTANCE_PATH = re.compile(r"/instances/([^/]+)")
TARGET_STATES = {
    "ready": records.TargetState.READY,
    "draining": records.TargetState.LEAVING,
}
MS_PER_S = 1000.0
BAD_REQUEST = 400
NOT_FOUND = 404


class PlatformApiCodec(api.ApiCodec):
    """Decodes the platform's calls to control members."""

    def __init__(self) -> None:
        self.configurations = configuration.JsonConfigurationCodec()

    def decode(self, method: str, path: str, body: bytes) -> api.Call:
        try:
            return self.read_call(method, path, body)
        except (ValueError, exceptions.BadDeclarationError) as error:
            raise api.BadCallError(BAD_REQUEST, str(error)) from error

    def decode_quotas(
        self, body: bytes
    ) -> dict[organisations.OrganisationName, organisations.Quota]:
        decoded = self.configurations.decode(body)
        return organisations.list_quotas(decoded.organisations)

    def read_call(self, method: str, path: str, body: bytes) -> api.Call:
        """Return the call in an HTTP request.

        :raises BadCallError: when there is no such call.
        :raises BadDeclarationError: when it has an invalid configuration.
        :raises ValueError: when the body is invalid otherwise.
        """
        match (method, path):
            case ("PUT", "/config"):
                decoded = self.configurations.decode(body)
                return api.PutConfiguration(decoded.version, body)
            case ("GET", "/config"):
                return api.ReadConfiguration()
            case ("POST", "/version-put"):
                source = strict_json.parse_object(body)
                return api.NameVersion(
                    fields.get_string(source, "model"),
                    fields.get_string(source, "adapter", ""),
                    fields.get_int(source, "version"),
                )
        match = INSTANCE_PATH.fullmatch(path)
        if match is None:
            raise api.BadCallError(
                NOT_FOUND, "no call has this method and path"
            )
        instance_id = read_instance_id(match.group(1))
        if method == "DELETE":
            return api.Withdraw(instance_id)
        if method == "PUT":
            source = strict_json.parse_object(body)
            return api.Announce(read_record(instance_id, source))
        raise api.BadCallError(NOT_FOUND, "no call has this method and path")


def read_instance_id(quoted: str) -> records.InstanceId:
    """Return the id of a target in a path.

    :raises ValueError: when it cannot be sent in a header.
    """
    name = urllib.parse.unquote(quoted, errors="strict")
    if not name.isprintable() or name != name.strip():
        raise ValueError("the id of an instance must be printable")
    return records.InstanceId(name)


def get_port(address: str) -> int:
    """Return the port of an address of the form host:port."""
    return int(address.rpartition(":")[2])


def read_record(
    instance_id: records.InstanceId, source: fields.JsonObject
) -> records.TargetRecord:
    """Return the target that a heartbeat announces.

    :raises ValueError: when a field is missing or invalid.
    """
    state = TARGET_STATES.get(fields.get_string(source, "state"))
    if state is None:
        raise ValueError("state must be ready or draining")
    address = fields.get_string(source, "address")
    if not ADDRESS.fullmatch(address) or not 0 < get_port(address) <= MAX_PORT:
        raise ValueError("address must have the form host:port")
    models = None
    if "models" in source:
        models = list(engine.read_models(source))
    remaining = None
    if "remainingMs" in source:
        remaining = fields.get_number(source, "remainingMs") / MS_PER_S
    return records.TargetRecord(
        instance_id,
        records.ServiceName(fields.get_string(source, "service")),
        address,
        fields.get_string(source, "zone"),
        state,
        fields.get_int(source, "sequence"),
        fields.get_int(source, "born", 0),
        fields.get_int(source, "slots", 0, minimum=0),
        models,
        fields.get_number(source, "coldLeftMs", 0.0) / MS_PER_S,
        remaining,
        fields.get_string(source, "version"),
    )
