"""Decode the reports of replicas on themselves."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from rattangate.core.fleet import ModelVersion
from rattangate.json_decoding import decode_json

MAX_REPORT_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a replica's own report of its weights, which lags by some hundred milliseconds.

    `order_seq` is the number of orders that the replica has accepted.
    """

    incarnation: int
    models: tuple[ModelVersion, ...]
    is_loading: bool
    order_seq: int


@dataclass(frozen=True, slots=True)
class NoReport:
    """Report that a replica returned no usable report."""

    detail: str


class _RunningModel(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    born: int
    models: list[_RunningModel] = []
    busy: bool = False
    seq: int = 0


def decode_report(body: bytes) -> Report | NoReport:
    """Decode the body of a report."""
    try:
        raw = decode_json(body, _Report)
    except msgspec.DecodeError as exc:
        return NoReport(repr(exc))
    models = tuple(ModelVersion(item.name, item.version) for item in raw.models)
    return Report(raw.born, models, raw.busy, raw.seq)
