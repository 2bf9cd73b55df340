"""Measures how memory, processor time, bytes and durations grow with size.

A line is fitted to the measured points of most figures; its slope is the cost
of one more adapter, target, lease holder or change. ``python -m
hemlockkeel_bench.slopes [--only NAME]`` prints a line for each measurement and
one JSON object with all points and fits as the last line.
"""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import gc
import json
import logging as std_logging
import pathlib
import random
import resource
import tempfile
import time
import tracemalloc
import typing

from absl import logging
import msgspec
from thrift.transport import TTransport
import typer

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.control import process as control_process
from hemlockkeel._internal.follower import catalog
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import placement
from hemlockkeel._internal.policy import popularity
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.policy import scheduler
from hemlockkeel._internal.rpc import frames
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.standins import dev
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import conflicts
from hemlockkeel._internal.state import declaration_files
from hemlockkeel._internal.state import machine
from hemlockkeel._internal.state import view
from hemlockkeel._internal.utils import metrics
from hemlockkeel_bench import fits
from hemlockkeel_bench import histograms
from hemlockkeel_bench import streams

ADAPTER_COUNTS = (3_000, 30_000, 90_000, 180_000)
TARGET_COUNTS = (9, 100, 500, 2_300)
LEASE_HOLDER_COUNTS = (3, 30, 300)
CHANGE_COUNTS = (250, 500, 1_000)
CONTROL_MEMBER_COUNTS = (1, 3, 5)
DECISION_COUNT = 2_000
MEBIBYTE = 1 << 20
Figures = dict[str, typing.Any]
Points = collections.abc.Sequence[tuple[float, float]]


def make_items(count: int) -> declaration_files.ItemMap:
    """Return the declarations of one deployment with a number of adapters."""
    base = declarations.BaseFile(
        sites={"north": declarations.Site(["a"])},
        deployments={
            "advice": declarations.DeclaredDeployment(
                base_model="m",
                service="s",
                adapters=[f"club-{n:06}@1" for n in range(count)],
            )
        },
    )
    return declaration_files.make_base_items(base)


def fit_and_print(name: str, points: Points) -> Figures:
    """Fit a line to points of size and value; print and return the fit."""
    fit = fits.fit_line(points)
    print(
        f"{name}: slope {fit.slope:.6g}, intercept {fit.intercept:.6g}, "
        f"largest error {fit.max_error_share:.1%}, points {points}",
        flush=True,
    )
    return dataclasses.asdict(fit)


def measure_memory(
    make: collections.abc.Callable[[], object],
) -> tuple[object, float]:
    """Return a new object and the MiB of memory that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, used_bytes / MEBIBYTE


def make_state(declared: declaration_files.ItemMap) -> machine.StateMachine:
    """Return a state machine with a configuration.

    :raises RuntimeError: when the configuration is refused.
    """
    state = machine.StateMachine()
    writes = [items.Write(key, value) for key, value in declared.items()]
    outcome = state.apply(
        1,
        commands.ApplyChange(
            change_id="c", operator="o", read_version=0, writes=writes
        ),
    )
    if outcome.status is not commands.Status.OK:
        raise RuntimeError(str(outcome.reasons))
    return state


def make_full_delta(
    state: machine.StateMachine, role: members.Role
) -> ttypes.ViewDelta:
    """Return the full view that a new follower of a role receives."""
    prefixes = view.get_prefixes(role, "north", "x")
    delta = state.view.make_full_delta(prefixes)
    view_items = [ttypes.ViewItem(key, value) for key, value in delta.items]
    return ttypes.ViewDelta(0, delta.to_version, True, view_items)


def encode(value: typing.Any) -> bytes:
    """Return the encoded form of a thrift message."""
    buffer = TTransport.TMemoryBuffer()
    value.write(frames.make_protocol(buffer))
    data: bytes = buffer.getvalue()
    return data


def count_wire_bytes(value: typing.Any) -> int:
    """Return the encoded size of a thrift message."""
    return len(encode(value))


def measure_adapters() -> Figures:
    """Measure memory, time and bytes by the number of declared adapters."""
    control_mib, entry_mib, agent_mib = [], [], []
    apply_s, join_s, snapshot_mib, join_mib = [], [], [], []
    for count in ADAPTER_COUNTS:
        declared = make_items(count)
        started_at = time.process_time()
        make_state(declared)
        apply_s.append((count, time.process_time() - started_at))
        snapshot = make_state(declared).encode_snapshot()
        snapshot_mib.append((count, len(snapshot) / MEBIBYTE))
        state, used_mib = measure_memory(
            functools.partial(restore_state, snapshot)
        )
        assert isinstance(state, machine.StateMachine)
        control_mib.append((count, used_mib))
        join_data = encode(make_full_delta(state, members.Role.ENTRY))
        join_mib.append((count, len(join_data) / MEBIBYTE))
        started_at = time.process_time()
        make_catalog(join_data)
        join_s.append((count, time.process_time() - started_at))
        _, used_mib = measure_memory(
            functools.partial(make_catalog, join_data)
        )
        entry_mib.append((count, used_mib))
        join_data = encode(make_full_delta(state, members.Role.AGENT))
        _, used_mib = measure_memory(
            functools.partial(make_catalog, join_data)
        )
        agent_mib.append((count, used_mib))
    return {
        "control_mib": fit_and_print("adapters/control_mib", control_mib),
        "control_apply_s": fit_and_print("adapters/control_apply_s", apply_s),
        "snapshot_mib": fit_and_print("adapters/snapshot_mib", snapshot_mib),
        "entry_mib": fit_and_print("adapters/entry_mib", entry_mib),
        "entry_join_s": fit_and_print("adapters/entry_join_s", join_s),
        "entry_join_mib": fit_and_print("adapters/entry_join_mib", join_mib),
        "agent_mib": fit_and_print("adapters/agent_mib", agent_mib),
    }


def restore_state(snapshot: bytes) -> machine.StateMachine:
    """Return a state machine restored from a snapshot."""
    state = machine.StateMachine()
    state.restore_snapshot(snapshot)
    return state


def make_catalog(data: bytes) -> catalog.Catalog:
    """Return the catalogue that a follower builds from an encoded delta."""
    delta = ttypes.ViewDelta()
    delta.read(frames.make_protocol(TTransport.TMemoryBuffer(data)))
    built = catalog.Catalog("north")
    built.apply(delta)
    return built


def make_target_view(
    number: int, loaded: frozenset[str]
) -> routing.TargetView:
    """Return the view that an entry has of a target."""
    return routing.TargetView(
        target_id=f"t{number}",
        data_centre=f"dc{number % 14}",
        running=number % 8,
        queued_by_rank=(0, number % 3, 0),
        batch_slots=8,
        unreported=0,
        adapters=loaded,
        loading=frozenset(),
        free_slots=0,
        eviction_value=0.01 * (number % 7),
    )


def measure_decisions() -> Figures:
    """Measure the time of a decision.

    Routing in an entry is measured by the number of targets, scheduling in an
    agent by the number of adapters.
    """
    routing_us = [(count, time_routing(count)) for count in TARGET_COUNTS]
    scheduling = [(count, time_scheduling(count)) for count in ADAPTER_COUNTS]
    return {
        "route_us": fit_and_print("decisions/route_us", routing_us),
        "agent_us": fit_and_print("decisions/agent_us", scheduling),
    }


def time_routing(targets: int) -> float:
    """Return the microseconds for a routing decision with 180,000 adapters."""
    rng = random.Random(1)
    names = [f"club-{n:06}@1" for n in range(ADAPTER_COUNTS[-1])]
    views = {}
    target_placement = placement.Placement()
    target_placement.set_targets({"s": [f"t{n}" for n in range(targets)]})
    for number in range(targets):
        loaded = frozenset(rng.sample(names, 8))
        views[f"t{number}"] = make_target_view(number, loaded)
        target_placement.adapter_index.update(f"t{number}", loaded)
    rates = popularity.Popularity()
    router = routing.LeastCost()
    chosen = rng.choices(names, k=DECISION_COUNT)
    started_at = time.process_time()
    for number, name in enumerate(chosen):
        rates.add(name, number * 0.01)
        rates.get_rate(name, number * 0.01)
        candidates = [
            views[t] for t in target_placement.find_candidates("s", name)
        ]
        router.choose(
            routing.RouteRequest(
                adapters.parse_adapter(name),
                "dc1",
                "",
                1.0,
                0.25,
                0.9,
                0.1,
                1,
            ),
            candidates,
        )
    return (time.process_time() - started_at) / DECISION_COUNT * 1e6


def time_scheduling(known_adapters: int) -> float:
    """Return the microseconds that an agent needs to schedule a request."""
    rng = random.Random(2)
    engine_scheduler = scheduler.EngineScheduler(
        scheduler.SchedulerLimits(8, 8), eviction.LowestRequestRate()
    )
    refs = [
        adapters.AdapterRef(
            ids.AdapterName(f"club-{n:06}"), ids.AdapterVersion("1")
        )
        for n in range(known_adapters)
    ]
    chosen = rng.choices(refs, k=DECISION_COUNT)
    started_at = time.process_time()
    for number, ref in enumerate(chosen):
        now = number * 0.1
        work = scheduler.WorkItem(f"r{number}", ref, 1, now, now + 60, "d")
        engine_scheduler.admit(work, now)
        engine_scheduler.hints.record(ref, "e", rng.random(), now)
        for load in engine_scheduler.find_pending_loads(now):
            if engine_scheduler.get_free_slots() <= 0:
                victim = engine_scheduler.choose_victim(now)
                if victim is None:
                    break
                engine_scheduler.evict(victim)
            engine_scheduler.begin_load(load.ref, now)
            engine_scheduler.end_load(load.ref, True, now)
        for started in engine_scheduler.start_ready(now):
            engine_scheduler.finish(started.request_id, now)
        engine_scheduler.get_eviction_value(now)
    return (time.process_time() - started_at) / DECISION_COUNT * 1e6


def make_control(
    folder: pathlib.Path, bootstrap: bool
) -> control_process.ControlProcess:
    """Return a control member that has not been started."""
    return control_process.ControlProcess(
        control_process.ControlSettings(
            data_dir=folder,
            secret=dev.DEV_SECRET,
            admin_token=dev.DEV_TOKEN,
            bootstrap=bootstrap,
        ),
        metrics.Metrics(),
    )


class ControlGroup:
    """A cluster of control members as threads of this process."""

    def __init__(self, size: int) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="hemlockkeel-slope-")
        root = pathlib.Path(self.folder.name)
        self.members = [
            make_control(root / f"m{n}", n == 0) for n in range(size)
        ]
        for member in self.members:
            member.start()
        dev.wait_until(self.members[0].node.has_lease, "a leader")
        for member in self.members[1:]:
            dev.wait_until(
                functools.partial(self.add_member, member),
                "the member votes",
            )
        dev.wait_until(self.has_serving_leader, "a leader serves")

    def add_member(self, member: control_process.ControlProcess) -> bool:
        """Propose a member unless it is known; return whether it can vote."""
        node = self.members[0].node
        with node.lock:
            membership = node.core.membership
        known = membership.get(member.node.member_id)
        if known is not None:
            return known.voter
        peer = messages.Peer(member.node.member_id, member.address, False)
        node.propose(
            core.encode_membership(
                messages.Membership([*membership.peers, peer])
            ),
            messages.EntryKind.MEMBERSHIP,
        )
        return False

    def has_serving_leader(self) -> bool:
        """Return whether a member has the lease and serves as the leader."""
        return any(
            member.node.has_lease() and member.service.leading
            for member in self.members
        )

    @property
    def leader(self) -> control_process.ControlProcess:
        """Return the member that serves as the leader.

        :raises StopIteration: when there is none.
        """
        return next(m for m in self.members if m.service.leading)

    def make_client(self, name: str) -> control_client.ControlClient:
        """Return a client of the control members."""
        return control_client.ControlClient(
            [member.address for member in self.members], dev.DEV_SECRET, name
        )

    def stop(self) -> None:
        """Stop every member."""
        for member in self.members:
            member.stop()
        self.folder.cleanup()


def make_begin_request(number: int) -> commands.BeginRequest:
    """Return a command that commits the record of a new request."""
    return commands.BeginRequest(
        key=f"k{number}",
        caller="c",
        digest="0" * 32,
        request_id=f"r{number}",
        target_id="t1",
        target_incarnation=1,
    )


def measure_commits() -> Figures:
    """Measure commits a second and their latency by the number of members."""
    figures: Figures = {}
    for size in CONTROL_MEMBER_COUNTS:
        group = ControlGroup(size)
        durations = histograms.DurationHistogram()
        client = group.make_client("bench")

        def commit(
            number: int,
            client: control_client.ControlClient = client,
            durations: histograms.DurationHistogram = durations,
        ) -> None:
            started_at = time.monotonic()
            client.propose(make_begin_request(number), 10.0)
            durations.record(time.monotonic() - started_at)

        proposal_count = 1_500
        started_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(16) as executor:
            list(executor.map(commit, range(proposal_count)))
        elapsed_s = time.monotonic() - started_at
        figures[str(size)] = {
            "commits_per_s": round(proposal_count / elapsed_s, 1),
            "p50_s": durations.get_percentile_s(50),
            "p99_s": durations.get_percentile_s(99),
        }
        print(f"commits/{size}: {figures[str(size)]}", flush=True)
        figures[str(size)]["failover_s"] = measure_failover(group)
        group.stop()
    return figures


def measure_failover(group: ControlGroup) -> float | None:
    """Stop the leader; return the seconds until another one serves.

    None for fewer than three members, of which no quorum would be left.
    """
    if len(group.members) < 3:
        return None
    leader = group.leader
    stopped_at = time.monotonic()
    leader.stop()
    group.members.remove(leader)
    dev.wait_until(group.has_serving_leader, "the next leader")
    seconds = round(time.monotonic() - stopped_at, 3)
    print(f"failover/{len(group.members) + 1}: {seconds} s", flush=True)
    return seconds


def measure_lease_holders() -> Figures:
    """Measure the leader's load and delays by the number of lease holders.

    These are its processor time, the time until a change is in force, and the
    bytes of a heartbeat.
    """
    cpu_s, in_force_s = [], []
    wire_bytes: Figures = {}
    for count in LEASE_HOLDER_COUNTS:
        group = ControlGroup(1)
        control = group.members[0]
        clients = [group.make_client(f"h{n}") for n in range(8)]
        descriptions = [make_description(n) for n in range(count)]
        with concurrent.futures.ThreadPoolExecutor(8) as executor:
            registrations = [
                executor.submit(
                    clients[n % 8].propose,
                    commands.RegisterMember(description=description),
                    10.0,
                )
                for n, description in enumerate(descriptions)
            ]
            incarnations = [f.result().incarnation for f in registrations]
        heartbeats = [
            make_heartbeat(description, incarnation)
            for description, incarnation in zip(
                descriptions, incarnations, strict=True
            )
        ]
        cpu_s.append((count, time_heartbeats(control, heartbeats)))
        in_force_s.append((count, time_in_force(control, heartbeats)))
        wire_bytes = count_heartbeat_bytes(control, heartbeats[0])
        group.stop()
    print(f"holders/wire: {wire_bytes}", flush=True)
    return {
        "leader_cpu_s_a_second": fit_and_print("holders/leader_cpu", cpu_s),
        "in_force_s": fit_and_print("holders/in_force_s", in_force_s),
        "wire_bytes": wire_bytes,
    }


def make_description(number: int) -> members.Description:
    """Return the description with which an agent registers."""
    name = f"target-{number}"
    return members.Description(
        name,
        members.Role.AGENT,
        "127.0.0.1:1",
        "a",
        "north",
        members.TargetInfo(name, members.TargetKind.ENGINE, "s", "m", 8, 8),
        f"nonce-{number}",
    )


def make_heartbeat(
    description: members.Description, incarnation: int
) -> ttypes.Heartbeat:
    """Return a heartbeat of a registered agent that has no view yet."""
    return ttypes.Heartbeat(
        description.member_id,
        incarnation,
        msgspec.msgpack.encode(description),
        0,
        False,
        "",
    )


def time_heartbeats(
    control: control_process.ControlProcess, heartbeats: list[ttypes.Heartbeat]
) -> float:
    """Return the leader's processor seconds a second.

    Each lease holder sends two heartbeats a second.
    """
    for heartbeat in heartbeats:
        heartbeat.view_version = control.applier.state.view.version
    rounds = max(1, 3_000 // len(heartbeats))
    started_at = time.thread_time()
    for _ in range(rounds):
        for heartbeat in heartbeats:
            reply = control.service.heartbeat(heartbeat)
            count_wire_bytes(reply)
    cpu_s_each = (time.thread_time() - started_at) / (rounds * len(heartbeats))
    return cpu_s_each * len(heartbeats) * 2


def time_in_force(
    control: control_process.ControlProcess, heartbeats: list[ttypes.Heartbeat]
) -> float:
    """Return the seconds until all lease holders have confirmed a change.

    Each holder sends a heartbeat every 0.5 s, and they are spread evenly over
    that interval. A holder that receives a delta confirms it with another
    heartbeat at once.
    """
    deployment = declarations.Deployment(base_model="m", service="s")
    key = items.make_key(items.BASE_LAYER, items.Kind.DEPLOYMENT, "d")
    write = items.Write(key, items.encode_value(deployment))
    started_at = time.monotonic()
    applied = control.service.commit(
        commands.ApplyChange(
            change_id="force", operator="o", read_version=0, writes=[write]
        )
    )
    spacing_s = 0.5 / len(heartbeats)
    for heartbeat in heartbeats:
        delay_s = spacing_s - (time.monotonic() - started_at) % spacing_s
        time.sleep(delay_s)
        reply = control.service.heartbeat(heartbeat)
        heartbeat.view_version = reply.delta.to_version
        control.service.heartbeat(heartbeat)
    dev.wait_until(
        lambda: not control.service.find_lagging(applied.index), "in force"
    )
    return time.monotonic() - started_at


def count_heartbeat_bytes(
    control: control_process.ControlProcess, heartbeat: ttypes.Heartbeat
) -> Figures:
    """Return the encoded bytes of a heartbeat and its reply.

    ``call_overhead`` is what frames and thrift message headers add to both.
    """
    reply = control.service.heartbeat(heartbeat)
    # A thrift message header has 12 bytes besides the name: protocol version,
    # length of the name and sequence number.
    overhead = 2 * (frames.HEADER.size + len("heartbeat") + 12)
    return {
        "heartbeat": count_wire_bytes(heartbeat),
        "reply": count_wire_bytes(reply),
        "call_overhead": overhead,
    }


def measure_changes() -> Figures:
    """Measure log and snapshot size and restart time by accepted changes."""
    log_kib, restart_s, snapshot_kib = [], [], []
    for count in CHANGE_COUNTS:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            control = make_control(folder, True)
            control.start()
            dev.wait_until(control.node.has_lease, "a leader")
            for number in range(count):
                control.service.commit(make_change(number))
            log_kib.append((count, control.node.storage.log_bytes / 1024))
            snapshot = len(control.applier.encode())
            snapshot_kib.append((count, snapshot / 1024))
            control.stop()
            started_at = time.monotonic()
            control = make_control(folder, True)
            control.start()
            dev.wait_until(
                lambda control=control, count=count: (  # type: ignore[misc]
                    len(control.applier.state.change_outcomes) == count
                ),
                "the state is restored",
            )
            restart_s.append((count, time.monotonic() - started_at))
            control.stop()
    return {
        "log_kib": fit_and_print("changes/log_kib", log_kib),
        "snapshot_kib": fit_and_print("changes/snapshot_kib", snapshot_kib),
        "restart_s": fit_and_print("changes/restart_s", restart_s),
    }


def make_change(number: int) -> commands.ApplyChange:
    """Return a change of one deployment."""
    deployment = declarations.Deployment(base_model="m", service="s")
    key = items.make_key(items.BASE_LAYER, items.Kind.DEPLOYMENT, f"d{number}")
    return commands.ApplyChange(
        change_id=f"c{number}",
        operator="o",
        read_version=1 << 40,
        writes=[items.Write(key, items.encode_value(deployment))],
    )


def measure_conflicts() -> Figures:
    """Simulate how many concurrent changes each conflict rule refuses.

    Each operator reads the configuration and submits a change of 1 to 5 of
    3,000 items, after 60 s on average (exponential distribution). There are
    1,600 changes, spread over a day or, as a burst, over an hour.
    """
    figures: Figures = {}
    rules = {
        "version_match": conflicts.VersionMatch(),
        "certification": conflicts.WritesetCertification(),
    }
    for period, seconds in (("day", 86_400.0), ("burst", 3_600.0)):
        for name, rule in rules.items():
            share = simulate_race(rule, seconds, 1_600)
            figures[f"{period}_{name}_refused_share"] = round(share, 4)
    print(f"races: {figures}", flush=True)
    return figures


def simulate_race(
    rule: conflicts.ConflictRule, seconds: float, changes: int
) -> float:
    """Return the share of changes that a rule refuses in a period."""
    rng = random.Random(3)
    events = []
    for _ in range(changes):
        submitted = rng.uniform(0.0, seconds)
        events.append((submitted, submitted - rng.expovariate(1.0 / 60.0)))
    events.sort()
    # Times and versions of the accepted changes.
    history: list[tuple[float, int]] = [(float("-inf"), 0)]
    item_versions: dict[str, int] = {}
    refused = 0
    for submitted, read_at in events:
        read_version = max(version for at, version in history if at <= read_at)
        keys = [f"i{rng.randrange(3_000)}" for _ in range(rng.randint(1, 5))]
        version = history[-1][1]
        if rule.find_conflicts(keys, read_version, version, item_versions):
            refused += 1
            continue
        history.append((submitted, version + 1))
        item_versions.update(dict.fromkeys(keys, version + 1))
    return refused / changes


def measure_streams() -> Figures:
    """Measure processor time a token by the number of concurrent streams."""
    figures = []
    for count in (8, 32, 64):
        figure = streams.measure_streams(count)
        figures.append(figure)
        print(f"streams/{count}: {figure}", flush=True)
    return {"points": figures}


MEASUREMENTS: dict[str, collections.abc.Callable[[], Figures]] = {
    "adapters": measure_adapters,
    "decisions": measure_decisions,
    "holders": measure_lease_holders,
    "commits": measure_commits,
    "changes": measure_changes,
    "races": measure_conflicts,
    "streams": measure_streams,
}


def main(only: str = "") -> None:
    """Run all measurements, or the one with the given name."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    figures: Figures = {}
    for name, measure in MEASUREMENTS.items():
        if only in ("", name):
            figures[name] = measure()
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    figures["peak_mib"] = round(peak_mib, 1)
    print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    typer.run(main)
