"""Read the CPU time and memory of processes."""

import os

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES
