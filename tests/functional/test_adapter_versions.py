"""Versions of adapters that requests run on while agents are away."""

from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import target_selection
from tests.lib import ending_target
from tests.lib import relay_fleet


class TestTargetsWithoutAgents(relay_fleet.RelayFleetCase):
    """Targets that have an adapter loaded and whose agent has ended."""

    async def test_request_requires_the_newest_version(self) -> None:
        await self.start_member(1)
        self.name_version(2)
        await self.start_entry()
        await self.start_targets(1, ending_target.EndMode.REFUSES)
        for target in self.entries[0].registry.targets.values():
            target.engine = target_selection.EngineView(frozenset({"m/a"}))
        extra = "X-Model-Name: m/a\r\n"
        for version in (2, 3):
            self.name_version(version)
            await self.wait_for(
                lambda version=version: (  # type: ignore[misc]
                    self.entries[0].adapter_client.get_newest_version("m", "a")
                    == version
                )
            )
            await self.send(0, "once/x", extra=extra)
            _, request = self.targets[0].arrivals[-1]
            required = request.headers[b"x-expect-version"]
            self.assertEqual(int(required), version)

    def name_version(self, version: int) -> None:
        """Tell the entries the newest version of the adapter."""
        self.members[1].subscribers.send_to_all(
            messages.VersionsUpdate(versions=[("m", "a", version)])
        )
