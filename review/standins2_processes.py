"""Starts the programs of the deploy file on loopback addresses."""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
CLASSES = {"control": "core", "entry": "edge", "agent": "side"}

SETTINGS = """\
nodeName={name}
role={role}
machineClass={machine_class}
serves={serves}
ip={ip}
zone={zone}
region=r1
{zones}
{listen}
portRange={links},{last}
seedNodes={seeds}
bootstrap={bootstrap}
countsAsLoss={counts}
limits.cpuShare=0.86
limits.cores={cores}
limits.memoryMb={memory}
limits.maxFds=4096
limits.linkMbps=1000.0
limits.diskMb={disk}
{extra}
discovery=registration
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine
faultTolerance.machines=1
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=54
bounds.recoverS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.requireFence=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.ceilingWindowS=5
bounds.ceilingOverage=1.1
bounds.version_ms=5000
configMode=highest
"""


class CannotRunError(Exception):
    """The case could not be played; nothing is known about the rule."""


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.stream = path.open("w")
        self.begun = time.monotonic()

    @property
    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        print(f"{self.now:8.3f} {text}", file=self.stream, flush=True)


def find_free_port(count=1):
    """Return the first of ``count`` ports that are free on all addresses."""
    for _ in range(200):
        first = random.SystemRandom().randrange(20_000, 31_000)
        opened = []
        try:
            for number in range(count):
                probe = socket.socket()
                opened.append(probe)
                probe.bind(("0.0.0.0", first + number))
        except OSError:
            continue
        finally:
            for probe in opened:
                probe.close()
        return first
    raise CannotRunError("no free ports")


class Program:
    """One program, which is started, signalled and started again."""

    def __init__(self, system, name, role, ip, zone, **more):
        self.system = system
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.more = more
        self.data = system.folder / f"{name}.data"
        self.settings = system.folder / f"{name}.conf"
        self.log = system.folder / f"{name}.log"
        self.process = None
        self.write_settings(True)

    def write_settings(self, bootstrap):
        ports = self.system.ports
        listen = {
            "control": f"listen.control={self.ip}:{ports['control']}",
            "entry": f"listen.front={self.ip}:{ports['front']}\n"
            f"listen.ready={self.ip}:{ports['ready']}",
            "agent": "",
        }[self.role]
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine_class=CLASSES[self.role],
            serves=CLASSES[self.role].replace("core", "control"),
            ip=self.ip,
            zone=self.zone,
            zones="\n".join(f"zones.{z}=r1" for z in ("z1", "z2", "z3")),
            listen=listen,
            links=ports["links"],
            last=ports["links"] + 15,
            seeds=",".join(self.system.seeds),
            bootstrap=str(bootstrap).lower(),
            counts=str(self.role == "control").lower(),
            cores=3 if self.role == "control" else 1,
            memory={"control": 296, "entry": 300, "agent": 232}[self.role],
            disk=128 if self.role == "control" else 0,
            extra="\n".join(
                [f"{key}={value}" for key, value in self.more.items()]
                + ([f"dataDir={self.data}"] if self.role == "control" else [])
            ),
        )
        self.settings.write_text(text)

    def start(self):
        """Start the program with the command of the deploy file."""
        deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deployed["roles"][self.role]["run"].split()
        # One machine has all the programs, so each needs a port of its own.
        place = words.index("--metrics-port") + 1
        words[place] = str(find_free_port())
        words[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["HEMLOCKKEEL_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.system.record.write(f"{self.name} started")

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the program and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.system.record.write(f"{self.name} killed")


class System:
    """The programs of one small deployment."""

    def __init__(self, folder, record, members=3):
        self.folder, self.record = folder, record
        number = random.SystemRandom().randrange(1, 250)
        self.network = f"127.{number}"
        self.ports = {
            name: find_free_port() for name in ("control", "front", "ready")
        }
        self.ports["links"] = find_free_port(16)
        self.programs = {}
        self.seeds = [
            f"{self.network}.1.{n}:{self.ports['control']}"
            for n in range(1, members + 1)
        ]
        for n in range(1, members + 1):
            self.add(f"core-{n}", "control", f"{self.network}.1.{n}", f"z{n}")

    def add(self, name, role, ip, zone, **more):
        self.programs[name] = Program(self, name, role, ip, zone, **more)
        return self.programs[name]

    def end_bootstrap(self):
        """Later starts do not found a cluster."""
        for program in self.programs.values():
            program.write_settings(False)

    def stop(self):
        for program in self.programs.values():
            if program.running:
                program.kill()

    def call(self, ip, port, method, path, body=b"", headers=None, wait_s=1.0):
        """Make an HTTP call; return the status (0: none) and the body."""
        connection = http.client.HTTPConnection(ip, port, timeout=wait_s)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, str(error).encode()
        finally:
            connection.close()

    def call_control(self, name, method, path, body=b""):
        program = self.programs[name]
        kind = {"Content-Type": "application/json"}
        return self.call(
            program.ip, self.ports["control"], method, path, body, kind
        )

    def put_config(self, config, names, limit_s):
        """Send a configuration as the operator does, until acknowledged."""
        body = json.dumps(config).encode()
        ends_at = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < ends_at:
            name = names[turn % len(names)]
            status, _ = self.call_control(name, "PUT", "/config", body)
            if status == 200:
                self.record.write(
                    f"operator: PUT /config version {config['version']}, "
                    f"{len(body)} bytes, to {name}: 200"
                )
                return True
            self.record.write(
                f"operator: PUT /config version {config['version']} to "
                f"{name}: {status or 'no answer'}"
            )
            turn += 1
            time.sleep(min(0.8, 0.05 * 2 ** min(turn, 4)))
        return False

    def read_config(self, names):
        """Read the configuration at one member after another."""
        for name in names:
            status, body = self.call_control(name, "GET", "/config")
            if status == 200:
                return name, json.loads(body)
            self.record.write(
                f"operator: GET /config at {name}: "
                f"{status or 'no answer'} {body[:60]!r}"
            )
        return None, None


def make_config(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_route(name, host, prefix, service, kind="safe", **more):
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 4000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "sticky": False,
        "resumable": False,
        **more,
    }


def make_service(name, **more):
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        **more,
    }
