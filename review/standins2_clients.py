"""Clients of entries, and replicas as processes."""

import asyncio
import json
import signal
import subprocess
import sys
import time

import standins2_processes as processes


class Replica:
    """A replica as a process, which the platform starts again when it ends."""

    def __init__(self, system, name, ip, port, zone, service, **more):
        self.system, self.name = system, name
        self.ip, self.port = ip, port
        self.path = system.folder / f"{name}.json"
        self.runs = system.folder / f"{name}.runs"
        self.log = system.folder / f"{name}.replica-log"
        self.number = 0
        # Whether it starts again under the id that it had.
        self.keeps_id = False
        self.process = None
        self.settings = {
            "host": ip,
            "port": port,
            "zone": zone,
            "service": service,
            "slots": 64,
            "control": system.seeds,
            "runs": str(self.runs),
            **more,
        }

    def start(self):
        """Start an incarnation, with an id of its own."""
        self.number += not (self.number and self.keeps_id)
        self.settings["id"] = f"i-{self.name}-{self.number}"
        self.path.write_text(json.dumps(self.settings))
        words = [
            sys.executable,
            str(processes.ROOT / "review" / "standins2_replica.py"),
            str(self.path),
        ]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(words, stdout=log, stderr=log)
        self.system.record.write(f"replica {self.settings['id']} started")

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def list_runs(self):
        """Return the time, id and request of each run that began."""
        if not self.runs.exists():
            return []
        found = []
        for line in self.runs.read_text().splitlines():
            at, replica, request_id, what = line.split(" ", 3)
            found.append((float(at), replica, request_id, what))
        return found


async def send(
    address, method, host, path, request_id, deadline_s, headers=(), body=b"",
    leave_after_s=None,
):
    """Send a request on a new connection; return (status, body).

    The status is 0 without a complete answer, and -1 if the client left.
    """
    wait_s = deadline_s if leave_after_s is None else leave_after_s
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            ip, port = address
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {host}",
                f"X-Request-Id: {request_id}",
                f"X-Request-Deadline: {int(deadline_s * 1000)}",
                *(f"{key}: {value}" for key, value in headers),
            ]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
    except TimeoutError:
        return (-1 if leave_after_s is not None else 0), b""
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_answer(reader):
    status = int((await reader.readline()).split()[1])
    headers = {}
    while True:
        line = await reader.readline()
        if line == b"":
            raise asyncio.IncompleteReadError(b"", None)
        if line == b"\r\n":
            break
        key, _, value = line.decode("latin-1").partition(":")
        headers[key.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                raise asyncio.IncompleteReadError(b"", None)
            data = await reader.readexactly(size + 2)
            if not size:
                return status, body
            body += data[:-2]
    return status, await reader.readexactly(
        int(headers.get("content-length", "0"))
    )


def wait_until_ready(system, entry, limit_s):
    """Wait until the platform would send clients to an entry."""
    ends_at = time.monotonic() + limit_s
    while time.monotonic() < ends_at:
        status, _ = system.call(
            entry.ip, system.ports["ready"], "GET", "/ready"
        )
        if status == 200:
            return
        time.sleep(0.2)
    raise processes.CannotRunError(f"{entry.name} is not ready")
