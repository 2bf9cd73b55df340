"""A replaced control member ends without SIGTERM; another loses its disk."""

import os
import pathlib
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins2_processes as processes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
REMOVED, LOST, LEFT, ADDED = "core-1", "core-2", "core-3", "core-4"
# From the start of the successor to the removal; `catchUpS` is 4 s.
CAUGHT_UP_S = 9.0
# From the removal to the lost disk.
GAP_S = float(os.environ.get("GAP_S", "1.0"))
BACK_S = 1.0
RECOVER_S = 12.0


def make_config(version):
    return processes.make_config(
        version,
        [processes.make_route("r-1", "desk.example", "/a/", "desk")],
        [processes.make_service("desk")],
    )


class Case:
    def __init__(self, system, record):
        self.system, self.record = system, record
        self.version = 0
        self.acknowledged = 0
        self.present = [REMOVED, LOST, LEFT]

    def change(self, names, limit_s=4.0):
        self.version += 3
        if self.system.put_config(make_config(self.version), names, limit_s):
            self.acknowledged = self.version
            return True
        return False

    def found(self):
        for program in self.system.programs.values():
            program.start()
        time.sleep(2.0)
        self.system.end_bootstrap()
        if not self.change(self.present, 20.0):
            raise processes.CannotRunError("no first configuration")

    def add_successor(self):
        """A machine is added at a new address with an empty disk."""
        system = self.system
        added = system.add(ADDED, "control", f"{system.network}.1.4", "z1")
        added.write_settings(False)
        added.start()
        self.present.append(ADDED)
        begun = time.monotonic()
        while time.monotonic() < begun + CAUGHT_UP_S:
            self.change([LEFT, LOST])
            time.sleep(0.5)
        _, config = system.read_config([ADDED])
        self.record.write(
            f"{ADDED} serves version {config['version'] if config else None}"
        )

    def remove(self):
        """The machine that was replaced is gone for good."""
        self.system.programs[REMOVED].kill()
        self.present.remove(REMOVED)
        self.record.write(f"{REMOVED} is gone for good")

    def lose_disk(self):
        """A machine loses its disk right after an acknowledgement."""
        lost = self.system.programs[LOST]
        if not self.change([LEFT, ADDED, LOST], 8.0):
            raise processes.CannotRunError("no acknowledgement before")
        lost.kill()
        shutil.rmtree(lost.data, ignore_errors=True)
        self.record.write(f"{LOST} lost its disk")
        time.sleep(BACK_S)
        lost.start()

    def read_back(self):
        """Return whether the newest acknowledged version is read back."""
        ends_at = time.monotonic() + RECOVER_S + 3.0
        while time.monotonic() < ends_at:
            name, config = self.system.read_config(self.present)
            if config is not None:
                self.record.write(
                    f"operator: GET /config at {name}: version "
                    f"{config['version']}, acknowledged {self.acknowledged}"
                )
                if config["version"] >= self.acknowledged:
                    return True
            time.sleep(1.0)
        return False

    def play(self):
        self.found()
        self.add_successor()
        if TROUBLE:
            self.remove()
            time.sleep(GAP_S)
            self.lose_disk()
        else:
            self.change(self.present)
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
