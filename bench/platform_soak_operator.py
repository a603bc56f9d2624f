"""The operator of the platform soak: it moves and splits the route of the streams, among others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.front.deployment import make_config

if TYPE_CHECKING:
    import random

    from rattangate.standins.rows_store import RowsStore

ENGINE_SERVICES = ("llm", "llm-two")
RESUMABLE_ROUTE = "r"
WEIGHTS = (0.1, 0.5, 0.9)
TIMEOUTS_MS = (6_000, 7_000, 8_000)
IDLE_TIMEOUTS_MS = (10_000, 15_000, 20_000)


class SoakOperator:
    """Write configurations, each with a new version, that differ in one value."""

    def __init__(self, store: RowsStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._version = 0
        self._shares = {ENGINE_SERVICES[0]: 1.0}
        self._timeout_ms = TIMEOUTS_MS[0]
        self._idle_timeout_ms = IDLE_TIMEOUTS_MS[1]

    def leads_to(self, service: str) -> bool:
        """Tell whether the route of the resumable streams leads to a service."""
        return service in self._shares

    def write(self) -> str:
        """Write the configuration, and return what tells it from the others."""
        self._version += self._rng.randint(1, 3)
        self._store.put("op", "config", self._config())
        return (
            f"version {self._version}: {self._shares}, timeout {self._timeout_ms} ms, "
            f"idle timeout {self._idle_timeout_ms} ms"
        )

    def change_route(self) -> str:
        """Move the route to the other service, or split it with new weights."""
        if self._rng.random() < 0.5:
            weight = self._rng.choice(WEIGHTS)
            self._shares = dict(zip(ENGINE_SERVICES, (weight, 1.0 - weight), strict=True))
        else:
            others = [service for service in ENGINE_SERVICES if self._shares.get(service) != 1.0]
            self._shares = {self._rng.choice(others): 1.0}
        return self.write()

    def change_timeout(self) -> str:
        """Give the routes another timeout."""
        self._timeout_ms = self._rng.choice(TIMEOUTS_MS)
        return self.write()

    def change_idle_timeout(self) -> str:
        """Change how long callers may keep a connection idle."""
        self._idle_timeout_ms = self._rng.choice(IDLE_TIMEOUTS_MS)
        return self.write()

    def change_any(self) -> str:
        """Change the route or a timeout."""
        return self._rng.choice(
            [self.change_route, self.change_timeout, self.change_idle_timeout]
        )()

    def _config(self) -> dict[str, Any]:
        config = make_config(self._version)
        for route in config["routes"]:
            route["timeout_ms"] = self._timeout_ms
            if route["name"] == RESUMABLE_ROUTE:
                route |= {"max_attempts": 3} | self._destination()
        engine = next(item for item in config["services"] if item["name"] == ENGINE_SERVICES[0])
        config["services"].append({**engine, "name": ENGINE_SERVICES[1]})
        config["limits"] = {"idle_timeout_ms": self._idle_timeout_ms}
        return config

    def _destination(self) -> dict[str, Any]:
        if len(self._shares) == 1:
            return {"service": next(iter(self._shares))}
        shares = [{"service": name, "weight": weight} for name, weight in self._shares.items()]
        return {"traffic_split": shares}
