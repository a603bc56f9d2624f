"""The thrift types of the protocol between entry instances."""

from __future__ import annotations

import io
from importlib import resources
from typing import Any

import thriftpy2

MODULE_NAME = "rattangate_peers_thrift"
MS_PER_S = 1000

_source = resources.files("rattangate.peers").joinpath("peers.thrift").read_text()
idl: Any = thriftpy2.load_fp(io.StringIO(_source), MODULE_NAME)
