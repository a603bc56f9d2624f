"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from rattangate.json_decoding import decode_json
from rattangate.units import MS_PER_S

BOOT_VARIABLE = "RATTANGATE_BOOT"
BYTES_PER_MB = 1_048_576
MAX_MEMORY_MB = 1e9
MAX_FDS = 2**31


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the time limits and the retry budget that the platform sets for the router.

    `drain_s`: until a draining endpoint must be noticed.
    `grace_s`: until the process must have shut down.
    `revoke_s`: until a revoked API key must be rejected.
    `lease_s`: how long a holder of the orders lease must leave the replicas of another one alone.
    `version_s`: until a new weights version must be served, after the operator set it.
    `contact_s`: the same, after this process first read a version that was set before its start.
    `config_apply_s`: until a new configuration must be applied.
    `retry_ratio`, `retry_window_s`, `retry_slack`: at most this share of the requests of the window
    may be retries, plus this number of retries.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    revoke_s: float = 5.0
    lease_s: float = 3.0
    version_s: float = 12.0
    contact_s: float = 3.0
    config_apply_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0


@dataclass(frozen=True, slots=True)
class BootSettings:
    """Hold the contents of the settings file of a process; addresses are HOST:PORT.

    `cores` is the CPU time that the process may use, in cores of nominal speed, `memory_bytes` its
    memory, and `max_fds` the number of its descriptors; 0 if not set.
    """

    instance: str
    data_centre: str
    ip: str
    caller_address: str
    ready_address: str
    first_free_port: int
    store_address: str
    bounds: Bounds
    cores: float = 0.0
    memory_bytes: int = 0
    max_fds: int = 0


class BootError(Exception):
    """Report an unusable settings file, with its path and how to correct it."""


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Platform(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    cpu_share: float = 0.0
    cores: float = 1.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=MAX_FDS)] = 0


class _Bounds(msgspec.Struct):
    drain_ms: float = 2000
    grace_s: float = 8
    revoke_ms: float = 5000
    lease_ms: float = 3000
    version_ms: float = 12000
    contact_ms: float = 3000
    config_apply_ms: float = 2000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50


class _Boot(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Platform
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_boot() -> BootSettings:
    """Read the settings file named by the environment; raise BootError if it is unusable."""
    path = os.environ.get(BOOT_VARIABLE)
    if not path:
        raise BootError(
            f"set the environment variable {BOOT_VARIABLE} to the path of the settings file"
        )
    try:
        raw = Path(path).read_bytes()
    except OSError as exc:
        raise BootError(f"{path}: {exc.strerror}; make the settings file readable") from exc
    return decode_boot(raw, path)


def decode_boot(raw: bytes, path: str) -> BootSettings:
    """Decode a settings file; raise BootError that names the invalid field."""
    try:
        boot = decode_json(raw, _Boot)
    except msgspec.DecodeError as exc:
        raise BootError(f"{path}: {exc}; correct this field") from exc
    raw_bounds = boot.bounds
    bounds = Bounds(
        raw_bounds.drain_ms / MS_PER_S,
        raw_bounds.grace_s,
        raw_bounds.revoke_ms / MS_PER_S,
        raw_bounds.lease_ms / MS_PER_S,
        raw_bounds.version_ms / MS_PER_S,
        raw_bounds.contact_ms / MS_PER_S,
        raw_bounds.config_apply_ms / MS_PER_S,
        raw_bounds.retry_ratio,
        raw_bounds.retry_window_s,
        raw_bounds.retry_slack,
    )
    return BootSettings(
        boot.node_name,
        boot.zone,
        boot.ip,
        boot.listen.front,
        boot.listen.ready,
        boot.port_range[0],
        boot.platform.address,
        bounds,
        boot.limits.cpu_share * boot.limits.cores,
        int(boot.limits.memory_mb * BYTES_PER_MB),
        boot.limits.max_fds,
    )
