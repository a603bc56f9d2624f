"""Applies new settings to a running instance without a restart.

These settings take effect only after a restart: the addresses of the instance itself and of the
platform, the maximum size of a request head and the size of a piece.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rattangate.core.gateway import GatewayCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.core.request_scheduler import IntakeCfg
from rattangate.endpoints.client import EndpointClient

if TYPE_CHECKING:
    from rattangate.active_settings import InForce
    from rattangate.config.model import Settings
    from rattangate.core.gateway import Gateway


def gateway_cfg(settings: Settings, instance: str) -> GatewayCfg:
    """Return the configuration of the gateway core."""
    placement = settings.placement
    intake = IntakeCfg(
        instance=instance,
        instances=len(settings.instances),
        workspaces=workspace_limits(settings),
        first_token_s=placement.first_token_s,
        can_withdraw=True,
    )
    return GatewayCfg(placement.piece_tokens, placement.recompute_weight, intake=intake)


def workspace_limits(settings: Settings) -> tuple[WorkspaceLimit, ...]:
    """Return the limits of all workspaces."""
    return tuple(
        WorkspaceLimit(item.name, item.share, item.max_streams) for item in settings.workspaces
    )


def reconfigure(
    in_force: InForce, gateway: Gateway, clients: dict[str, EndpointClient], settings: Settings
) -> None:
    """Replace the active settings, the configuration of the gateway and outdated clients.

    A client is outdated if the address of its endpoint changed.
    """
    old_settings = in_force.settings
    placement = replace(settings.placement, piece_tokens=old_settings.placement.piece_tokens)
    in_force.apply(replace(settings, placement=placement))
    gateway.cfg = replace(gateway.cfg, recompute_weight=placement.recompute_weight)
    gateway.intake.configure(
        len(settings.instances), workspace_limits(settings), placement.first_token_s
    )
    _replace_clients(clients, old_settings, in_force.settings)


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
