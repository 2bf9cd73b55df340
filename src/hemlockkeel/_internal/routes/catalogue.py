"""The replicated state: the newest configuration and adapter versions.

Both only grow. A configuration that is not higher than the stored one
changes nothing, so a repeated or overtaken change has the same outcome
wherever and whenever it is sent again.
"""

import collections.abc

import msgspec

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node


class PutConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Put a configuration in force, unless a higher one is."""

    version: int
    body: bytes


class NameVersion(msgspec.Struct, frozen=True, tag=True):
    """Name the newest version of an adapter."""

    model: str
    adapter: str
    version: int


class IssueFence(msgspec.Struct, frozen=True, tag=True):
    """Issue a fencing number: the index of this entry."""

    holder: str


Command = PutConfiguration | NameVersion | IssueFence
COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(
    Command
)


class CatalogueState(msgspec.Struct):
    """What a snapshot holds."""

    version: int = 0
    body: bytes = b""
    adapters: dict[str, dict[str, int]] = {}


class Catalogue(node.Applier):
    """Applies committed commands; the consensus thread calls it.

    ``on_change`` is called after each change, in that thread.
    """

    def __init__(self, on_change: collections.abc.Callable[[], None]) -> None:
        self.on_change = on_change
        self.state = CatalogueState()
        self.membership = messages.Membership([])

    def apply(self, index: int, data: bytes) -> object:
        command = COMMAND_DECODER.decode(data)
        match command:
            case PutConfiguration():
                self.put_configuration(command)
            case NameVersion():
                versions = self.state.adapters.setdefault(command.model, {})
                known = versions.get(command.adapter, 0)
                versions[command.adapter] = max(known, command.version)
        self.on_change()
        return index

    def put_configuration(self, command: PutConfiguration) -> None:
        """Keep a configuration that is higher than the stored one."""
        if command.version <= self.state.version:
            return
        # A new object, so that readers in other threads see one version.
        self.state = CatalogueState(
            command.version, command.body, self.state.adapters
        )

    def apply_membership(
        self, index: int, membership: messages.Membership
    ) -> None:
        self.membership = membership
        self.on_change()

    def encode(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    def restore(self, data: bytes, meta: messages.SnapshotMeta) -> None:
        self.state = msgspec.msgpack.decode(data, type=CatalogueState)
        self.membership = meta.membership
        self.on_change()

    def list_versions(self) -> list[tuple[str, str, int]]:
        """Return the newest versions by model and adapter."""
        return [
            (model, adapter, version)
            for model, versions in list(self.state.adapters.items())
            for adapter, version in list(versions.items())
        ]
