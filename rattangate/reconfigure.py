"""Takes new settings into force on a running instance, without a restart.

The addresses of the instance itself, of the platform, the size of a request head and the size of a
piece keep their values until the instance restarts.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rattangate.endpoints.client import EndpointClient
from rattangate.http.auth import Keyring

if TYPE_CHECKING:
    from rattangate.config.model import Settings
    from rattangate.entry import Entry


def reconfigure(entry: Entry, settings: Settings) -> None:
    """Replace the settings of an instance and of all its parts at once."""
    before = entry.settings
    placement = replace(settings.placement, piece_tokens=before.placement.piece_tokens)
    entry.settings = replace(settings, placement=placement)
    entry.keyring = Keyring(settings.workspaces, settings.admin_keys)
    entry.models = {model.name: model for model in settings.models}
    gateway = entry.driver.gateway
    gateway.cfg = replace(gateway.cfg, recompute_weight=placement.recompute_weight)
    _replace_clients(entry, before)
    entry.watch_endpoints()
    entry.connect_peers()
    entry.apply_limits()


def _replace_clients(entry: Entry, before: Settings) -> None:
    old = {endpoint.name: endpoint.address for endpoint in before.endpoints}
    for endpoint in entry.settings.endpoints:
        if old.get(endpoint.name) == endpoint.address:
            continue
        if endpoint.name in entry.clients:
            # Requests in progress still hold the client; it is closed with the others at the end.
            retired = entry.clients[endpoint.name]
            entry.clients[f"{endpoint.name}@{old.get(endpoint.name)}"] = retired
        entry.clients[endpoint.name] = EndpointClient(endpoint.name, endpoint.address)
