"""Translates reports of engines and orders to them."""

import collections.abc
import json

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import engine
from hemlockkeel.platform import fields

REPLIES = {
    200: engine.Reply.HOLDS_ALREADY,
    202: engine.Reply.ACCEPTED,
    409: engine.Reply.CONFLICT,
    412: engine.Reply.STALE_FENCE,
    421: engine.Reply.OTHER_INSTANCE,
}


class PlatformEngineCodec(engine.EngineCodec):
    """Reads and writes the platform's calls to engines."""

    def encode_report_request(self) -> engine.HttpRequest:
        return engine.HttpRequest(b"GET", b"/report", [])

    def decode_report(self, body: bytes) -> engine.Report:
        source = fields.parse_object(body)
        born = fields.get_int(source, "born") if "born" in source else None
        return engine.Report(
            tuple(read_models(source)),
            fields.get_bool(source, "busy"),
            # The number of orders accepted so far.
            fields.get_int(source, "sequence"),
            fields.get_int(source, "queued", 0),
            fields.get_int(source, "active", 0),
            fields.get_int(source, "kvUsed", 0),
            fields.get_int(source, "kvTotal", 0),
            tuple(read_loading_adapters(source)),
            born,
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
        return REPLIES.get(status, engine.Reply.REFUSED)


def read_models(
    source: fields.JsonObject,
) -> collections.abc.Iterator[records.LoadedModel]:
    """Return the models that a target says it holds."""
    for item in fields.get_objects(source, "models"):
        adapters = item.get("adapters", [])
        if not isinstance(adapters, list):
            raise ValueError("adapters is not a list")
        yield records.LoadedModel(
            fields.get_string(item, "name"),
            fields.get_int(item, "version", 0),
            dict(read_adapter(adapter) for adapter in adapters),
        )


def read_adapter(value: object) -> tuple[str, int]:
    """Return name and version of NAME@VERSION."""
    if not isinstance(value, str):
        raise ValueError("an adapter is not a text")
    name, _, version = value.partition("@")
    return name, int(version) if version else 0


def read_loading_adapters(
    source: fields.JsonObject,
) -> collections.abc.Iterator[tuple[str, str]]:
    """Return the adapters on their way, given as MODEL/NAME@VERSION."""
    coming = source.get("coming", [])
    if not isinstance(coming, list):
        raise ValueError("coming is not a list")
    for value in coming:
        if not isinstance(value, str):
            raise ValueError("an adapter on its way is not a text")
        model, _, rest = value.partition("/")
        yield model, rest.partition("@")[0]
