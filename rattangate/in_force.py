"""The settings in force on an instance and what is derived from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattangate.auth import Keyring

if TYPE_CHECKING:
    from rattangate.config.model import Settings


class InForce:
    """Hold the settings in force; all parts are replaced at once."""

    def __init__(self, settings: Settings) -> None:
        self.take(settings)

    def take(self, settings: Settings) -> None:
        """Take settings into force."""
        self.settings = settings
        self.keyring = Keyring(settings.workspaces, settings.admin_keys)
        self.models = {model.name: model for model in settings.models}
