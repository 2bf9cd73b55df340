"""Several requests with a part that crashes replicas come at once."""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stands2 import clients  # noqa: E402
from stands2 import processes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
MODEL, SERVICE, HOST = "m0", "drafting", "desk.example"
ENGINES = 8
ENTRIES = 4
FATAL = "fa7a1001"
FIRST = "5c1e07a2"
SOUND_RATE = 12.0
DEADLINE_S = 6.0
# Fatal requests come in groups, as from a batch job: so many at once, at all
# entries, with such a pause between the groups.
AT_ONCE = 8
GROUP_GAP_S = 8.0
PLAYED_S = 50.0
BACK_AFTER_S = 2.5
CONTACT_S = 3.0
MAX_LATE = 3


def make_config():
    route = processes.make_route(
        "draft", HOST, "/draft/", SERVICE, "streaming", timeoutMs=6000,
        sloMs=1000, attempts=1, sticky=True, resumable=False, gapAimMs=400,
    )
    engine = {
        "slots": 64, "kvCapacity": 232000, "kvTokenBytes": 327680,
        "linkMbps": 1100000.0, "moves": False, "backups": False, "stride": 4,
        "cap": 12, "hostMb": 120000.0, "diskMb": 370000.0, "pinMs": 4000.0,
        "holdMs": 2000.0, "handle_s": 5.0,
        "models": [{
            "name": MODEL, "weightsMb": 34300.0, "loadTimeS": 1.0,
            "adapters": 3000, "adapterMb": 40.0, "warmS": 0.28, "diskS": 0.4,
        }],
        "weightsMb": 35300.0, "adapterSlots": 8, "loadsPerS": 2.8,
    }
    service = processes.make_service(
        SERVICE, maxConnections=360, engine=engine
    )
    return processes.make_config(3, [route], [service])


class Case:
    def __init__(self, system, record):
        self.system, self.record = system, record
        self.rng = random.Random()
        self.engines = []
        self.tasks = set()
        self.count = 0
        self.fatal = set()

    def found(self):
        system = self.system
        entries = [
            system.add(
                f"edge-{n}", "entry", f"{system.network}.2.{n}",
                f"z{n % 3 + 1}",
            )
            for n in range(1, ENTRIES + 1)
        ]
        for n in range(1, ENGINES + 1):
            ip = f"{system.network}.3.{n}"
            zone = f"z{n % 3 + 1}"
            port = processes.find_free_port()
            system.add(
                f"side-{n}", "agent", ip, zone, app=f"{ip}:{port}",
                service=SERVICE,
            )
            self.engines.append(clients.Replica(
                system, f"e{n}", ip, port, zone, SERVICE, model=MODEL,
                adapter_slots=8, fatal_part=FATAL,
            ))
        for program in system.programs.values():
            program.start()
        for each in self.engines:
            each.start()
            each.settings["loaded"] = False
        time.sleep(3.0)
        system.end_bootstrap()
        names = [n for n in system.programs if n.startswith("core")]
        if not system.put_config(make_config(), names, 20.0):
            raise processes.CannotRunError("no first configuration")
        for entry in entries:
            clients.wait_until_ready(system, entry, 10.0)
        self.entries = [(each.ip, system.ports["front"]) for each in entries]
        time.sleep(4.0)

    async def request(self, number, is_fatal):
        self.count += 1
        request_id = f"{self.count:08x}"
        if is_fatal:
            self.fatal.add(request_id)
        second = FATAL if is_fatal else f"91bd3f{self.rng.randrange(6):02x}"
        status, _ = await clients.send(
            self.entries[number], "POST", HOST,
            f"/draft/{self.rng.randrange(1 << 32):08x}", request_id,
            DEADLINE_S,
            [
                ("X-Model-Name", MODEL),
                ("X-Token-Usage", "1460,52"),
                (
                    "X-Prompt-Prefix",
                    f"{FIRST}:800,{second}:410,{self.count:08x}:250",
                ),
            ],
            self.rng.randbytes(64),
        )
        kind = "fatal" if is_fatal else "sound"
        self.record.write(
            f"{kind} request {request_id} at edge-{number + 1}: "
            f"{status or 'no complete answer'}"
        )
        return status

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send_sound(self):
        while True:
            self.spawn(self.request(self.rng.randrange(ENTRIES), False))
            await asyncio.sleep(self.rng.expovariate(SOUND_RATE))

    async def restart_engines(self):
        """Start each replica again some seconds after its crash."""
        ended = {}
        while True:
            for each in self.engines:
                if each.running:
                    ended.pop(each, None)
                    continue
                at = ended.setdefault(each, time.monotonic())
                if time.monotonic() - at >= BACK_AFTER_S:
                    each.start()
            await asyncio.sleep(0.05)

    async def play(self):
        sound = self.spawn(self.send_sound())
        keeper = self.spawn(self.restart_engines())
        await asyncio.sleep(5.0)
        ends_at = time.monotonic() + PLAYED_S
        while time.monotonic() < ends_at:
            if TROUBLE:
                for number in range(AT_ONCE):
                    self.spawn(self.request(number % ENTRIES, True))
            await asyncio.sleep(GROUP_GAP_S)
        sound.cancel()
        await asyncio.sleep(1.0)
        keeper.cancel()
        return self.judge()

    def judge(self):
        """Count the fatal requests that reached replicas too late."""
        runs = sorted(
            run
            for each in self.engines
            for run in each.list_runs()
            if run[2] in self.fatal
        )
        begun = runs[0][0] if runs else 0.0
        for at, replica, request_id, _ in runs:
            self.record.write(
                f"fatal request {request_id} ran at {replica}, "
                f"{at - begun:.3f} s after the first"
            )
        if len(runs) < 5:
            if TROUBLE:
                raise processes.CannotRunError("fewer than five crashes")
            return True
        late = [run for run in runs if run[0] > runs[4][0] + CONTACT_S]
        self.record.write(
            f"{len(late)} fatal requests reached replicas later than "
            f"{CONTACT_S} s after the fifth crash, {MAX_LATE} allowed"
        )
        return len(late) <= MAX_LATE


def main():
    record = processes.Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        system = processes.System(pathlib.Path(folder), record)
        case = Case(system, record)
        try:
            case.found()
            kept = asyncio.run(case.play())
        except processes.CannotRunError as error:
            record.write(f"could not run: {error}")
            return 2
        finally:
            for each in case.engines:
                each.stop()
            system.stop()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                )
    record.write("BUDGET held" if kept else "BUDGET broken")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
