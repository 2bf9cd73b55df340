"""Creates the role that ``hemlockkeeld`` runs from its flags."""

import abc
import dataclasses
import pathlib
import typing

from hemlockkeel._internal import exceptions
from hemlockkeel._internal import settings
from hemlockkeel._internal.agent import process as agent_process
from hemlockkeel._internal.control import process as control_process
from hemlockkeel._internal.entry import process as entry_process
from hemlockkeel._internal.models import members
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.utils import metrics

ROLE_NAMES = ("entry", "agent", "control", "dev")


@dataclasses.dataclass
class DaemonOptions:
    """Values of all flags."""

    role: str
    secret: str
    control: list[str]
    site: str
    data_centre: str
    member_id: str
    host: str
    port: int
    admin_host: str
    admin_port: int
    admin_token: str
    data_dir: pathlib.Path | None
    bootstrap: bool
    target_id: str
    target_address: str
    target_kind: str
    service: str
    max_in_flight: int
    max_queued: int
    balancer_notice: float
    statsd_host: str
    statsd_port: int

    def validate(self) -> None:
        """Check all settings.

        :raises BadSettingError: when any is invalid; lists all of them.
        """
        checker = settings.Checker()
        if self.role not in ROLE_NAMES:
            checker.errors.append(
                f"--role is '{self.role}'; use one of {', '.join(ROLE_NAMES)}"
            )
        checker.check_port(self.port, "--port")
        checker.check_port(self.admin_port, "--admin-port")
        checker.check_port(self.statsd_port, "--statsd-port")
        if self.role == "dev":
            checker.finish()
            return
        checker.check_secret(self.secret, "--secret")
        if self.role == "control":
            checker.check_secret(self.admin_token, "--admin-token")
            checker.check_folder(self.data_dir, "--data-dir")
        if self.role in ("entry", "agent"):
            self.validate_follower(checker)
        checker.finish()

    def validate_follower(self, checker: settings.Checker) -> None:
        """Check the settings of the roles that follow control members."""
        checker.check_addresses(self.control, "--control")
        checker.check_required(
            self.site, "--site", "the name of a declared site"
        )
        checker.check_required(
            self.data_centre, "--data-centre", "a data centre of the site"
        )
        checker.check_positive(self.max_in_flight, "--max-in-flight")
        checker.check_positive(self.max_queued, "--max-queued")
        if self.role != "agent":
            return
        checker.check_required(
            self.target_id, "--target-id", "the target's unique id"
        )
        checker.check_required(
            self.service, "--service", "the target's service"
        )
        checker.check_addresses(
            [self.target_address] if self.target_address else [],
            "--target-address",
        )
        kinds = [kind.value for kind in members.TargetKind]
        if self.target_kind not in kinds:
            checker.errors.append(
                f"--target-kind is '{self.target_kind}'; use one of "
                f"{', '.join(kinds)}"
            )

    def make_metrics(self) -> metrics.Metrics:
        """Return metrics that are sent to the configured statsd server."""
        return metrics.Metrics(self.statsd_host, self.statsd_port)


class Role(abc.ABC):
    """What ``hemlockkeeld`` runs: one role, or all of them as ``dev``."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start serving."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Return the line, printed after the start, with the addresses."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Refuse new work and wait until accepted work has finished."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop without waiting for work in progress."""

    @abc.abstractmethod
    def count_unfinished(self) -> int:
        """Return the number of accepted requests that have not finished."""

    def has_crashed(self) -> bool:
        """Return whether a part of it has ended, so that it must restart."""
        return False


class RoleProcess(typing.Protocol):
    """Methods that the process classes of all roles share."""

    def start(self) -> None:
        """Start serving."""

    def drain(self) -> None:
        """Refuse new work and wait until accepted work has finished."""

    def stop(self) -> None:
        """Stop without waiting for work in progress."""

    def count_unfinished(self) -> int:
        """Return the number of accepted requests that have not finished."""


class SingleProcessRole(Role):
    """A role that is one process object, to which it delegates."""

    def __init__(self, managed_process: RoleProcess) -> None:
        self.managed_process = managed_process

    def start(self) -> None:
        self.managed_process.start()

    def drain(self) -> None:
        self.managed_process.drain()

    def stop(self) -> None:
        self.managed_process.stop()

    def count_unfinished(self) -> int:
        return self.managed_process.count_unfinished()


class ControlRole(SingleProcessRole):
    """A control member."""

    def __init__(self, options: DaemonOptions) -> None:
        if options.data_dir is None:
            raise exceptions.BadSettingError("--data-dir is missing")
        self.process = control_process.ControlProcess(
            control_process.ControlSettings(
                data_dir=options.data_dir,
                secret=options.secret,
                admin_token=options.admin_token,
                host=options.host,
                port=options.port,
                admin_host=options.admin_host,
                admin_port=options.admin_port,
                bootstrap=options.bootstrap,
            ),
            options.make_metrics(),
        )
        super().__init__(self.process)

    def has_crashed(self) -> bool:
        return self.process.node.has_crashed

    def describe(self) -> str:
        return (
            f"control member {self.process.node.member_id} on "
            f"{self.process.address}, operators on {self.process.admin_url}"
        )


class EntryRole(SingleProcessRole):
    """An entry."""

    def __init__(self, options: DaemonOptions) -> None:
        self.process = entry_process.EntryProcess(
            entry_process.EntrySettings(
                member_id=options.member_id,
                control=options.control,
                secret=options.secret,
                data_centre=options.data_centre,
                site=options.site,
                host=options.host,
                port=options.port,
                max_in_flight=options.max_in_flight,
                balancer_notice_s=options.balancer_notice,
            ),
            options.make_metrics(),
        )
        super().__init__(self.process)

    def describe(self) -> str:
        name = self.process.settings.member_id
        return f"entry {name} on {self.process.url}"


class AgentRole(SingleProcessRole):
    """An agent."""

    def __init__(self, options: DaemonOptions) -> None:
        self.process = agent_process.AgentProcess(
            agent_process.AgentSettings(
                target_id=options.target_id,
                service=options.service,
                target_address=options.target_address,
                control=options.control,
                secret=options.secret,
                data_centre=options.data_centre,
                site=options.site,
                kind=members.TargetKind(options.target_kind),
                host=options.host,
                port=options.port,
                max_queued=options.max_queued,
            ),
            options.make_metrics(),
        )
        super().__init__(self.process)

    def describe(self) -> str:
        name = self.process.settings.target_id
        return f"agent of {name} on {self.process.address}"


class DevRole(Role):
    """Runs all roles and stand-ins as threads, for development."""

    def __init__(self, options: DaemonOptions) -> None:
        self.cluster = dev.DevCluster(
            dev.DevSettings(
                port=options.port,
                admin_port=options.admin_port,
                admin_token=options.admin_token or dev.DEV_TOKEN,
            )
        )

    def start(self) -> None:
        self.cluster.start()

    def describe(self) -> str:
        entry = self.cluster.entries[0]
        control = self.cluster.control_members[0]
        token = self.cluster.settings.admin_token
        return (
            f"dev: callers on {entry.url}, operators on "
            f"{control.admin_url} with token {token}"
        )

    def drain(self) -> None:
        for entry in self.cluster.entries:
            entry.drain()

    def stop(self) -> None:
        self.cluster.stop()

    def count_unfinished(self) -> int:
        return sum(e.count_unfinished() for e in self.cluster.entries)


_ROLE_TYPES: dict[str, type[Role]] = {
    "control": ControlRole,
    "entry": EntryRole,
    "agent": AgentRole,
    "dev": DevRole,
}


def make_role(options: DaemonOptions) -> Role:
    """Return the role that ``--role`` names."""
    role_type = _ROLE_TYPES[options.role]
    return role_type(options)  # type: ignore[call-arg]
