"""Machines of the core that were replaced stay voters for good."""

import asyncio
import contextlib
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3  # noqa: E402

CATCH_UP_S = 4.0
RECOVER_S = 12.0
# Longer than any time-out of the system.
CALM_S = 10.0
# A machine that loses its disk is back after so long.
DOWN_S = 1.0
READ_S = 8.0


def make_config(version: int) -> dict[str, object]:
    """Return a version of the configuration."""
    return {
        "version": version,
        "routes": [
            standins3.make_route("pull", "portal", "safe"),
            *(
                standins3.make_route(f"v{number}", "portal", "safe")
                for number in range(version)
            ),
        ],
        "services": [standins3.make_plain_service("portal")],
        "limits": standins3.LIMITS,
    }


async def read_version(
    address: tuple[str, int], record: standins3.Record
) -> int | None:
    """Return the version that a machine reads back; None without one."""
    status: object = "no answer"
    version = None
    with contextlib.suppress(OSError, ValueError, TimeoutError):
        async with asyncio.timeout(1.0):
            answer = await standins3.call(address, "GET", "/config")
        status = answer.status
        if answer.status == 200:
            version = json.loads(answer.body)["version"]
    record.write("read", at=address[0], status=status, version=version)
    return version


async def run(record: standins3.Record, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    platform = standins3.Platform(record, core=3)
    try:
        core = {
            number: platform.add_machine("control", number, 296)
            for number in (1, 2, 3)
        }
        entry = platform.add_machine("entry", 1, 300)
        replica = standins3.Replica(platform, "i-p1", "portal", 1)
        await replica.start()
        await platform.start()
        await platform.put_config(make_config(1))
        platform.disable_bootstrap()
        await platform.wait_ready(1)
        await asyncio.sleep(4.0)
        # Two planned replacements: the new machines first, one by one, then
        # the old ones go with SIGTERM. Never more than one counts as lost.
        for number in (4, 5):
            core[number] = platform.add_machine("control", number, 296)
            platform.start_machine(core[number], bootstrap=False)
            await asyncio.sleep(CATCH_UP_S + 2.0)
        for number in (3, 2):
            await core[number].stop()
            await asyncio.sleep(2.0)
        await asyncio.sleep(CALM_S)
        running = [core[1], core[4], core[5]]
        for machine in running:
            await read_version((machine.ip, platform.api), record)
        await platform.put_config(make_config(2))
        # The settings of a start name the machines that serve control then.
        core[1].settings["seedNodes"] = ",".join(
            f"{machine.ip}:{platform.api}" for machine in running
        )
        core[1].write_settings(bootstrap=False)
        if trouble:
            await core[1].lose_disk(DOWN_S)
        await asyncio.sleep(CATCH_UP_S + RECOVER_S)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + READ_S
        versions = []
        while loop.time() < ends_at:
            for machine in running:
                versions.append(
                    await read_version((machine.ip, platform.api), record)
                )
            await asyncio.sleep(0.5)
        newest = max((each for each in versions if each), default=0)
        record.write(
            "seen", reads=len(versions),
            answered=sum(each is not None for each in versions),
            newest=newest, acknowledged=2, entry=entry.ip,
        )
        return newest < 2
    finally:
        await platform.stop()


standins3.run_case(__file__, run)
