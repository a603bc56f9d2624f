"""The dependencies of the administration API: the objects that it reads and changes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattangate.active_settings import ActiveSettings
    from rattangate.driver import Driver
    from rattangate.fleet_status import FleetStatus
    from rattangate.metrics import Metrics
    from rattangate.records.audit import AuditTrail
    from rattangate.records.config_store import ConfigStore
    from rattangate.records.config_watch import ConfigWatch


@dataclass(frozen=True, slots=True)
class AdminDependencies:
    """Hold the dependencies of the operations."""

    active_settings: ActiveSettings
    driver: Driver
    metrics: Metrics
    status: FleetStatus
    config_store: ConfigStore
    config_watch: ConfigWatch
    audit: AuditTrail
