"""What an instance knows of the software that began each stream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Software:
    """Identify what an endpoint runs: the version of one service's software."""

    service: str
    version: str


class KnownBy(Enum):
    """Name how an instance knows which software began a stream."""

    NEWS = "news"
    ONLY_SOFTWARE = "only_software"


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Hold the software that began a stream, and how it is known.

    `age_s` is the time since the stream was last placed, None if that is not known.
    """

    software: Software
    known_by: KnownBy
    age_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServedSoftware:
    """Hold software and the time since it last served, in seconds.

    `has_models` tells whether its service runs models.
    """

    software: Software
    age_s: float
    has_models: bool


@dataclass(frozen=True, slots=True)
class BegunStream:
    """Hold the software to which a stream was last sent, and the time since then in seconds."""

    stream: bytes
    software: Software
    age_s: float


@dataclass(frozen=True, slots=True)
class StreamHistory:
    """Hold what an instance knows of recent streams, the newest first, and of their software.

    For the last `known_s` seconds `served` is complete, but for the `list_age_s` seconds since the
    endpoint list was read.
    """

    known_s: float
    served: tuple[ServedSoftware, ...] = ()
    streams: tuple[BegunStream, ...] = ()
    list_age_s: float = 0.0
