"""The active settings of an instance and the lookup tables derived from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.auth import Keyring

if TYPE_CHECKING:
    from rattangate.config.model import Settings


class ActiveSettings:
    """Hold the active settings; all attributes are replaced together."""

    def __init__(self, settings: Settings) -> None:
        self.apply(settings)

    def apply(self, settings: Settings) -> None:
        """Make new settings the active ones."""
        self.settings = settings
        self.keyring = Keyring(settings.workspaces, settings.admin_keys)
        self.models = {model.name: model for model in settings.models}

    def desired_version(self, model: str) -> str | None:
        """Return the weights version that a model should run, None for an unknown model."""
        model_cfg = self.models.get(model)
        return None if model_cfg is None else model_cfg.weights_version
