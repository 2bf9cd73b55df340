"""Encodes orders to the platform's engines and decodes their reports."""

import collections.abc
import json

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.utils import strict_json
from hemlockkeel.platform import fields

# Replies to orders by HTTP status; any other status is a refusal.
REPLY_BY_STATUS = {
    200: engine.Reply.HOLDS_ALREADY,
    202: engine.Reply.ACCEPTED,
    409: engine.Reply.CONFLICT,
    412: engine.Reply.STALE_FENCE,
    421: engine.Reply.OTHER_INSTANCE,
}


class PlatformEngineCodec(engine.EngineCodec):
    """Encodes and decodes the platform's HTTP calls to engines."""

    def encode_report_request(self) -> engine.HttpRequest:
        return engine.HttpRequest(b"GET", b"/report", [], repeatable=True)

    def decode_report(self, body: bytes) -> engine.Report:
        source = strict_json.parse_object(body)
        started_at_ms = None
        if "born" in source:
            started_at_ms = fields.get_int(source, "born")
        return engine.Report(
            tuple(read_models(source)),
            fields.get_bool(source, "busy"),
            # Number of orders that the engine has accepted.
            fields.get_int(source, "sequence"),
            fields.get_int(source, "queued", 0),
            fields.get_int(source, "active", 0),
            fields.get_int(source, "kvUsed", 0),
            fields.get_int(source, "kvTotal", 0),
            tuple(read_loading_adapters(source)),
            started_at_ms,
        )

    def encode_order(self, order: engine.FencedOrder) -> engine.HttpRequest:
        body: fields.JsonObject = {
            "operation": order.order.operation.value,
            "model": order.order.model,
            "holder": order.holder,
            "fencingToken": order.fence,
            "expected": order.expected_order_count,
        }
        if order.order.adapter:
            body["adapter"] = order.order.adapter
        if order.order.version is not None:
            body["version"] = order.order.version
        head = [(b"Content-Type", b"application/json")]
        if order.instance_id:
            head.append((b"X-Expect-Instance", order.instance_id.encode()))
        return engine.HttpRequest(
            b"POST", b"/order", head, json.dumps(body).encode()
        )

    def decode_order_reply(self, status: int) -> engine.Reply:
        return REPLY_BY_STATUS.get(status, engine.Reply.REFUSED)


def read_models(
    source: fields.JsonObject,
) -> collections.abc.Iterator[records.LoadedModel]:
    """Yield the loaded models, with their adapters, of a target.

    :raises ValueError: when a field is missing or invalid.
    """
    for item in fields.get_objects(source, "models"):
        adapters = item.get("adapters", [])
        if not isinstance(adapters, list):
            raise ValueError("adapters must be a list")
        yield records.LoadedModel(
            fields.get_string(item, "name"),
            fields.get_int(item, "version", 0),
            dict(read_adapter(adapter) for adapter in adapters),
        )


def read_adapter(value: object) -> tuple[str, int]:
    """Return the name and version in NAME@VERSION.

    The version is 0 if it is not given.

    :raises ValueError: when the value has another form.
    """
    if not isinstance(value, str):
        raise ValueError("an adapter must be a string")
    name, _, version = value.partition("@")
    return name, strict_json.parse_int(version) if version else 0


def read_loading_adapters(
    source: fields.JsonObject,
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield model and name of each adapter that is being loaded.

    The platform gives them as MODEL/NAME@VERSION.

    :raises ValueError: when the field is invalid.
    """
    values = source.get("coming", [])
    if not isinstance(values, list):
        raise ValueError("coming must be a list")
    for value in values:
        if not isinstance(value, str):
            raise ValueError("an item of coming must be a string")
        model, _, rest = value.partition("/")
        yield model, rest.partition("@")[0]
