"""State machine that control members replicate by consensus.

It holds the newest configuration and the newest version of each adapter.
Versions only increase: a command with a version that is not higher than the
stored one changes nothing, so commands may be repeated or reordered.
"""

import collections.abc

import msgspec

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node


class PutConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Store a configuration if its version is higher than the stored one."""

    version: int
    body: bytes


class NameVersion(msgspec.Struct, frozen=True, tag=True):
    """Set an adapter's newest version, unless a higher one is stored."""

    model: str
    adapter: str
    version: int


class IssueFence(msgspec.Struct, frozen=True, tag=True):
    """Issue a fencing token: the log index of this command."""

    holder: str


Command = PutConfiguration | NameVersion | IssueFence
COMMAND_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(
    Command
)


class CatalogueState(msgspec.Struct):
    """State of the catalogue, as it is stored in snapshots."""

    # Configuration; version 0 stands for none.
    version: int = 0
    body: bytes = b""
    # Newest version by model and adapter.
    adapters: dict[str, dict[str, int]] = {}


class Catalogue(node.Applier):
    """Applies committed commands, in the consensus thread.

    ``on_change`` is called in that thread after each command, change of
    membership and restored snapshot.
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
        """Store a configuration if its version is higher."""
        if command.version <= self.state.version:
            return
        # Readers in other threads must never see the version of one
        # configuration with the body of another.
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
        """Return (model, adapter, newest version) of every adapter."""
        return [
            (model, adapter, version)
            for model, versions in list(self.state.adapters.items())
            for adapter, version in list(versions.items())
        ]
