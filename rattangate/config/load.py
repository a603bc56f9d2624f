"""Loads the settings of a site from its base and overlay."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from rattangate.config.build import build_draft, build_settings
from rattangate.config.checks import check_draft
from rattangate.config.declarations import SITE_KEY
from rattangate.config.faults import ConfigError, Fault
from rattangate.config.merge import merge_overlay
from rattangate.config.tree import Source, parse_source

if TYPE_CHECKING:
    from rattangate.config.model import Settings


@dataclass(frozen=True, slots=True)
class Sources:
    """Hold the texts of a deployment: the base and the overlays of its sites."""

    base: Source
    overlays: tuple[Source, ...] = ()


def load_settings(base: Path | str, overlay: Path | str | None = None) -> Settings:
    """Load settings from files; raise ConfigError with every fault that was found."""
    faults: list[Fault] = []
    base_source = read_source(base, faults)
    overlay_source = read_source(overlay, faults) if overlay is not None else None
    if faults:
        raise ConfigError(tuple(faults))
    return settings_from_sources(base_source, overlay_source)


def load_sources(base: Path | str, overlays: list[Path]) -> Sources:
    """Read the files of a deployment; raise ConfigError when one can't be read."""
    faults: list[Fault] = []
    sources = Sources(
        read_source(base, faults), tuple(read_source(path, faults) for path in overlays)
    )
    if faults:
        raise ConfigError(tuple(faults))
    return sources


def check_sources(sources: Sources) -> dict[str, Settings]:
    """Build the settings of every site, by site; the base alone stands under an empty name."""
    faults: list[Fault] = []
    sites: dict[str, Settings] = {}
    for overlay in (None, *sources.overlays):
        try:
            settings = settings_from_sources(sources.base, overlay)
        except ConfigError as exc:
            faults += exc.faults
            continue
        if settings.site in sites:
            assert overlay is not None
            problem = "another overlay is for this site already"
            faults.append(Fault(overlay.name, 1, SITE_KEY, problem, "join the two overlays"))
        sites[settings.site] = settings
    if faults:
        raise ConfigError(_in_order(faults))
    return sites


def read_source(path: Path | str, faults: list[Fault]) -> Source:
    """Read one file and add a fault when it can't be read."""
    try:
        return Source(str(path), Path(path).read_bytes())
    except OSError as exc:
        problem = f"the file can't be read ({exc.strerror})"
        faults.append(Fault(str(path), 0, "", problem, "check its path and permissions"))
        return Source(str(path), b"")


def settings_from_sources(base: Source, overlay: Source | None = None) -> Settings:
    """Build settings from texts; raise ConfigError with every fault that was found."""
    parsed = parse_source(base)
    faults = list(parsed.faults)
    tree = parsed.tree
    if overlay is not None:
        parsed_overlay = parse_source(overlay)
        faults += parsed_overlay.faults
        if tree is not None and parsed_overlay.tree is not None:
            tree = merge_overlay(tree, parsed_overlay.tree, faults)
        else:
            tree = None
    if tree is None:
        raise ConfigError(_in_order(faults))
    draft = build_draft(tree, faults)
    check_draft(draft, faults)
    if faults:
        raise ConfigError(_in_order(faults))
    return build_settings(draft)


def _in_order(faults: list[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(set(faults)))
