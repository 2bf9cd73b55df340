"""Builds the process of each role from settings."""

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

ROLES = ("entry", "agent", "control", "dev")


@dataclasses.dataclass
class Values:
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

    def check(self) -> None:
        """Check all settings at once.

        :raises BadSettingError: naming every fault.
        """
        checker = settings.Checker()
        if self.role not in ROLES:
            checker.errors.append(
                f"--role is '{self.role}'; use one of {', '.join(ROLES)}"
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
            self.check_follower(checker)
        checker.finish()

    def check_follower(self, checker: settings.Checker) -> None:
        """Check the settings of entries and agents."""
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
            self.target_id, "--target-id", "the target's own name"
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
        """Return counters that are sent where the settings say."""
        return metrics.Metrics(self.statsd_host, self.statsd_port)


class Process(abc.ABC):
    """A process of any role."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start serving."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Return a line that says where this process listens."""

    @abc.abstractmethod
    def drain(self) -> None:
        """Finish accepted work and take no new."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop at once."""

    @abc.abstractmethod
    def count_unfinished(self) -> int:
        """Return how much accepted work would be cut off now."""


class ServingProcess(typing.Protocol):
    """What the processes of all roles have in common."""

    def start(self) -> None:
        """Start serving."""

    def drain(self) -> None:
        """Finish accepted work and take no new."""

    def stop(self) -> None:
        """Stop at once."""

    def count_unfinished(self) -> int:
        """Return how much accepted work would be cut off now."""


class ServingRole(Process):
    """A role with one process."""

    def __init__(self, serving: ServingProcess) -> None:
        self.serving = serving

    def start(self) -> None:
        self.serving.start()

    def drain(self) -> None:
        self.serving.drain()

    def stop(self) -> None:
        self.serving.stop()

    def count_unfinished(self) -> int:
        return self.serving.count_unfinished()


class ControlRole(ServingRole):
    """A control member."""

    def __init__(self, values: Values) -> None:
        if values.data_dir is None:
            raise exceptions.BadSettingError("--data-dir is missing")
        self.process = control_process.ControlProcess(
            control_process.ControlSettings(
                data_dir=values.data_dir,
                secret=values.secret,
                admin_token=values.admin_token,
                host=values.host,
                port=values.port,
                admin_host=values.admin_host,
                admin_port=values.admin_port,
                bootstrap=values.bootstrap,
            ),
            values.make_metrics(),
        )
        super().__init__(self.process)

    def describe(self) -> str:
        return (
            f"control member {self.process.node.member_id} on "
            f"{self.process.address}, operators on {self.process.admin_url}"
        )


class EntryRole(ServingRole):
    """An entry."""

    def __init__(self, values: Values) -> None:
        self.process = entry_process.EntryProcess(
            entry_process.EntrySettings(
                member_id=values.member_id,
                control=values.control,
                secret=values.secret,
                data_centre=values.data_centre,
                site=values.site,
                host=values.host,
                port=values.port,
                max_in_flight=values.max_in_flight,
                balancer_notice_s=values.balancer_notice,
            ),
            values.make_metrics(),
        )
        super().__init__(self.process)

    def describe(self) -> str:
        name = self.process.settings.member_id
        return f"entry {name} on {self.process.url}"


class AgentRole(ServingRole):
    """An agent."""

    def __init__(self, values: Values) -> None:
        self.process = agent_process.AgentProcess(
            agent_process.AgentSettings(
                target_id=values.target_id,
                service=values.service,
                target_address=values.target_address,
                control=values.control,
                secret=values.secret,
                data_centre=values.data_centre,
                site=values.site,
                kind=members.TargetKind(values.target_kind),
                host=values.host,
                port=values.port,
                max_queued=values.max_queued,
            ),
            values.make_metrics(),
        )
        super().__init__(self.process)

    def describe(self) -> str:
        name = self.process.settings.target_id
        return f"agent of {name} on {self.process.address}"


class DevRole(Process):
    """All roles and stand-ins as threads of one process."""

    def __init__(self, values: Values) -> None:
        self.cluster = dev.DevCluster(
            dev.DevSettings(
                port=values.port,
                admin_port=values.admin_port,
                admin_token=values.admin_token or dev.DEV_TOKEN,
            )
        )

    def start(self) -> None:
        self.cluster.start()

    def describe(self) -> str:
        entry = self.cluster.entries[0]
        control = self.cluster.controls[0]
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


_ROLES: dict[str, type[Process]] = {
    "control": ControlRole,
    "entry": EntryRole,
    "agent": AgentRole,
    "dev": DevRole,
}


def make_process(values: Values) -> Process:
    """Return the process of the role that was set."""
    maker = _ROLES[values.role]
    return maker(values)  # type: ignore[call-arg]
