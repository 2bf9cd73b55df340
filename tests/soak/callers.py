"""The simulated callers and the simulated operator of a run."""

import asyncio
import json
import random
import re
import time
import typing

import h11

from tests.soak import calls
from tests.soak import history
from tests.soak import system as soak_system
from tests.soak import targets

HOST = "a.example"
OK = 200
ADAPTER_COUNT = 8
REQUEST_TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 1.0
REQUEST_INTERVAL_S = (0.0, 0.15)
FATAL_INTERVAL_S = (0.1, 0.5)
# Part of the prompts of all requests for engines.
SHARED_PART = "aa1"
# Number of requests that a caller sends on one connection.
REQUESTS_PER_CONNECTION = (1, 30)
KINDS_BY_PATH = {
    "/safe/x": "safe",
    "/once/x": "unsafe",
    "/moved/x": "safe",
    "/stream/x": "stream",
}
# An event of a resumable stream.
VERSION_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
# Share of requests for a route that only one configuration version has.
VERSIONED_ROUTE_RATIO = 0.15
CHANGE_INTERVAL_S = (0.3, 1.5)


def make_configuration(version: int, service: str) -> bytes:
    """Return a configuration as JSON.

    The route ``/moved/`` leads to the given service, and the route
    ``/only-N/`` exists in version N alone, so that checks can tell which
    version an entry has applied.
    """
    routes = [
        make_route("/safe/", "safe", "p", attempts=2),
        make_route("/once/", "unsafe", "p"),
        make_route("/moved/", "safe", service),
        make_route(f"/only-{version}/", "safe", "p"),
        make_route("/stream/", "streaming", "e", sticky=True),
        make_route("/resume/", "streaming", "r", resumable=True, attempts=3),
    ]
    services: list[dict[str, typing.Any]] = [
        {"name": name, "maxConnections": 100} for name in ("p", "q", "r")
    ]
    services.append(
        {
            "name": "e",
            "maxConnections": 100,
            "engine": {
                "slots": 8,
                "kvCapacity": 100_000,
                "weightsMb": 100.0,
                "adapterSlots": targets.ADAPTER_SLOTS,
                "models": [
                    {
                        "name": targets.MODEL,
                        "weightsMb": 50.0,
                        "loadTimeS": 0.1,
                        "adapters": ADAPTER_COUNT,
                    }
                ],
            },
        }
    )
    body = {"version": version, "routes": routes, "services": services}
    return json.dumps(body).encode()


def make_route(
    prefix: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Return the JSON object of one route."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "sloMs": 1000,
        "service": service,
        "attempts": 1,
        **more,
    }


class Operator:
    """Changes the configuration repeatedly and reads it back."""

    def __init__(self, system: soak_system.System, rng: random.Random) -> None:
        self.system = system
        self.history = system.history
        self.rng = rng
        self.version = 0
        self.stopping = False

    async def run(self) -> None:
        """Change and read the configuration until ``stopping`` is set."""
        while not self.stopping:
            await self.change_configuration()
            await asyncio.sleep(self.rng.uniform(*CHANGE_INTERVAL_S))
            await self.read_configuration()

    async def change_configuration(self) -> None:
        """Send the next configuration until it is acknowledged or refused."""
        self.version += self.rng.randint(1, 3)
        service = self.rng.choice("pq")
        sent = history.ConfigurationChange(
            self.version, service, soak_system.get_now()
        )
        self.history.configuration_changes.append(sent)
        body = make_configuration(self.version, service)
        while not self.stopping:
            address = self.rng.choice(list(self.system.api_addresses.values()))
            status, _ = await calls.call(address, "PUT", "/config", body)
            if status == 200:
                sent.acknowledged_at = soak_system.get_now()
                return
            if 400 <= status < 500:
                self.history.violations.append(
                    f"configuration {self.version} was refused with {status}"
                )
                return
            await asyncio.sleep(0.1)

    async def read_configuration(self) -> int:
        """Read the configuration from a random member; return its version.

        Return 0 if the member does not respond with one.
        """
        address = self.rng.choice(list(self.system.api_addresses.values()))
        sent_at = soak_system.get_now()
        status, body = await calls.call(address, "GET", "/config")
        if status != 200:
            return 0
        version = int(json.loads(body)["version"])
        self.history.configuration_reads.append(
            history.ConfigurationRead(sent_at, version)
        )
        return version


class Caller:
    """Sends requests one after another and reuses its connections."""

    request_interval_s = REQUEST_INTERVAL_S

    def __init__(
        self, name: str, system: soak_system.System, rng: random.Random
    ) -> None:
        self.name = name
        self.system = system
        self.rng = rng
        self.request_count = 0
        self.stopping = False

    async def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            entry = self.rng.choice(soak_system.ENTRIES)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        *self.system.entry_addresses[entry]
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(REQUEST_INTERVAL_S[1])
                continue
            connection = Connection(reader, writer)
            for _ in range(self.rng.randint(*REQUESTS_PER_CONNECTION)):
                sent = self.make_request(entry)
                self.system.history.requests.append(sent)
                await self.exchange(connection, sent)
                if self.stopping or not connection.is_reusable(sent):
                    break
                await asyncio.sleep(self.rng.uniform(*self.request_interval_s))
            writer.transport.abort()

    def make_request(self, entry: str) -> history.SentRequest:
        """Create the record of the next request, chosen at random."""
        self.request_count += 1
        path = self.rng.choice(list(KINDS_BY_PATH))
        kind = KINDS_BY_PATH[path]
        recent = self.system.history.configuration_changes[-3:]
        if recent and self.rng.random() < VERSIONED_ROUTE_RATIO:
            path = f"/only-{self.rng.choice(recent).version}/x"
            kind = "safe"
        adapter = ""
        if kind == "stream":
            adapter = f"a{self.rng.randrange(ADAPTER_COUNT)}"
        return history.SentRequest(
            f"{self.name}-{self.request_count}",
            path,
            kind,
            entry,
            self.system.programs[entry].incarnation,
            soak_system.get_now(),
            adapter,
        )

    async def exchange(
        self, connection: "Connection", sent: history.SentRequest
    ) -> None:
        """Send a request and record how much of the response arrives."""
        headers = [("Host", HOST), ("X-Request-Id", sent.request_id)]
        headers.append(("X-Request-Deadline", "5000"))
        headers.append(("Content-Length", "4"))
        if sent.resumed_id:
            headers.append(("Resumes", sent.resumed_id))
            headers.append(("Last-Event-Id", str(sent.resumed_after)))
        if sent.adapter:
            model = f"{targets.MODEL}/{sent.adapter}"
            headers.append(("X-Model-Name", model))
            headers.append(("X-Token-Usage", "10,12"))
            parts = [SHARED_PART, *sent.parts, f"e{sent.request_id}"]
            prompt = ",".join(f"{part}:3" for part in parts)
            headers.append(("X-Prompt-Prefix", prompt))
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await connection.exchange(sent, headers)
        except (OSError, TimeoutError, h11.ProtocolError):
            connection.failed = True
        sent.ended_at = time.monotonic()
        program = self.system.programs[sent.entry]
        if program.incarnation != sent.incarnation:
            # The entry has restarted meanwhile, so which start served the
            # request is not known.
            sent.incarnation = -1


class FatalCaller(Caller):
    """Repeats requests that end every target that executes them."""

    request_interval_s = FATAL_INTERVAL_S

    def make_request(self, entry: str) -> history.SentRequest:
        """Create the record of a request with one of the fatal contents."""
        sent = super().make_request(entry)
        sent.path = self.rng.choice(targets.FATAL_PATHS)
        sent.kind = KINDS_BY_PATH[sent.path.replace("fatal", "x")]
        # The same adapter each time, as the content names it.
        sent.adapter = "a0" if sent.kind == "stream" else ""
        return sent


class FatalPartCaller(Caller):
    """Sends different requests with a part that ends targets."""

    request_interval_s = FATAL_INTERVAL_S

    def make_request(self, entry: str) -> history.SentRequest:
        """Create the record of a request that no other one equals."""
        sent = super().make_request(entry)
        sent.path = f"{targets.FATAL_PART_PREFIX}{sent.request_id}"
        sent.kind = "stream"
        sent.adapter = f"a{self.rng.randrange(ADAPTER_COUNT)}"
        sent.parts = [targets.FATAL_PART]
        return sent


class Connection:
    """An HTTP/1.1 client connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(h11.CLIENT)
        self.failed = False

    def is_reusable(self, sent: history.SentRequest) -> bool:
        """Return whether another request may be sent, and prepare for it."""
        if self.failed or not sent.complete:
            return False
        if self.state.our_state is not h11.DONE:
            return False
        if self.state.their_state is not h11.DONE:
            return False
        self.state.start_next_cycle()
        return True

    async def exchange(
        self, sent: history.SentRequest, headers: list[tuple[str, str]]
    ) -> None:
        """Send a request and read its response into the record."""
        request = h11.Request(method="POST", target=sent.path, headers=headers)
        data = self.state.send(request) or b""
        data += self.state.send(h11.Data(data=b"body")) or b""
        data += self.state.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        await self.writer.drain()
        body = b""
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                self.state.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.Response):
                sent.status = event.status_code
                names = {bytes(key) for key, _ in event.headers}
                sent.has_seal = b"x-response-seal" in names
            elif isinstance(event, h11.Data):
                body += event.data
                if sent.kind == "stream" and sent.status == OK:
                    sent.event_ids = parse_event_ids(body, sent.request_id)
                elif sent.kind == "resumable" and sent.status == OK:
                    found = VERSION_EVENT.findall(body)
                    sent.event_ids = [int(number) for number, _ in found]
                    sent.versions = {version.decode() for _, version in found}
            elif isinstance(event, h11.EndOfMessage):
                sent.body = body
                sent.complete = True
                return
            else:
                self.failed = True
                return


def parse_event_ids(body: bytes, request_id: str) -> list[int]:
    """Return the ids of complete events; -1 for one of another request."""
    event_ids = []
    for event in body.split(b"\n\n")[:-1]:
        lines = event.split(b"\n")
        matches = lines[-1] == b"data: " + request_id.encode()
        number = lines[0].removeprefix(b"id: ")
        event_ids.append(int(number) if matches and number.isdigit() else -1)
    return event_ids
