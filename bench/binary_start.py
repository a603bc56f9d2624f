"""Measure start time and memory of the single-file builds and of the installed package."""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from tools.build_binary import ROOT, Launcher

RUNS = 7
KIB = 1024
MB = 1_000_000
_BUILD = (sys.executable, "-m", "tools.build_binary")


def main() -> None:
    """Print a table with one row for each way to start."""
    print("| way to start | size, MB | start, ms (median of 7) | peak memory, MB |")
    print("|---|---|---|---|")
    _print_row("python -m rattangate", [sys.executable, "-m", "rattangate"], 0)
    with tempfile.TemporaryDirectory() as directory:
        for launcher in Launcher:
            path = Path(directory) / launcher.value
            # A child's peak memory includes its parent's at the fork: the build runs in a process
            # of its own, to keep this one small.
            subprocess.run(
                [*_BUILD, f"--launcher={launcher.value}", f"--output={path}"], check=True
            )
            _print_row(f"single file, {launcher.value}", [str(path)], path.stat().st_size)


def _print_row(name: str, command: list[str], size: int) -> None:
    runs = [_measure_start([*command, "version"]) for _ in range(RUNS)]
    start_ms = statistics.median(seconds for seconds, _ in runs) * 1000
    peak_bytes = statistics.median(peak for _, peak in runs)
    print(f"| {name} | {size / MB:.0f} | {start_ms:.0f} | {peak_bytes / MB:.0f} |", flush=True)


def _measure_start(command: list[str]) -> tuple[float, int]:
    path = f"{Path(sys.base_prefix) / 'bin'}:{os.environ['PATH']}"
    started = time.perf_counter()
    with subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, "PATH": path}, stdout=subprocess.DEVNULL
    ) as process:
        _, _, usage = os.wait4(process.pid, 0)
        process.returncode = 0
    return time.perf_counter() - started, usage.ru_maxrss * KIB


if __name__ == "__main__":
    main()
