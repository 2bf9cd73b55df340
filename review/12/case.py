"""The core ends for good after two of its machines were replaced."""

import asyncio
import contextlib
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins3  # noqa: E402

CATCH_UP_S = 4.0
RECOVER_S = 12.0
# From the removal of the first machine to that of the second.
GAP_S = 1.0
# From a removal to the start of the successor (`replace_core`, x = 2).
SUCCESSOR_S = 2.0
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
        # A planned replacement: the new machine first.
        core[4] = platform.add_machine("control", 4, 296)
        platform.start_machine(core[4], bootstrap=False)
        await asyncio.sleep(2 * CATCH_UP_S)
        await read_version((core[4].ip, platform.api), record)
        core[3].remove()
        await asyncio.sleep(GAP_S / 2)
        await platform.put_config(make_config(2))
        await asyncio.sleep(GAP_S / 2)
        running = [core[1], core[2], core[4]]
        if trouble:
            core[2].remove()
            await asyncio.sleep(SUCCESSOR_S)
            core[5] = platform.add_machine("control", 5, 296)
            core[5].settings["seedNodes"] = ",".join(
                f"{core[number].ip}:{platform.api}" for number in (1, 4, 5)
            )
            platform.start_machine(core[5], bootstrap=False)
            running = [core[1], core[4], core[5]]
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
