"""Makes control members for tests, each on a loopback address."""

import pathlib

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.coordinator import process
from hemlockkeel._internal.coordinator import settings as settings_module
from hemlockkeel.platform import api
from tests.lib import logs


def make_member(
    folder: pathlib.Path,
    number: int,
    api_and_link_port: tuple[int, int],
    seeds: frozenset[str],
    bootstrap: bool = True,
    disk: str = "",
) -> process.ControlProcess:
    """Return a member at 127.0.0.NUMBER, with its own disk or another."""
    api_port, link_port = api_and_link_port
    settings = settings_module.ControlSettings(
        f"core-{number}",
        f"dc{number}",
        f"127.0.0.{number}",
        api_port,
        link_port,
        folder / (disk or str(number)),
        seeds,
        bootstrap,
        core.Timing(0.08, 0.4, 0.8),
    )
    return process.ControlProcess(
        settings,
        folder / "settings",
        lambda path: settings,
        api.PlatformApiCodec(),
        logs.make_log(),
    )
