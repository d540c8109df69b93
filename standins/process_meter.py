"""Measures the memory and the descriptors of a process while a test runs."""

from __future__ import annotations

from pathlib import Path
from socket import inet_aton
from threading import Event, Thread
from typing import Final

SAMPLE_INTERVAL_S: Final = 0.03
LISTENING: Final = "0A"
"""State of a listening socket in `/proc/net/tcp`, whose queue counts connections."""
KB: Final = 1_024


class ProcessMeter:
    """Samples a process from a thread until it is stopped."""

    def __init__(self, pid: int, host: str, ports: tuple[int, ...]) -> None:
        """Starts to sample.

        Args:
            pid: Process to measure.
            host: IPv4 address on which it listens.
            ports: Its TCP ports.
        """
        self.most_kb = 0
        """Maximum of resident memory and received bytes that were not read, together, in kB."""
        self.most_fds = 0
        """Maximum number of open descriptors."""
        self._pid = pid
        address = inet_aton(host)[::-1].hex().upper()
        self._addresses = {f"{address}:{port:04X}" for port in ports}
        self._stopped = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stops sampling; may be called again."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        """Takes samples; ends early if the process has ended."""
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            try:
                kb = resident_kb(self._pid) + self._unread_bytes() // KB
                self.most_kb = max(self.most_kb, kb)
                fds = sum(1 for _ in Path(f"/proc/{self._pid}/fd").iterdir())
                self.most_fds = max(self.most_fds, fds)
            except (OSError, StopIteration):
                return

    def _unread_bytes(self) -> int:
        """Returns the bytes that the kernel holds for the process on its connections."""
        unread = 0
        for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
            fields = line.split()
            if fields[1] in self._addresses and fields[3] != LISTENING:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


def resident_kb(pid: int) -> int:
    """Returns the resident memory of a process in kB."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1])
