"""The content of one configuration version: the texts of the base and of all overlays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from rattangate.config.faults import ConfigError, Fault
from rattangate.config.load import Sources, check_sources, settings_from_sources
from rattangate.config.tree import Source

if TYPE_CHECKING:
    from rattangate.config.model import Settings

BASE_NAME = "base.yaml"


@dataclass(frozen=True, slots=True)
class ConfigContent:
    """Hold the texts of a deployment; overlays are by site."""

    base: str
    overlays: dict[str, str]

    @property
    def sources(self) -> Sources:
        """Return the texts under the names that faults give them."""
        overlays = (Source(f"{site}.yaml", text) for site, text in self.overlays.items())
        return Sources(Source(BASE_NAME, self.base), tuple(overlays))

    def settings_of(self, site: str) -> Settings:
        """Return the settings of a site; raise ConfigError when they have faults."""
        text = self.overlays.get(site)
        overlay = Source(f"{site}.yaml", text) if text is not None else None
        return settings_from_sources(Source(BASE_NAME, self.base), overlay)


def content_of(sources: Sources) -> ConfigContent:
    """Check all sites and return their content; raise ConfigError with every fault."""
    sites = [site for site in check_sources(sources) if site]
    texts = [_text_of(overlay) for overlay in sources.overlays]
    return ConfigContent(_text_of(sources.base), dict(zip(sites, texts, strict=True)))


def encode_content(content: ConfigContent) -> bytes:
    """Encode a content; equal contents give equal bytes."""
    return msgspec.json.encode(content, order="deterministic")


def decode_content(data: bytes) -> ConfigContent:
    """Decode a content; raise ConfigError when it is malformed."""
    try:
        return msgspec.json.decode(data, type=ConfigContent)
    except msgspec.MsgspecError as exc:
        fault = Fault(BASE_NAME, 1, "", "the content is malformed", "apply the files again")
        raise ConfigError((fault,)) from exc


def _text_of(source: Source) -> str:
    return source.text if isinstance(source.text, str) else source.text.decode()
