"""Proposals of a control member on behalf of its callers."""

import asyncio
import concurrent.futures
import types
import typing
import unittest
import unittest.mock

import msgspec

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import replicated_state
from hemlockkeel._internal.routes import catalogue
from tests.lib import logs

CHANGE = catalogue.PutConfiguration(7, b"body")


class StateCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: a leader whose proposals a test completes."""

    def setUp(self) -> None:
        self.proposed: list[concurrent.futures.Future[node.Applied]] = []
        member = types.SimpleNamespace(
            core=types.SimpleNamespace(state=core.State.LEADER),
            propose=self.propose,
            applied_index=9,
            get_leader_address=lambda: "",
        )
        self.state = replicated_state.ReplicatedState(
            typing.cast(typing.Any, member),
            catalogue.Catalogue(lambda: None),
            typing.cast(typing.Any, None),
            logs.make_log(),
        )

    def propose(
        self, data: bytes, kind: object
    ) -> concurrent.futures.Future[node.Applied]:
        self.proposed.append(concurrent.futures.Future())
        return self.proposed[-1]


class TestRepeatedCommand(StateCase):
    """Guards against logs that hold a change once for each of its callers."""

    async def test_command_in_progress_is_not_proposed_again(self) -> None:
        with unittest.mock.patch.object(
            replicated_state, "CALL_TIMEOUT_S", 0.02
        ):
            self.assertIsNone(await self.state.propose(CHANGE))
        repeated = asyncio.create_task(self.state.propose(CHANGE))
        await asyncio.sleep(0)
        self.assertEqual(len(self.proposed), 1)
        self.proposed[0].set_result(node.Applied(5, None))
        self.assertEqual(await repeated, 5)

    async def test_command_that_has_failed_is_proposed_again(self) -> None:
        first = asyncio.create_task(self.state.propose(CHANGE))
        await asyncio.sleep(0)
        self.proposed[0].set_exception(node.NotLeaderError(""))
        self.assertIsNone(await first)
        second = asyncio.create_task(self.state.propose(CHANGE))
        await asyncio.sleep(0)
        self.proposed[1].set_result(node.Applied(6, None))
        self.assertEqual(await second, 6)

    async def test_other_commands_are_proposed(self) -> None:
        other = msgspec.structs.replace(CHANGE, version=8)
        tasks = [
            asyncio.create_task(self.state.propose(each))
            for each in (CHANGE, other)
        ]
        await asyncio.sleep(0)
        for number, future in enumerate(self.proposed):
            future.set_result(node.Applied(number, None))
        self.assertEqual(await asyncio.gather(*tasks), [0, 1])


class TestOvertakenConfiguration(StateCase):
    """Guards against logs that hold changes which change nothing."""

    def setUp(self) -> None:
        super().setUp()
        self.state.catalogue.apply(9, msgspec.msgpack.encode(CHANGE))

    async def test_version_in_force_and_older_ones_are_not_proposed(
        self,
    ) -> None:
        for version in (CHANGE.version, CHANGE.version - 1):
            command = msgspec.structs.replace(CHANGE, version=version)
            self.assertEqual(await self.state.propose(command), 9)
        self.assertEqual(self.proposed, [])

    async def test_later_version_is_proposed(self) -> None:
        command = msgspec.structs.replace(CHANGE, version=8)
        task = asyncio.create_task(self.state.propose(command))
        await asyncio.sleep(0)
        self.proposed[0].set_result(node.Applied(10, None))
        self.assertEqual(await task, 10)


class TestRead(StateCase):
    """Guards against old configurations from a leader with a slow disk."""

    def setUp(self) -> None:
        super().setUp()
        self.member = typing.cast(typing.Any, self.state.node)
        self.member.has_lease = lambda: True
        self.member.core.commit_index = 10

    async def test_read_waits_for_what_is_committed(self) -> None:
        task = asyncio.create_task(self.state.read())
        await asyncio.sleep(0)
        self.assertFalse(task.done())
        self.state.catalogue.apply(10, msgspec.msgpack.encode(CHANGE))
        self.member.applied_index = 10
        outcome = await task
        self.assertEqual((outcome.done, outcome.index), (True, CHANGE.version))

    async def test_lost_lease_is_no_answer(self) -> None:
        self.member.has_lease = lambda: False
        self.assertFalse((await self.state.read_local()).done)


if __name__ == "__main__":
    unittest.main()
