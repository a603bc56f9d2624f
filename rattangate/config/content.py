"""The stored content of one configuration version: its base file and all overlays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rattangate.config.diagnostics import ConfigError, Diagnostic
from rattangate.config.load import Sources, check_sources, settings_from_sources
from rattangate.config.tree import Source
from rattangate.json_decoding import decode_json

if TYPE_CHECKING:
    from rattangate.config.model import Settings

BASE_NAME = "base.yaml"


@dataclass(frozen=True, slots=True)
class ConfigContent:
    """Hold the texts of the base file and of the overlays, keyed by site."""

    base: str
    overlays: dict[str, str]

    @property
    def sources(self) -> Sources:
        """Return the texts under the file names that diagnostics show."""
        overlays = (Source(f"{site}.yaml", text) for site, text in self.overlays.items())
        return Sources(Source(BASE_NAME, self.base), tuple(overlays))

    def build_settings(self, site: str) -> Settings:
        """Return the settings of a site; raise ConfigError if they are invalid."""
        text = self.overlays.get(site)
        overlay = Source(f"{site}.yaml", text) if text is not None else None
        return settings_from_sources(Source(BASE_NAME, self.base), overlay)


def make_content(sources: Sources) -> ConfigContent:
    """Validate every site and return the content.

    Raise ConfigError with the diagnostics of all sites.
    """
    sites = [site for site in check_sources(sources) if site]
    texts = [_decode_text(overlay) for overlay in sources.overlays]
    return ConfigContent(_decode_text(sources.base), dict(zip(sites, texts, strict=True)))


def encode_content(content: ConfigContent) -> bytes:
    """Encode a content as JSON; equal contents give equal bytes."""
    return msgspec.json.encode(content, order="deterministic")


def decode_content(data: bytes) -> ConfigContent:
    """Decode a content from JSON; raise ConfigError if it is malformed."""
    try:
        return decode_json(data, ConfigContent)
    except msgspec.MsgspecError as exc:
        diagnostic = Diagnostic(
            BASE_NAME, 1, "", "the content is malformed", "apply the files again"
        )
        raise ConfigError((diagnostic,)) from exc


def _decode_text(source: Source) -> str:
    return source.text if isinstance(source.text, str) else source.text.decode()
