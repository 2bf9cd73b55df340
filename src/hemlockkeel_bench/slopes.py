"""Measures how state, processor time and bytes grow with size.

``python -m hemlockkeel_bench.slopes [--only NAME]`` prints a line a
measurement and, last, one JSON object with every point and fit.
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
    """Return a configuration with a number of adapters."""
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
    """Print and return a measurement with its fit."""
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
    """Return an object and the MiB that making it kept."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept, used / MEBIBYTE


def make_state(wanted: declaration_files.ItemMap) -> machine.StateMachine:
    """Return a state machine that accepted a configuration."""
    state = machine.StateMachine()
    writes = [items.Write(key, value) for key, value in wanted.items()]
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
    """Return what a follower of a role joins with."""
    prefixes = view.get_prefixes(role, "north", "x")
    delta = state.view.make_full_delta(prefixes)
    listed = [ttypes.ViewItem(key, value) for key, value in delta.items]
    return ttypes.ViewDelta(0, delta.to_version, True, listed)


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
    """Measure memory, time and bytes against declared adapters."""
    control_mib, entry_mib, agent_mib = [], [], []
    apply_s, join_s, snapshot_mib, join_mib = [], [], [], []
    for count in ADAPTER_COUNTS:
        wanted = make_items(count)
        begun = time.process_time()
        make_state(wanted)
        apply_s.append((count, time.process_time() - begun))
        snapshot = make_state(wanted).encode_snapshot()
        snapshot_mib.append((count, len(snapshot) / MEBIBYTE))
        kept, used = measure_memory(functools.partial(restore_state, snapshot))
        assert isinstance(kept, machine.StateMachine)
        control_mib.append((count, used))
        joining = encode(make_full_delta(kept, members.Role.ENTRY))
        join_mib.append((count, len(joining) / MEBIBYTE))
        begun = time.process_time()
        make_catalog(joining)
        join_s.append((count, time.process_time() - begun))
        _, used = measure_memory(functools.partial(make_catalog, joining))
        entry_mib.append((count, used))
        joining = encode(make_full_delta(kept, members.Role.AGENT))
        _, used = measure_memory(functools.partial(make_catalog, joining))
        agent_mib.append((count, used))
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
    """Return a state machine made from a snapshot."""
    state = machine.StateMachine()
    state.restore_snapshot(snapshot)
    return state


def make_catalog(data: bytes) -> catalog.Catalog:
    """Return a follower's copy of the view from an encoded delta."""
    delta = ttypes.ViewDelta()
    delta.read(frames.make_protocol(TTransport.TMemoryBuffer(data)))
    copy = catalog.Catalog("north")
    copy.apply(delta)
    return copy


def make_target_view(number: int, held: frozenset[str]) -> routing.TargetView:
    """Return a target as an entry sees it."""
    return routing.TargetView(
        target_id=f"t{number}",
        data_centre=f"dc{number % 14}",
        running=number % 8,
        queued_by_rank=(0, number % 3, 0),
        batch_slots=8,
        unreported=0,
        adapters=held,
        loading=frozenset(),
        free_slots=0,
        eviction_value=0.01 * (number % 7),
    )


def measure_decisions() -> Figures:
    """Measure the cost of a routing decision against targets."""
    points = []
    for count in TARGET_COUNTS:
        points.append((count, time_routing(count)))
    agent = [(count, time_scheduling(count)) for count in ADAPTER_COUNTS]
    return {
        "route_us": fit_and_print("decisions/route_us", points),
        "agent_us": fit_and_print("decisions/agent_us", agent),
    }


def time_routing(targets: int) -> float:
    """Return microseconds a routing decision, with 180,000 adapters."""
    rng = random.Random(1)
    names = [f"club-{n:06}@1" for n in range(ADAPTER_COUNTS[-1])]
    views = {}
    place = placement.Placement()
    place.set_targets({"s": [f"t{n}" for n in range(targets)]})
    for number in range(targets):
        held = frozenset(rng.sample(names, 8))
        views[f"t{number}"] = make_target_view(number, held)
        place.adapter_index.update(f"t{number}", held)
    rates = popularity.Popularity()
    router = routing.LeastCost()
    chosen = rng.choices(names, k=DECISION_COUNT)
    begun = time.process_time()
    for number, name in enumerate(chosen):
        rates.add(name, number * 0.01)
        rates.get_rate(name, number * 0.01)
        found = [views[t] for t in place.find_candidates("s", name)]
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
            found,
        )
    return (time.process_time() - begun) / DECISION_COUNT * 1e6


def time_scheduling(known_adapters: int) -> float:
    """Return microseconds an agent decides on one request."""
    rng = random.Random(2)
    state = scheduler.EngineScheduler(
        scheduler.SchedulerLimits(8, 8), eviction.LowestRequestRate()
    )
    refs = [
        adapters.AdapterRef(
            ids.AdapterName(f"club-{n:06}"), ids.AdapterVersion("1")
        )
        for n in range(known_adapters)
    ]
    chosen = rng.choices(refs, k=DECISION_COUNT)
    begun = time.process_time()
    for number, ref in enumerate(chosen):
        now = number * 0.1
        work = scheduler.WorkItem(f"r{number}", ref, 1, now, now + 60, "d")
        state.admit(work, now)
        state.hints.record(ref, "e", rng.random(), now)
        for want in state.find_pending_loads(now):
            if state.get_free_slots() <= 0:
                victim = state.choose_victim(now)
                if victim is None:
                    break
                state.evict(victim)
            state.begin_load(want.ref, now)
            state.end_load(want.ref, True, now)
        for started in state.start_ready(now):
            state.finish(started.request_id, now)
        state.get_eviction_value(now)
    return (time.process_time() - begun) / DECISION_COUNT * 1e6


def make_control(
    folder: pathlib.Path, bootstrap: bool
) -> control_process.ControlProcess:
    """Return a control member."""
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
    """Control members as threads of this process."""

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
        """Propose a member if need be; tell whether it votes."""
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
        """Tell whether some member leads and serves."""
        return any(
            member.node.has_lease() and member.service.leading
            for member in self.members
        )

    @property
    def leader(self) -> control_process.ControlProcess:
        """Return the member that leads."""
        return next(m for m in self.members if m.service.leading)

    def make_client(self, name: str) -> control_client.ControlClient:
        """Return a client of the group."""
        return control_client.ControlClient(
            [member.address for member in self.members], dev.DEV_SECRET, name
        )

    def stop(self) -> None:
        """Stop every member."""
        for member in self.members:
            member.stop()
        self.folder.cleanup()


def make_begin_request(number: int) -> commands.BeginRequest:
    """Return a request record to commit."""
    return commands.BeginRequest(
        key=f"k{number}",
        caller="c",
        digest="0" * 32,
        request_id=f"r{number}",
        target_id="t1",
        target_incarnation=1,
    )


def measure_commits() -> Figures:
    """Measure commits a second and their latency against members."""
    found: Figures = {}
    for size in CONTROL_MEMBER_COUNTS:
        group = ControlGroup(size)
        durations = histograms.DurationHistogram()
        client = group.make_client("bench")

        def commit(
            number: int,
            client: control_client.ControlClient = client,
            durations: histograms.DurationHistogram = durations,
        ) -> None:
            begun = time.monotonic()
            client.propose(make_begin_request(number), 10.0)
            durations.record(time.monotonic() - begun)

        total = 1_500
        begun = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(16) as executor:
            list(executor.map(commit, range(total)))
        elapsed = time.monotonic() - begun
        found[str(size)] = {
            "commits_per_s": round(total / elapsed, 1),
            "p50_s": durations.get_percentile_s(50),
            "p99_s": durations.get_percentile_s(99),
        }
        print(f"commits/{size}: {found[str(size)]}", flush=True)
        found[str(size)]["failover_s"] = measure_failover(group)
        group.stop()
    return found


def measure_failover(group: ControlGroup) -> float | None:
    """Return the seconds without a serving leader after it stops."""
    if len(group.members) < 3:
        return None
    leader = group.leader
    begun = time.monotonic()
    leader.stop()
    group.members.remove(leader)
    dev.wait_until(group.has_serving_leader, "the next leader")
    seconds = round(time.monotonic() - begun, 3)
    print(f"failover/{len(group.members) + 1}: {seconds} s", flush=True)
    return seconds


def measure_lease_holders() -> Figures:
    """Measure a leader's cost a lease holder and the time to in force."""
    cpu, force = [], []
    wire: Figures = {}
    for count in LEASE_HOLDER_COUNTS:
        group = ControlGroup(1)
        control = group.members[0]
        clients = [group.make_client(f"h{n}") for n in range(8)]
        descriptions = [make_description(n) for n in range(count)]
        with concurrent.futures.ThreadPoolExecutor(8) as executor:
            register = [
                executor.submit(
                    clients[n % 8].propose,
                    commands.RegisterMember(description=description),
                    10.0,
                )
                for n, description in enumerate(descriptions)
            ]
            incarnations = [f.result().incarnation for f in register]
        beats = [
            make_heartbeat(description, incarnation)
            for description, incarnation in zip(
                descriptions, incarnations, strict=True
            )
        ]
        cpu.append((count, time_heartbeats(control, beats)))
        force.append((count, time_in_force(control, beats)))
        wire = count_heartbeat_bytes(control, beats[0])
        group.stop()
    print(f"holders/wire: {wire}", flush=True)
    return {
        "leader_cpu_s_a_second": fit_and_print("holders/leader_cpu", cpu),
        "in_force_s": fit_and_print("holders/in_force_s", force),
        "wire_bytes": wire,
    }


def make_description(number: int) -> members.Description:
    """Return an agent's description."""
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
    """Return a heartbeat."""
    return ttypes.Heartbeat(
        description.member_id,
        incarnation,
        msgspec.msgpack.encode(description),
        0,
        False,
        "",
    )


def time_heartbeats(
    control: control_process.ControlProcess, beats: list[ttypes.Heartbeat]
) -> float:
    """Return the leader's processor seconds a second at two beats each."""
    for beat in beats:
        beat.view_version = control.applier.state.view.version
    rounds = max(1, 3_000 // len(beats))
    begun = time.thread_time()
    for _ in range(rounds):
        for beat in beats:
            reply = control.service.heartbeat(beat)
            count_wire_bytes(reply)
    each = (time.thread_time() - begun) / (rounds * len(beats))
    return each * len(beats) * 2


def time_in_force(
    control: control_process.ControlProcess, beats: list[ttypes.Heartbeat]
) -> float:
    """Return how long a change takes until all holders confirmed it.

    Holders beat every half second at evenly spread moments; each confirms
    at its next beat, which follows at once after a delta.
    """
    deployment = declarations.Deployment(base_model="m", service="s")
    key = items.make_key(items.BASE_LAYER, items.Kind.DEPLOYMENT, "d")
    write = items.Write(key, items.encode_value(deployment))
    begun = time.monotonic()
    applied = control.service.commit(
        commands.ApplyChange(
            change_id="force", operator="o", read_version=0, writes=[write]
        )
    )
    spacing = 0.5 / len(beats)
    for beat in beats:
        pause = spacing - (time.monotonic() - begun) % spacing
        time.sleep(pause)
        reply = control.service.heartbeat(beat)
        beat.view_version = reply.delta.to_version
        control.service.heartbeat(beat)
    dev.wait_until(
        lambda: not control.service.find_lagging(applied.index), "in force"
    )
    return time.monotonic() - begun


def count_heartbeat_bytes(
    control: control_process.ControlProcess, beat: ttypes.Heartbeat
) -> Figures:
    """Return the bytes of one heartbeat and its reply."""
    reply = control.service.heartbeat(beat)
    overhead = 2 * (frames.HEADER.size + len("heartbeat") + 12)
    return {
        "heartbeat": count_wire_bytes(beat),
        "reply": count_wire_bytes(reply),
        "call_overhead": overhead,
    }


def measure_changes() -> Figures:
    """Measure log and snapshot size and restart time against changes."""
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
            begun = time.monotonic()
            control = make_control(folder, True)
            control.start()
            dev.wait_until(
                lambda control=control, count=count: (  # type: ignore[misc]
                    len(control.applier.state.change_outcomes) == count
                ),
                "the state is back",
            )
            restart_s.append((count, time.monotonic() - begun))
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
    """Measure refusals of both acceptance rules under racing operators.

    Operators read, think for a minute on average, and submit a change of
    one to five of 3,000 items. A day has 1,600 changes; a burst has the
    same number in an hour.
    """
    found: Figures = {}
    rules = {
        "version_match": conflicts.VersionMatch(),
        "certification": conflicts.WritesetCertification(),
    }
    for period, seconds in (("day", 86_400.0), ("burst", 3_600.0)):
        for name, rule in rules.items():
            share = simulate_race(rule, seconds, 1_600)
            found[f"{period}_{name}_refused_share"] = round(share, 4)
    print(f"races: {found}", flush=True)
    return found


def simulate_race(
    rule: conflicts.ConflictRule, seconds: float, changes: int
) -> float:
    """Return the share of changes that a rule refuses."""
    rng = random.Random(3)
    events = []
    for _ in range(changes):
        submitted = rng.uniform(0.0, seconds)
        events.append((submitted, submitted - rng.expovariate(1.0 / 60.0)))
    events.sort()
    history: list[tuple[float, int]] = [(float("-inf"), 0)]
    item_versions: dict[str, int] = {}
    refused = 0
    for submitted, read_at in events:
        read_version = max(v for at, v in history if at <= read_at)
        keys = [f"i{rng.randrange(3_000)}" for _ in range(rng.randint(1, 5))]
        version = history[-1][1]
        if rule.find_conflicts(keys, read_version, version, item_versions):
            refused += 1
            continue
        history.append((submitted, version + 1))
        item_versions.update(dict.fromkeys(keys, version + 1))
    return refused / changes


def measure_streams() -> Figures:
    """Measure processor time a token against concurrent streams."""
    points = []
    for count in (8, 32, 64):
        point = streams.measure_streams(count)
        points.append(point)
        print(f"streams/{count}: {point}", flush=True)
    return {"points": points}


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
    """Run all measurements, or one."""
    logging.set_verbosity(logging.ERROR)
    std_logging.getLogger("waitress").setLevel(std_logging.CRITICAL)
    found: Figures = {}
    for name, measure in MEASUREMENTS.items():
        if only in ("", name):
            found[name] = measure()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    found["peak_mib"] = round(peak, 1)
    print(json.dumps(found), flush=True)


if __name__ == "__main__":
    typer.run(main)
