"""State of the endpoints that the platform lists, merged with first-hand observations.

First-hand observations are reports in responses of endpoints, received by this instance or a peer,
and failed connections.

The list may hold entries of other writers. Endpoints are those whose service a configuration has
named; the others are kept aside in case that a later one does.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from rattangate.core.messages import EndpointState, EndpointStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rattangate.core.routes import Service


# Longer than a leaving endpoint goes on serving, and than the age of a copy from which the store
# may come back.
LEAVING_MEMORY_S = 300.0
# Longer than a read of the list waits for changes.
LEAVING_DOUBT_S = 5.0


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Identify one version of a model's weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """Hold one endpoint's entry in the platform's list.

    `incarnation` is the Unix time of the endpoint's start in milliseconds; `slots` is the number of
    requests that it runs at a time. `software_version` is that of the endpoint's own software.
    """

    endpoint: str
    incarnation: int
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    models: tuple[ModelVersion, ...]
    software_version: str = ""

    def version_of(self, model: str) -> int | None:
        """Return the weights version of a model that the endpoint runs, None if it runs none."""
        for item in self.models:
            if item.model == model:
                return item.version
        return None


@dataclass(frozen=True, slots=True)
class WeightsUpdate:
    """Report the weights version of an engine as an instance observed it.

    `version` is the loaded one, 0 while the engine loads another for at most `loading_s` seconds
    more.
    """

    endpoint: str
    incarnation: int
    model: str
    version: int
    loading_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetViewCfg:
    """Hold the settings of the fleet view.

    The cost of sending a request to another data centre is `cross_data_centre_cost_s` for a prompt
    and `cross_data_centre_service_cost_s` for a request to a service without models, in seconds.
    """

    data_centre: str
    block_tokens: int
    cross_data_centre_cost_s: float
    cross_data_centre_service_cost_s: float = 0.0


class FleetView:
    """Merge the platform's list with first-hand observations and report changes of state.

    Each method that takes an observation returns the endpoints whose reported state changed.
    Weights versions of one incarnation only increase, so the highest one observed is current.
    """

    def __init__(self, cfg: FleetViewCfg) -> None:
        self.endpoints: dict[str, ListedEndpoint] = {}
        self._cfg = cfg
        self._services: Mapping[str, Service] = {}
        # The models of each service that a configuration has named, also if it names it no more.
        self._models_of: dict[str, frozenset[str]] = {}
        self._unnamed: dict[str, ListedEndpoint] = {}
        # Keys are the name and the incarnation of an endpoint.
        self._loading_until: dict[tuple[str, int], float] = {}
        self._unreachable: set[tuple[str, int]] = set()
        self._via_peer: set[tuple[str, int]] = set()
        self._gone: set[tuple[str, int]] = set()
        # Replaced by a later incarnation whose entry was not read yet.
        self._ended: set[tuple[str, int]] = set()
        self._suspended_until: dict[tuple[str, int], float] = {}
        self._last_reported: dict[str, EndpointStatus] = {}
        self._min_versions: Mapping[str, int] = {}
        # When it is forgotten that an endpoint said that it is leaving.
        self._leaving_until: dict[tuple[str, int], float] = {}
        # When an endpoint said so, which may have been an incarnation that was not listed yet.
        self._said_leaving_at: dict[str, float] = {}
        self._doubted_until: dict[tuple[str, int], float] = {}

    def configure(self, services: Mapping[str, Service], now: float) -> list[EndpointStatus]:
        """Set the services of a new configuration."""
        self._services = services
        for name, service in services.items():
            self._models_of[name] = self._models_of.get(name, frozenset()).union(service.models)
        self._separate({**self.endpoints, **self._unnamed})
        return self._collect_changes(now)

    def update_list(
        self, listed: Iterable[ListedEndpoint], now: float, asked_at: float = math.inf
    ) -> list[EndpointStatus]:
        """Replace the platform's list; an endpoint that is missing from it is reported as down.

        An endpoint that is leaving stays so if its entry is gone and comes back. One that may have
        said so gets no requests until a list that was requested after that names it as ready.
        """
        previous = {**self.endpoints, **self._unnamed}
        current = {}
        for item in listed:
            merged = _merge(previous.get(item.endpoint), item)
            if self.is_leaving(item.endpoint, item.incarnation):
                merged = replace(merged, is_leaving=True)
            if merged.is_leaving:
                self._remember_leaving(item.endpoint, item.incarnation, now)
            current[item.endpoint] = merged
        self._separate(current)
        self._ended &= {(item.endpoint, item.incarnation) for item in self.endpoints.values()}
        self._update_doubts(asked_at)
        return self._collect_changes(now)

    def update_weights(self, update: WeightsUpdate, now: float) -> list[EndpointStatus]:
        """Apply an observed weights version, or the start of a load, before it is listed."""
        known = self.endpoints.get(update.endpoint)
        if known is None or known.incarnation != update.incarnation:
            return []
        key = (update.endpoint, update.incarnation)
        if update.version == 0:
            self._loading_until[key] = now + update.loading_s
            return self._collect_changes(now)
        others = tuple(item for item in known.models if item.model != update.model)
        loaded = ModelVersion(update.model, update.version)
        reported = replace(known, models=(loaded, *others))
        self.endpoints[update.endpoint] = _merge(known, reported)
        self._loading_until.pop(key, None)
        return self._collect_changes(now)

    def running_model(self, endpoint: str) -> ModelVersion | None:
        """Return the weights that an endpoint runs for its service, None if it names none."""
        item = self.endpoints.get(endpoint)
        return None if item is None else _running_model(item, self._services.get(item.service))

    def set_min_versions(self, minimum: Mapping[str, int], now: float) -> list[EndpointStatus]:
        """Report endpoints as down that run an older version of a model than its minimum."""
        if minimum == self._min_versions:
            return []
        self._min_versions = minimum
        return self._collect_changes(now)

    def mark_leaving(self, endpoint: str, incarnation: int, now: float) -> list[EndpointStatus]:
        """Mark an endpoint as leaving because it said so itself, before it is listed as leaving."""
        if not self.is_leaving(endpoint, incarnation):
            self._said_leaving_at[endpoint] = now
        self._remember_leaving(endpoint, incarnation, now)
        known = self.endpoints.get(endpoint)
        if known is None or known.incarnation != incarnation or known.is_leaving:
            return []
        self.endpoints[endpoint] = replace(known, is_leaving=True)
        return self._collect_changes(now)

    def is_leaving(self, endpoint: str, incarnation: int) -> bool:
        """Tell whether an endpoint was listed as leaving or said so, even if it is not listed now."""
        return (endpoint, incarnation) in self._leaving_until

    def suspend_until(
        self, endpoint: str, incarnation: int, until: float, now: float
    ) -> list[EndpointStatus]:
        """Report an endpoint as down until a time that it requested, such as by Retry-After."""
        key = (endpoint, incarnation)
        self._suspended_until[key] = max(until, self._suspended_until.get(key, until))
        return self._collect_changes(now)

    def set_reachable(
        self, endpoint: str, incarnation: int, is_reachable: bool, now: float
    ) -> list[EndpointStatus]:
        """Record whether this instance can open connections to an endpoint itself."""
        key = (endpoint, incarnation)
        if is_reachable:
            self._unreachable.discard(key)
            self._via_peer.discard(key)
            self._gone.discard(key)
        else:
            self._unreachable.add(key)
        return self._collect_changes(now)

    def set_via_peer(
        self, endpoint: str, incarnation: int, is_via_peer: bool, now: float
    ) -> list[EndpointStatus]:
        """Record whether an endpoint that this instance cannot reach is reached through a peer."""
        key = (endpoint, incarnation)
        if is_via_peer:
            self._via_peer.add(key)
            self._gone.discard(key)
        else:
            self._via_peer.discard(key)
        return self._collect_changes(now)

    def mark_gone(self, endpoint: str, incarnation: int, now: float) -> list[EndpointStatus]:
        """Report an unreachable endpoint as down, as no new connection to it could be opened."""
        self._gone.add((endpoint, incarnation))
        return self._collect_changes(now)

    def mark_ended(self, endpoint: str, incarnation: int, now: float) -> list[EndpointStatus]:
        """Report an endpoint as down until an entry of another incarnation is listed."""
        self._ended.add((endpoint, incarnation))
        return self._collect_changes(now)

    def is_reachable(self, item: ListedEndpoint) -> bool:
        """Tell whether this instance can open connections to an endpoint; true until one failed."""
        return (item.endpoint, item.incarnation) not in self._unreachable

    @property
    def is_cut_off(self) -> bool:
        """Tell whether this instance reaches less than half of the listed endpoints itself."""
        return 2 * self.count_unreachable() > len(self.endpoints)

    def rest_s(self, endpoint: str, incarnation: int, now: float) -> float:
        """Return how many seconds longer an endpoint has asked for no requests."""
        return max(0.0, self._suspended_until.get((endpoint, incarnation), now) - now)

    def count_unreachable(self) -> int:
        """Count the listed endpoints to which this instance cannot open connections."""
        return sum(not self.is_reachable(item) for item in self.endpoints.values())

    def tick(self, now: float) -> list[EndpointStatus]:
        """End the loads and the requested pauses whose deadline has passed."""
        expired = 0
        for key in [key for key, until in self._leaving_until.items() if until <= now]:
            del self._leaving_until[key]
        for deadlines in (self._loading_until, self._suspended_until, self._doubted_until):
            for key in [key for key, deadline in deadlines.items() if deadline <= now]:
                del deadlines[key]
                expired += 1
        return self._collect_changes(now) if expired else []

    def of_service(self, service: str) -> list[ListedEndpoint]:
        """Return the listed endpoints of a service."""
        return [item for item in self.endpoints.values() if item.service == service]

    def replicas_of(self, model: str) -> list[ListedEndpoint]:
        """Return the endpoints that run a model which a configuration names for their service."""
        return [
            item
            for item in self.endpoints.values()
            if item.version_of(model) is not None
            and model in self._models_of.get(item.service, frozenset())
        ]

    def _separate(self, listed: Mapping[str, ListedEndpoint]) -> None:
        """Tell the deployment's endpoints from entries of services that were never configured."""
        self.endpoints, self._unnamed = {}, {}
        for name, item in listed.items():
            is_ours = item.service in self._models_of
            (self.endpoints if is_ours else self._unnamed)[name] = item

    def _update_doubts(self, asked_at: float) -> None:
        self._said_leaving_at = {
            endpoint: at for endpoint, at in self._said_leaving_at.items() if at >= asked_at
        }
        self._doubted_until = {
            (endpoint, self.endpoints[endpoint].incarnation): at + LEAVING_DOUBT_S
            for endpoint, at in self._said_leaving_at.items()
            if endpoint in self.endpoints
        }

    def _remember_leaving(self, endpoint: str, incarnation: int, now: float) -> None:
        self._leaving_until[endpoint, incarnation] = now + LEAVING_MEMORY_S

    def _collect_changes(self, now: float) -> list[EndpointStatus]:
        """Return the endpoints whose state differs from the one last reported, and remember it."""
        seen = {item.endpoint: self._describe(item, now) for item in self.endpoints.values()}
        for service in self._services.values():
            if service.cache_store_address:
                seen[service.name] = self._describe_cache_server(service)
        changed = [item for name, item in seen.items() if self._last_reported.get(name) != item]
        for name, item in self._last_reported.items():
            if name not in seen and item.state is not EndpointState.DOWN:
                gone = replace(item, state=EndpointState.DOWN)
                seen[name] = gone
                changed.append(gone)
        self._last_reported = seen
        return changed

    def _describe(self, item: ListedEndpoint, now: float) -> EndpointStatus:
        service = self._services.get(item.service)
        is_engine = service is not None and service.is_engine
        cache_tokens = service.cache_tokens if service is not None else 0
        return EndpointStatus(
            item.endpoint,
            item.incarnation,
            _weights_version(item, service),
            self._state(item, now) if _runs_model(item, service) else EndpointState.DOWN,
            serves=item.service,
            cache_blocks=cache_tokens // self._cfg.block_tokens,
            available_at=self._suspended_until.get((item.endpoint, item.incarnation)),
            slots=1 if is_engine else item.slots,
            network_cost_s=self._network_cost_s(item.data_centre, is_engine),
            software_version=item.software_version,
        )

    def _describe_cache_server(self, service: Service) -> EndpointStatus:
        return EndpointStatus(
            service.name,
            0,
            "",
            EndpointState.CACHE_STORE,
            serves=service.name,
            cache_blocks=service.cache_tokens // self._cfg.block_tokens,
            network_cost_s=self._network_cost_s(service.data_centre),
        )

    def _network_cost_s(self, data_centre: str, has_prompts: bool = True) -> float:
        if data_centre == self._cfg.data_centre:
            return 0.0
        return (
            self._cfg.cross_data_centre_cost_s
            if has_prompts
            else self._cfg.cross_data_centre_service_cost_s
        )

    def _state(self, item: ListedEndpoint, now: float) -> EndpointState:
        if item.is_leaving:
            return EndpointState.LEAVING
        key = (item.endpoint, item.incarnation)
        if key in self._gone or key in self._ended:
            return EndpointState.DOWN
        if key in self._unreachable and key not in self._via_peer:
            return EndpointState.SUSPENDED
        if key in self._suspended_until or now < self._loading_until.get(key, 0.0):
            return EndpointState.SUSPENDED
        if now < self._doubted_until.get(key, 0.0):
            return EndpointState.SUSPENDED
        if any(loaded.version < self._min_versions.get(loaded.model, 0) for loaded in item.models):
            return EndpointState.SUSPENDED
        return EndpointState.LIVE


def _runs_model(item: ListedEndpoint, service: Service | None) -> bool:
    """Tell whether an endpoint names weights of its service's models, if that one has any."""
    return service is None or not service.models or bool(_weights_version(item, service))


def _weights_version(item: ListedEndpoint, service: Service | None) -> str:
    """Return the version of the weights that an endpoint runs for its service, empty for none."""
    model = _running_model(item, service)
    return "" if model is None else str(model.version)


def _running_model(item: ListedEndpoint, service: Service | None) -> ModelVersion | None:
    if service is None or not service.models:
        return item.models[0] if item.models else None
    by_name = {model.model: model for model in item.models}
    return next((by_name[name] for name in service.models if name in by_name), None)


def _merge(known: ListedEndpoint | None, reported: ListedEndpoint) -> ListedEndpoint:
    """Apply a newer report; leaving marks and higher versions of the incarnation are kept."""
    if known is None or known.incarnation != reported.incarnation:
        return reported
    models = tuple(_newer_version(item, known) for item in reported.models)
    return replace(
        reported,
        is_leaving=known.is_leaving or reported.is_leaving,
        models=models,
    )


def _newer_version(item: ModelVersion, known: ListedEndpoint) -> ModelVersion:
    version = known.version_of(item.model)
    return item if version is None else replace(item, version=max(item.version, version))
