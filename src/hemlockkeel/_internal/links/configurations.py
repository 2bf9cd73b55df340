"""Receives configurations, preferring control members in the same data centre.

Members in the same data centre send a new configuration at once. Members in
other data centres only announce its version, and it is fetched from them if
it has not arrived after a short delay.
"""

import asyncio
import collections.abc
import zlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log

# Delay before fetching from another data centre, so that a nearer member can
# send the configuration first.
FETCH_DELAY_S = 0.05


class ConfigurationReceiver:
    """Applies received configurations whose version is higher than the last.

    ``on_change`` is called with each configuration that is applied.
    """

    def __init__(
        self,
        configuration_codec: codec.ConfigurationCodec,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[table.Configuration], None],
    ) -> None:
        self.configuration_codec = configuration_codec
        self.log = log
        self.on_change = on_change
        self.version = 0

    def handle_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Handle a configuration or a notice of one; ignore other messages."""
        match message:
            case messages.ConfigurationNotice():
                asyncio.get_running_loop().call_later(
                    FETCH_DELAY_S, self.fetch, peer, message.version
                )
            case messages.ConfigurationUpdate():
                self.apply_update(message)

    def fetch(self, peer: link.Link, version: int) -> None:
        """Request a version from a peer unless it has arrived meanwhile."""
        if version > self.version:
            peer.send(messages.FetchConfiguration())

    def apply_update(self, message: messages.ConfigurationUpdate) -> None:
        """Apply a configuration unless its version is already in force.

        A configuration that cannot be decompressed or decoded is logged and
        ignored.
        """
        if message.version <= self.version:
            return
        try:
            body = zlib.decompress(message.compressed_body)
            configuration = self.configuration_codec.decode(body)
        except (zlib.error, exceptions.BadDeclarationError) as error:
            self.log.write(
                "configuration_unreadable",
                version=message.version,
                reason=str(error),
            )
            return
        self.version = message.version
        self.on_change(configuration)
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
        )
