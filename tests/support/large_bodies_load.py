"""Sends large configurations concurrently to real members on loopback, each in its own process.

    PYTHONPATH=. python tests/support/large_bodies_load.py UP CALLERS SECONDS [MOST_TAKEN] [BYTES]

Of three members, `UP` are running. Each caller sends a configuration of random text, retries it on another
member after each inconclusive answer, and then sends the next one. The run ends after `SECONDS`, or once
`MOST_TAKEN` changes have been committed. Prints a JSON object: committed changes, answers by status (0: no
answer), each member's peak memory in MiB, and the total seconds.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

from control_plane_rig import INCONCLUSIVE_STATUSES, Answer, Machine, Rig, configuration
from system_bulk import TEXT_ALPHABET

MEMBERS = 3
TEXT_BYTES = 4 * 1024 * 1024 - 4096  # leaves room for the rest of a configuration
PAUSE_S = 0.2  # after a 503, as its Retry-After asks, and after losing to another caller's change
KIB_PER_MIB = 1024
# Maps each byte to a character of the alphabet.
TEXT_TABLE = bytes(TEXT_ALPHABET[code % len(TEXT_ALPHABET)] for code in range(256))


class Load:
    """The callers, and counts of the answers that they received."""

    def __init__(self, rig: Rig, seconds: float, most_taken: int, size: int) -> None:
        self._machines = rig.running()
        self._ends_at = time.monotonic() + seconds
        self._most_taken, self._size = most_taken, size
        self._lock = threading.Lock()
        self.revision = 0  # of the last committed change
        self.statuses: Counter[int] = Counter()

    def run(self, callers: int) -> None:
        """Run all callers until the last one has ended."""
        threads = [threading.Thread(target=self._caller, args=(Random(number),)) for number in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _is_over(self) -> bool:
        return time.monotonic() > self._ends_at or self.revision >= self._most_taken

    def _caller(self, random: Random) -> None:
        while not self._is_over():
            based_on = self.revision
            change = configuration(based_on + 1) | {"note": self._text(random)}
            self._send(random, json.dumps(change).encode(), based_on)

    def _text(self, random: Random) -> str:
        return random.randbytes(self._size).translate(TEXT_TABLE).decode()

    def _send(self, random: Random, body: bytes, based_on: int) -> None:
        """Send one change to one member after another, until its outcome is known."""
        position = random.randrange(len(self._machines))
        while not self._is_over():
            answer = self._call(self._machines[position % len(self._machines)], body, based_on)
            position += 1
            if answer.status == 200:
                self._record_revision(based_on + 1)
                return
            time.sleep(PAUSE_S)
            if answer.status not in INCONCLUSIVE_STATUSES:
                self.read_revisions()
                return

    def _record_revision(self, revision: int) -> None:
        with self._lock:
            self.revision = max(self.revision, revision)

    def read_revisions(self) -> None:
        """Read the members' revisions, to count commits whose caller received no conclusive answer."""
        for machine in self._machines:
            page = machine.status()
            self._record_revision(page["revision"] if page is not None else 0)

    def _call(self, machine: Machine, body: bytes, based_on: int) -> Answer:
        answer = machine.call("PUT", "/mallowbeam/config", body, {"If-Match": str(based_on)})
        with self._lock:
            self.statuses[answer.status] += 1
        return answer


def peak_mib(machine: Machine) -> float:
    """Return the peak resident memory of a member's process, in MiB."""
    assert machine.process is not None
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return round(int(line.split()[1]) / KIB_PER_MIB, 1)


def main() -> None:
    up, callers, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    most_taken = int(sys.argv[4]) if len(sys.argv) > 4 else sys.maxsize
    size = int(sys.argv[5]) if len(sys.argv) > 5 else TEXT_BYTES
    rig = Rig(MEMBERS)
    try:
        rig.start()
        rig.leader()
        for machine in rig.machines[up:]:
            machine.kill()
        rig.leader()
        load = Load(rig, seconds, most_taken, size)
        began = time.monotonic()
        load.run(callers)
        load.read_revisions()
        print(
            json.dumps(
                {
                    "taken": load.revision,
                    "statuses": dict(sorted(load.statuses.items())),
                    "peak_mib": [peak_mib(machine) for machine in rig.running()],
                    "seconds": round(time.monotonic() - began, 1),
                }
            )
        )
    finally:
        rig.close()


if __name__ == "__main__":
    main()
