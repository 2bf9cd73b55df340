"""Takes configurations from control members, near ones first."""

import asyncio
import collections.abc
import zlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log

# How long a member of another data centre leaves to a nearer one.
FETCH_DELAY_S = 0.05


class ConfigurationReceiver:
    """Keeps the newest configuration; never an older one."""

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
        """Take a notice or a configuration."""
        match message:
            case messages.ConfigurationNotice():
                asyncio.get_running_loop().call_later(
                    FETCH_DELAY_S, self.fetch, peer, message.version
                )
            case messages.ConfigurationUpdate():
                self.apply_update(message)

    def fetch(self, peer: link.Link, version: int) -> None:
        """Ask for a version that no nearer member has sent."""
        if version > self.version:
            peer.send(messages.FetchConfiguration())

    def apply_update(self, message: messages.ConfigurationUpdate) -> None:
        """Put a configuration in force unless a newer one is."""
        if message.version <= self.version:
            return
        try:
            body = zlib.decompress(message.compressed_body)
            configuration = self.configuration_codec.decode(body)
        except (zlib.error, exceptions.BadDeclarationError) as fault:
            self.log.write(
                "configuration_unreadable",
                version=message.version,
                reason=str(fault),
            )
            return
        self.version = message.version
        self.on_change(configuration)
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
        )
