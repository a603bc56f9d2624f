"""Takes new settings into force on a running instance, without a restart.

The addresses of the instance itself, of the platform, the size of a request head and the size of a
piece keep their values until the instance restarts.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from rattangate.core.gateway import GatewayCfg
from rattangate.core.intake import IntakeCfg
from rattangate.core.limits import WorkspaceLimit
from rattangate.endpoints.client import EndpointClient

if TYPE_CHECKING:
    from rattangate.config.model import Settings
    from rattangate.core.gateway import Gateway
    from rattangate.in_force import InForce


def gateway_cfg(settings: Settings, instance: str) -> GatewayCfg:
    """Return the settings of the gateway core."""
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
    """Replace the settings in force, those of the gateway and the clients of moved endpoints."""
    before = in_force.settings
    placement = replace(settings.placement, piece_tokens=before.placement.piece_tokens)
    in_force.take(replace(settings, placement=placement))
    gateway.cfg = replace(gateway.cfg, recompute_weight=placement.recompute_weight)
    gateway.intake.configure(
        len(settings.instances), workspace_limits(settings), placement.first_token_s
    )
    _replace_clients(clients, before, in_force.settings)


def _replace_clients(
    clients: dict[str, EndpointClient], before: Settings, settings: Settings
) -> None:
    old = {endpoint.name: endpoint.address for endpoint in before.endpoints}
    for endpoint in settings.endpoints:
        if old.get(endpoint.name) == endpoint.address:
            continue
        if endpoint.name in clients:
            # Requests in progress still hold the client; it is closed with the others at the end.
            retired = clients[endpoint.name]
            clients[f"{endpoint.name}@{old.get(endpoint.name)}"] = retired
        clients[endpoint.name] = EndpointClient(endpoint.name, endpoint.address)
