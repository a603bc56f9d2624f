"""Applies new settings to a running instance without a restart.

These settings take effect only after a restart: the addresses of the instance itself and of the
platform, the maximum size of a request head and the size of a piece.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rattangate.core.gateway import GatewayCfg
from rattangate.core.intake import RequestSchedulerCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.endpoints.client import EndpointClient

if TYPE_CHECKING:
    from rattangate.active_settings import ActiveSettings
    from rattangate.config.model import Settings
    from rattangate.core.gateway import Gateway


def gateway_cfg(settings: Settings, instance: str) -> GatewayCfg:
    """Return the configuration of the gateway core."""
    placement = settings.placement
    scheduler = RequestSchedulerCfg(
        instance=instance,
        instances=len(settings.instances),
        workspaces=workspace_limits(settings),
        first_token_s=placement.first_token_s,
        can_cancel=True,
    )
    return GatewayCfg(placement.piece_tokens, placement.recompute_weight, scheduler=scheduler)


def workspace_limits(settings: Settings) -> tuple[WorkspaceLimit, ...]:
    """Return the limits of all workspaces."""
    return tuple(
        WorkspaceLimit(item.name, item.share, item.max_streams) for item in settings.workspaces
    )


def reconfigure(
    active_settings: ActiveSettings,
    gateway: Gateway,
    clients: dict[str, EndpointClient],
    settings: Settings,
) -> None:
    """Replace the active settings, the configuration of the gateway and outdated clients.

    A client is outdated if the address of its endpoint changed.
    """
    old_settings = active_settings.settings
    placement = replace(settings.placement, piece_tokens=old_settings.placement.piece_tokens)
    active_settings.apply(replace(settings, placement=placement))
    gateway.cfg = replace(gateway.cfg, recompute_weight=placement.recompute_weight)
    gateway.scheduler.configure(
        len(settings.instances), workspace_limits(settings), placement.first_token_s
    )
    _replace_clients(clients, old_settings, active_settings.settings)


def _replace_clients(
    clients: dict[str, EndpointClient], old_settings: Settings, settings: Settings
) -> None:
    old_addresses = {endpoint.name: endpoint.address for endpoint in old_settings.endpoints}
    for endpoint in settings.endpoints:
        if old_addresses.get(endpoint.name) == endpoint.address:
            continue
        if endpoint.name in clients:
            # Requests in progress still use the old client; it is closed at shutdown.
            old_client = clients[endpoint.name]
            clients[f"{endpoint.name}@{old_addresses.get(endpoint.name)}"] = old_client
        clients[endpoint.name] = EndpointClient(endpoint.name, endpoint.address)
