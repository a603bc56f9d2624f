"""What is known of the endpoints and instances that the platform lists."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelVersion:
    """Name a model and one version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """Hold one endpoint's entry in the platform's list.

    `incarnation` is the Unix time of its start in milliseconds; `order_seq` counts the orders that
    it accepted since.
    """

    endpoint: str
    incarnation: int
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    order_seq: int
    models: tuple[ModelVersion, ...]

    def version_of(self, model: str) -> int | None:
        """Return the weights version that the endpoint runs for a model."""
        for item in self.models:
            if item.model == model:
                return item.version
        return None
