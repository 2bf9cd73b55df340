"""Command that runs a role: ``python -m hemlockkeel.platform ROLE``."""

import argparse
import asyncio
import os
import pathlib
import sys

from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "HEMLOCKKEEL_NODE_FILE"
EXIT_BAD_SETTINGS = 2


def make_entry(path: pathlib.Path) -> event_process.EventProcess:
    """Create an entry from a settings file."""
    from hemlockkeel._internal.relay import process
    from hemlockkeel.platform import configuration
    from hemlockkeel.platform import entry_settings
    from hemlockkeel.platform import headers

    values = entry_settings.read_entry(path)
    return process.EntryProcess(
        values,
        path,
        entry_settings.read_entry,
        headers.PlatformHeaderCodec(),
        configuration.JsonConfigurationCodec(),
        event_log.EventLog(values.name),
    )


def make_control(path: pathlib.Path) -> event_process.EventProcess:
    """Create a control member from a settings file."""
    from hemlockkeel._internal.coordinator import process
    from hemlockkeel.platform import api
    from hemlockkeel.platform import control_settings

    values = control_settings.read_control(path)
    return process.ControlProcess(
        values,
        path,
        control_settings.read_control,
        api.PlatformApiCodec(),
        event_log.EventLog(values.name),
    )


def make_agent(path: pathlib.Path) -> event_process.EventProcess:
    """Create an agent from a settings file."""
    from hemlockkeel._internal.orders import http_client
    from hemlockkeel._internal.orders import process
    from hemlockkeel.platform import agent_settings
    from hemlockkeel.platform import configuration
    from hemlockkeel.platform import engine
    from hemlockkeel.platform import headers

    values = agent_settings.read_agent(path)
    client = http_client.HttpEngineClient(
        values.engine_address,
        engine.PlatformEngineCodec(),
        headers.PlatformHeaderCodec(),
    )
    return process.AgentProcess(
        values,
        path,
        agent_settings.read_agent,
        client,
        configuration.JsonConfigurationCodec(),
        event_log.EventLog(values.name),
    )


ROLES = {
    "entry": make_entry,
    "control": make_control,
    "agent": make_agent,
}


async def run(role: str, path: pathlib.Path, metrics_port: int) -> int:
    """Run a role until it is stopped; return the exit code."""
    try:
        process = ROLES[role](path)
    except (OSError, ValueError) as error:
        print(f"hemlockkeel: invalid settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return await process.run(metrics_port)


def main() -> None:
    """Parse the command line and run the role."""
    parser = argparse.ArgumentParser(prog="hemlockkeel-platform")
    parser.add_argument("role", choices=sorted(ROLES))
    parser.add_argument("--metrics-port", type=int, default=0)
    options = parser.parse_args()
    name = os.environ.get(
        SETTINGS_PATH_VARIABLE, "/etc/hemlockkeel/settings.conf"
    )
    code = asyncio.run(
        run(options.role, pathlib.Path(name), options.metrics_port)
    )
    event_process.exit_now(code)


if __name__ == "__main__":
    main()
