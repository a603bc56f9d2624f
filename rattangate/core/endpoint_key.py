"""The identity of an endpoint's process, which tells it from others under the same name."""

from __future__ import annotations

# The name and the incarnation of an endpoint.
EndpointKey = tuple[str, int]
