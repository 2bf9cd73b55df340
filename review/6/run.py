"""A control member is killed while it stores a snapshot of the leader."""

import os
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins2_processes as processes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
ROUTES = 1400  # four times the 350 that `big_config` adds
STORM = 42  # changes while the member is down
GAP_S = 0.08
DOWN_S = 3.5
CATCH_UP_S = 4.0
RECOVER_S = 12.0
VICTIM, LOST, LEFT = "core-1", "core-2", "core-3"


def make_config(version):
    routes = [
        processes.make_route(
            f"r-{n:05d}", f"h{n % 7}.example", f"/p{n:05d}/", "desk",
            timeoutMs=4000 + version % 7,
        )
        for n in range(ROUTES)
    ]
    return processes.make_config(
        version, routes, [processes.make_service("desk")]
    )


class Killer(threading.Thread):
    """Kills a process once it has replaced its snapshot file."""

    def __init__(self, program, limit_s):
        super().__init__(daemon=True)
        self.program = program
        self.ends_at = time.monotonic() + limit_s
        self.snapshot = program.data / "snapshot"
        self.before = get_inode(self.snapshot)
        self.killed = False

    def run(self):
        path, before = str(self.snapshot), self.before
        pid = self.program.process.pid
        while time.monotonic() < self.ends_at:
            for _ in range(200):
                try:
                    inode = os.stat(path).st_ino
                except FileNotFoundError:
                    continue
                if inode != before:
                    os.kill(pid, signal.SIGKILL)
                    self.killed = True
                    return


def get_inode(path):
    try:
        return path.stat().st_ino
    except FileNotFoundError:
        return 0


class Case:
    def __init__(self, system, record):
        self.system, self.record = system, record
        self.version = 0
        self.acknowledged = 0

    def change(self, names, limit_s=4.0):
        self.version += 3
        if self.system.put_config(make_config(self.version), names, limit_s):
            self.acknowledged = self.version
            return True
        return False

    def storm(self, names, count):
        for _ in range(count):
            begun = time.monotonic()
            self.change(names)
            time.sleep(max(0.0, begun + GAP_S - time.monotonic()))

    def found(self):
        system = self.system
        for program in system.programs.values():
            program.start()
        time.sleep(2.0)
        system.end_bootstrap()
        if not self.change(list(system.programs), 20.0):
            raise processes.CannotRunError("no first configuration")

    def interrupt_snapshot(self):
        """Kill the victim during storms and once more on its return.

        Returns whether it was killed between the replacements of its files.
        """
        victim = self.system.programs[VICTIM]
        victim.kill()
        down_at = time.monotonic()
        self.storm([LEFT, LOST], STORM)
        time.sleep(max(0.0, down_at + DOWN_S - time.monotonic()))
        log_before = get_inode(victim.data / "log")
        victim.start()
        killer = Killer(victim, 3.0)
        killer.start()
        killer.join()
        if not killer.killed:
            self.record.write(f"{VICTIM} is back; it stored no snapshot")
            return False
        victim.process.wait()
        hit = get_inode(victim.data / "log") == log_before
        self.record.write(
            f"{VICTIM} killed as it replaced its snapshot; log "
            f"{'not yet' if hit else 'already'} replaced"
        )
        time.sleep(0.5)
        victim.start()
        return hit

    def restart_victim(self):
        """Kill the victim in normal operation; the platform restarts it.

        Returns whether it runs again.
        """
        victim = self.system.programs[VICTIM]
        time.sleep(CATCH_UP_S)
        self.storm([LEFT, LOST], 2)
        time.sleep(1.0)
        if not victim.running:
            raise processes.CannotRunError(f"{VICTIM} does not run")
        _, config = self.system.read_config([VICTIM])
        self.record.write(
            f"{VICTIM} serves version "
            f"{config['version'] if config else None}"
        )
        victim.kill()
        for _ in range(3):
            time.sleep(0.5)
            victim.start()
            time.sleep(1.5)
            if victim.running:
                return True
            self.record.write(
                f"{VICTIM} ended by itself with {victim.process.returncode}: "
                f"{victim.log.read_text().strip().splitlines()[-1]}"
            )
        return False

    def kill_victim(self):
        """Repeat both kills until the victim does not come back."""
        while self.record.now < 60.0:
            hit = self.interrupt_snapshot()
            if hit and not self.restart_victim():
                return
            time.sleep(CATCH_UP_S)

    def lose_disk(self):
        """The final fault: a member loses its disk right after an ack."""
        lost = self.system.programs[LOST]
        time.sleep(CATCH_UP_S)
        self.change([LEFT, LOST], 8.0)
        lost.kill()
        shutil.rmtree(lost.data, ignore_errors=True)
        self.record.write(f"{LOST} lost its disk")
        victim = self.system.programs[VICTIM]
        time.sleep(1.0)
        lost.start()
        if not victim.running:
            victim.start()

    def read_back(self):
        """Return whether the newest acknowledged version is read back."""
        ends_at = time.monotonic() + RECOVER_S + 3.0
        victim = self.system.programs[VICTIM]
        while time.monotonic() < ends_at:
            name, config = self.system.read_config(list(self.system.programs))
            if config is not None:
                self.record.write(
                    f"operator: GET /config at {name}: version "
                    f"{config['version']}, acknowledged {self.acknowledged}"
                )
                if config["version"] >= self.acknowledged:
                    return True
            if not victim.running:
                victim.start()
            time.sleep(1.0)
        return False

    def play(self):
        self.found()
        if TROUBLE:
            self.kill_victim()
            self.lose_disk()
        else:
            for _ in range(2):
                self.storm([LEFT, LOST], STORM)
        return self.read_back()


def main():
    record = processes.Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        system = processes.System(pathlib.Path(folder), record)
        try:
            kept = Case(system, record).play()
        except processes.CannotRunError as error:
            record.write(f"could not run: {error}")
            return 2
        finally:
            system.stop()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(
                    folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True
                )
    record.write("CONFIG held" if kept else "CONFIG broken")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
