"""Measures start time and memory of the single file, by launcher, against the plain package."""

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
    """Print one line for each way to start."""
    print("| way to start | size, MB | start, ms (median of 7) | peak memory, MB |")
    print("|---|---|---|---|")
    _report("python -m rattangate", [sys.executable, "-m", "rattangate"], 0)
    with tempfile.TemporaryDirectory() as directory:
        for launcher in Launcher:
            path = Path(directory) / launcher.value
            # A child's peak memory counts its parent's at the fork: keep this process small.
            subprocess.run(
                [*_BUILD, f"--launcher={launcher.value}", f"--output={path}"], check=True
            )
            _report(f"single file, {launcher.value}", [str(path)], path.stat().st_size)


def _report(name: str, command: list[str], size: int) -> None:
    runs = [_run([*command, "version"]) for _ in range(RUNS)]
    start_ms = statistics.median(seconds for seconds, _ in runs) * 1000
    memory = statistics.median(peak for _, peak in runs)
    print(f"| {name} | {size / MB:.0f} | {start_ms:.0f} | {memory / MB:.0f} |", flush=True)


def _run(command: list[str]) -> tuple[float, int]:
    path = f"{Path(sys.base_prefix) / 'bin'}:{os.environ['PATH']}"
    began = time.perf_counter()
    with subprocess.Popen(
        command, cwd=ROOT, env={**os.environ, "PATH": path}, stdout=subprocess.DEVNULL
    ) as process:
        _, _, usage = os.wait4(process.pid, 0)
        process.returncode = 0
    return time.perf_counter() - began, usage.ru_maxrss * KIB


if __name__ == "__main__":
    main()
