"""Platform, operator, replicas and clients of a small deployment.

They follow the users' pages and use loopback addresses only. Every process of
the system is started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "summons.example"
ZONES = ("hoan-kiem", "cau-giay", "long-bien", "ha-dong")
HEARTBEAT_S = 1.2
# From the exit of a process to its next start.
RESTART_DELAY_S = 0.3
# Settings that are the same on all machines of the sheet `trieutap-hn`.
BOUNDS = {
    "seedLagS": "3",
    "reuseAfterS": "2",
    "contactMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "graceS": "8",
    "lossSlackMs": "200",
    "configApplyMs": "2000",
    "rollbackSlackMs": "250",
    "maxStretchMs": "5000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "retryBudgetSlack": "54",
    "recoverS": "12",
    "passMs": "120",
    "retryAfterS": "0",
    "requireFence": "true",
    "leaseMs": "3000",
    "thawSlackMs": "300",
    "ceilingWindowS": "5",
    "ceilingOverage": "1.1",
    "version_ms": "5000",
}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.stream = (folder / "record.txt").open("w")
        self.begun_at = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Write one line with the seconds since the start."""
        now = time.monotonic() - self.begun_at
        rest = " ".join(f"{key}={value}" for key, value in fields.items())
        self.stream.write(f"{now:8.3f} {what} {rest}\n")
        self.stream.flush()


def find_free_ports(host: str, count: int) -> list[int]:
    """Return different free ports."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


def find_free_range(host: str, size: int) -> int:
    """Return the first of several free ports in a row."""
    rng = random.Random()
    while True:
        first = rng.randrange(20000, 32000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + size):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((host, port))
            except OSError:
                continue
            return first


class Machine:
    """One machine of the system with one process, as the platform runs it."""

    def __init__(
        self, platform: "Platform", name: str, role: str, ip: str,
        settings: dict[str, str], memory_mb: int,
    ) -> None:
        self.platform = platform
        self.name = name
        self.role = role
        self.ip = ip
        self.settings = settings
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.over_memory = 0
        self.path = platform.folder / f"{name}.conf"
        self.log = (platform.folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None
        self.task: asyncio.Task[None] | None = None
        self.held = False

    def write_settings(self, bootstrap: bool) -> None:
        """Write the settings file."""
        lines = {**self.settings, "bootstrap": str(bootstrap).lower()}
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self.path.write_text(text)

    async def spawn(self) -> None:
        """Start the process with the command of the deploy file."""
        port = find_free_ports("127.0.0.1", 1)[0]
        words = self.platform.deploy["roles"][self.role]["run"].split()
        words[words.index("--metrics-port") + 1] = str(port)
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "HEMLOCKKEEL_NODE_FILE": str(self.path),
            },
            stdout=self.log,
            stderr=self.log,
        )
        self.platform.record.write("started", machine=self.name)

    async def run(self) -> None:
        """Start the process again whenever it has ended."""
        while True:
            while self.held:
                await asyncio.sleep(0.02)
            await self.spawn()
            code = await self.process.wait()
            self.platform.record.write("ended", machine=self.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)

    async def watch_memory(self) -> None:
        """Kill the process if it uses more than its machine's memory."""
        while True:
            await asyncio.sleep(0.02)
            used_mb = self.read_memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.over_memory += 1
                self.platform.record.write(
                    "over_memory", machine=self.name,
                    used_mb=round(used_mb), limit_mb=self.memory_mb,
                )
                self.kill(signal.SIGKILL)
                await asyncio.sleep(RESTART_DELAY_S)

    def read_memory_mb(self) -> float:
        """Return the anonymous memory of the process, in MiB."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
        return 0.0

    def remove(self) -> None:
        """Take the machine away for good, without SIGTERM."""
        self.held = True
        self.platform.record.write("removed", machine=self.name)
        self.kill(signal.SIGKILL)

    async def stop(self) -> None:
        """Take the machine away for good, with SIGTERM first."""
        self.held = True
        self.platform.record.write("sigterm", machine=self.name)
        self.kill(signal.SIGTERM)
        try:
            async with asyncio.timeout(float(BOUNDS["graceS"])):
                await self.process.wait()
        except TimeoutError:
            self.kill(signal.SIGKILL)

    async def lose_disk(self, down_s: float) -> None:
        """End the process, empty its disk, and start it after a while."""
        self.held = True
        self.platform.record.write("disk_lost", machine=self.name)
        self.kill(signal.SIGKILL)
        await self.process.wait()
        shutil.rmtree(self.settings["dataDir"], ignore_errors=True)
        await asyncio.sleep(down_s)
        self.held = False

    def kill(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Platform:
    """Starts machines, and ends all that it has started."""

    def __init__(self, record: Record, core: int = 3) -> None:
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{1 + os.getpid() % 250}"
        first = f"{self.network}.1.1"
        self.front, self.ready, self.api, self.app = find_free_ports(first, 4)
        self.links = find_free_range(first, 16)
        self.core_count = core
        self.machines: dict[str, Machine] = {}
        self.replicas: list[Replica] = []
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def control_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that serve control."""
        return [
            (f"{self.network}.1.{number}", self.api)
            for number in range(1, self.core_count + 1)
        ]

    def add_machine(
        self, role: str, number: int, memory_mb: int, max_fds: int = 4096,
        **extra: str,
    ) -> Machine:
        """Add a machine; `start` starts it."""
        group = {"control": 1, "entry": 2, "agent": 3}[role]
        ip = f"{self.network}.{group}.{number}"
        name = f"{role}-{number}"
        kinds = {
            "control": ("core", "control"),
            "entry": ("edge", "edge"),
            "agent": ("side", "side"),
        }
        machine_class, serves = kinds[role]
        settings = {
            "nodeName": name,
            "role": role,
            "machineClass": machine_class,
            "serves": serves,
            "ip": ip,
            "zone": ZONES[0],
            "region": "hanoi",
            **{f"zones.{zone}": "hanoi" for zone in ZONES},
            "portRange": f"{self.links},{self.links + 15}",
            "seedNodes": ",".join(
                f"{host}:{port}" for host, port in self.control_addresses[:3]
            ),
            "countsAsLoss": str(role == "control").lower(),
            "limits.memoryMb": str(memory_mb),
            "limits.maxFds": str(max_fds),
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": "1200",
            "faultTolerance.machines": "1",
            "configMode": "highest",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
            **extra,
        }
        if role == "entry":
            settings["listen.front"] = f"{ip}:{self.front}"
            settings["listen.ready"] = f"{ip}:{self.ready}"
        if role == "control":
            settings["listen.control"] = f"{ip}:{self.api}"
            settings["dataDir"] = str(self.folder / f"data-{number}")
        machine = Machine(self, name, role, ip, settings, memory_mb)
        self.machines[name] = machine
        return machine

    async def start(self) -> None:
        """Start all machines, watch their memory, and await the entries."""
        for machine in self.machines.values():
            self.start_machine(machine, bootstrap=True)

    def start_machine(self, machine: Machine, bootstrap: bool) -> None:
        """Start a machine, and watch its memory."""
        machine.write_settings(bootstrap)
        machine.task = asyncio.create_task(machine.run())
        self.tasks.append(machine.task)
        self.tasks.append(asyncio.create_task(machine.watch_memory()))

    def disable_bootstrap(self) -> None:
        """Write the settings of every later start."""
        for machine in self.machines.values():
            machine.write_settings(bootstrap=False)

    async def wait_ready(self, count: int, timeout_s: float = 25.0) -> None:
        """Wait until that many entries are ready.

        :raises TimeoutError: when that takes too long.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                ready = 0
                for machine in self.machines.values():
                    if machine.role != "entry":
                        continue
                    with contextlib.suppress(OSError, ValueError):
                        answer = await call(
                            (machine.ip, self.ready), "GET", "/ready"
                        )
                        ready += answer.status == 200
                if ready >= count:
                    return
                await asyncio.sleep(0.1)

    async def put_config(self, config: dict[str, object]) -> None:
        """Send a configuration as the operator does, until acknowledged."""
        body = json.dumps(config).encode()
        for turn in range(60):
            address = self.control_addresses[turn % self.core_count]
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                async with asyncio.timeout(1.0):
                    answer = await call(address, "PUT", "/config", body)
                if answer.status == 200:
                    self.record.write("config", version=config["version"])
                    return
                if answer.status in (400, 409, 412, 413, 422):
                    raise RuntimeError(f"refused: {answer.body!r}")
            await asyncio.sleep(0.3)
        raise TimeoutError("the configuration was not acknowledged")

    async def stop(self) -> None:
        """End every process and remove the folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for machine in self.machines.values():
            machine.kill(signal.SIGCONT)
            machine.kill(signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
            machine.log.close()
        for replica in self.replicas:
            await replica.stop()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """A response that was read completely."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message.

    :raises ConnectionError: when the connection ends before.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("closed before the head") from error
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        key, separator, value = line.partition(":")
        if separator:
            headers[key.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body that the headers announce.

    :raises ConnectionError: when it ends early.
    """
    try:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await reader.readexactly(
                int(headers.get("content-length", "0"))
            )
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("closed before the end") from error


async def exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
    method: str, path: str, body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request on a connection and return the response."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": HOST, **(headers or {})}
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{key}: {value}" for key, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    first, received = await read_head(reader)
    status = int(first.split()[1])
    content = b""
    if method != "HEAD":
        content = await read_body(reader, received)
    return Answer(status, received, content)


async def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Make a call on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address, limit=2**20)
    try:
        return await exchange(reader, writer, method, path, body, headers)
    finally:
        writer.close()


class Replica:
    """A sound replica, which announces itself to the control addresses."""

    def __init__(
        self, platform: Platform, name: str, service: str, number: int,
        slots: int = 64, queue: int = 16, work_s: float = 0.05,
        model: str = "",
    ) -> None:
        self.platform = platform
        self.record = platform.record
        self.name = name
        self.service = service
        self.ip = f"{platform.network}.3.{number}"
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.model = model
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        # Requests that began to run: id, and the times.
        self.runs: dict[str, list[float]] = {}
        # Ids of the requests that were rejected and did not run.
        self.rejected: set[str] = set()
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        # Called with each request that has begun to run; may end the process.
        self.on_run = lambda request_id, headers: None
        platform.replicas.append(self)

    @property
    def address(self) -> str:
        """Return the address that the replica announces."""
        return f"{self.ip}:{self.platform.app}"

    async def start(self) -> None:
        """Listen, and announce the replica."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.platform.app, limit=2**20
        )
        self.beats = asyncio.create_task(self.run_heartbeats())

    async def stop(self) -> None:
        """End as a process does: all its connections close."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def describe(self) -> dict[str, object]:
        """Return what the replica says of itself."""
        self.sequence += 1
        described: dict[str, object] = {
            "service": self.service,
            "address": self.address,
            "zone": ZONES[0],
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.model:
            described["stage"] = "unified"
            described["models"] = self.list_models()
        return described

    def list_models(self) -> list[dict[str, object]]:
        """Return the models that the replica holds."""
        return [{"name": self.model, "version": 1, "adapters": []}]

    async def run_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.announce("PUT", json.dumps(self.describe()).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self, method: str, body: bytes = b"") -> bool:
        """Make a call to one node after another until one acknowledges."""
        for address in self.platform.control_addresses:
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                async with asyncio.timeout(1.0):
                    answer = await call(
                        address, method, f"/instances/{self.name}", body
                    )
                if answer.status == 200:
                    return True
        return False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests on one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (
            ConnectionError, ValueError, asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(
        self, writer: asyncio.StreamWriter, method: str, status: int,
        body: bytes, **fields: str,
    ) -> None:
        """Write a complete response."""
        reasons = {200: "OK", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
        for key, value in fields.items():
            lines.append(f"{key.replace('_', '-')}: {value}")
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer.write(head if method == "HEAD" else head + body)

    async def answer(
        self, writer: asyncio.StreamWriter, method: str, path: str,
        headers: dict[str, str], body: bytes,
    ) -> None:
        """Answer a request."""
        if path == "/report":
            report = {
                "stage": "unified", "models": self.list_models(),
                "busy": False, "sequence": 0, "queued": self.waiting,
                "active": self.running, "kvUsed": 0, "kvTotal": 232000,
                "handles": 0, "born": self.born, "coming": [],
            }
            self.send(writer, method, 200, json.dumps(report).encode())
            return
        if path == "/health":
            self.send(writer, method, 200, b"", X_Instance_Id=self.name)
            return
        if path == "/order":
            self.send(writer, method, 400, b"")
            return
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self.send(writer, method, 421, b"", X_Instance_Id=self.name)
            return
        await self.run(writer, method, path, headers)

    async def run(
        self, writer: asyncio.StreamWriter, method: str, path: str,
        headers: dict[str, str],
    ) -> None:
        """Run a request, or reject it if the queue is full."""
        request_id = headers.get("x-request-id", "")
        load = f"{self.running},{self.waiting},{self.slots}"
        if self.waiting >= self.queue and self.free.locked():
            self.record.write("rejects", replica=self.name, id=request_id)
            self.rejected.add(request_id)
            self.send(
                writer, method, 503, b"", X_Request_Id=request_id,
                X_Not_Executed="1", X_Server_Load=load,
            )
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.setdefault(request_id, []).append(time.monotonic())
            self.record.write(
                "runs", replica=self.name, id=request_id[:40], method=method,
                path=path,
            )
            self.on_run(request_id, headers)
            if path.startswith("/stream/"):
                await self.write_stream(writer, request_id)
                return
            work_s = float(headers.get("x-test-work-s", self.work_s))
            await asyncio.sleep(work_s)
            self.send(
                writer, method, 200, f"{request_id} {path}".encode(),
                X_Request_Id=request_id, X_Response_Seal="seal",
                X_Server_Load=load,
            )
        finally:
            self.running -= 1
            self.free.release()

    async def write_stream(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Write a stream of three events."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: " + request_id.encode() + b"\r\n"
            b"X-Response-Seal: seal\r\nX-Weight-Versions: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, 4):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def make_route(name: str, service: str, kind: str, **fields: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/",
        "kind": kind, "timeoutMs": 6000, "sloMs": 1000, "priority": 1,
        "service": service, "attempts": 2, "sticky": False,
        "resumable": False, **fields,
    }


def make_plain_service(name: str) -> dict:
    """Return a plain service."""
    return {
        "name": name, "healthPath": "/health", "maxConnections": 100,
        "protocol": "h1", "tls": False,
    }


LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
}


def run_case(file: str, main: object) -> None:
    """Run a case and exit with its result: 1 broken, 0 held, 2 not run."""
    folder = pathlib.Path(file).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begins", trouble=trouble)

    async def run_bounded() -> bool:
        async with asyncio.timeout(105):
            return await main(record, trouble)

    try:
        broken = asyncio.run(run_bounded())
    except Exception as error:  # noqa: BLE001
        record.write("could_not_run", error=repr(error))
        print("could not run:", repr(error))
        sys.exit(2)
    record.write("result", broken=broken)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
