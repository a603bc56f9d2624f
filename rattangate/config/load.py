"""Loads the settings of a site from a base file and an overlay."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from rattangate.config.build import build_settings, parse_tree
from rattangate.config.checks import check_constraints
from rattangate.config.declarations import SITE_KEY
from rattangate.config.diagnostics import ConfigError, Diagnostic
from rattangate.config.merge import merge_overlay
from rattangate.config.tree import Source, parse_source

if TYPE_CHECKING:
    from rattangate.config.model import Settings


@dataclass(frozen=True, slots=True)
class Sources:
    """Hold the files of a deployment: the base and one overlay per site."""

    base: Source
    overlays: tuple[Source, ...] = ()


def load_settings(base: Path | str, overlay: Path | str | None = None) -> Settings:
    """Load settings from files; raise ConfigError with all diagnostics."""
    diagnostics: list[Diagnostic] = []
    base_source = read_source(base, diagnostics)
    overlay_source = read_source(overlay, diagnostics) if overlay is not None else None
    if diagnostics:
        raise ConfigError(tuple(diagnostics))
    return settings_from_sources(base_source, overlay_source)


def load_sources(base: Path | str, overlays: list[Path]) -> Sources:
    """Read the files of a deployment; raise ConfigError if one can't be read."""
    diagnostics: list[Diagnostic] = []
    sources = Sources(
        read_source(base, diagnostics), tuple(read_source(path, diagnostics) for path in overlays)
    )
    if diagnostics:
        raise ConfigError(tuple(diagnostics))
    return sources


def check_sources(sources: Sources) -> dict[str, Settings]:
    """Build the settings of every site, keyed by site.

    The settings of the base without an overlay have an empty key. Raise ConfigError with the
    diagnostics of all sites.
    """
    diagnostics: list[Diagnostic] = []
    sites: dict[str, Settings] = {}
    for overlay in (None, *sources.overlays):
        try:
            settings = settings_from_sources(sources.base, overlay)
        except ConfigError as exc:
            diagnostics += exc.diagnostics
            continue
        if settings.site in sites:
            assert overlay is not None
            problem = "another overlay is for this site already"
            diagnostics.append(
                Diagnostic(overlay.name, 1, SITE_KEY, problem, "join the two overlays")
            )
        sites[settings.site] = settings
    if diagnostics:
        raise ConfigError(_sort_unique(diagnostics))
    return sites


def read_source(path: Path | str, diagnostics: list[Diagnostic]) -> Source:
    """Read one file; add a diagnostic and return an empty source if it can't be read."""
    try:
        return Source(str(path), Path(path).read_bytes())
    except OSError as exc:
        problem = f"the file can't be read ({exc.strerror})"
        diagnostics.append(Diagnostic(str(path), 0, "", problem, "check its path and permissions"))
        return Source(str(path), b"")


def settings_from_sources(base: Source, overlay: Source | None = None) -> Settings:
    """Build settings from texts; raise ConfigError with all diagnostics."""
    parsed_base = parse_source(base)
    diagnostics = list(parsed_base.diagnostics)
    tree = parsed_base.tree
    if overlay is not None:
        parsed_overlay = parse_source(overlay)
        diagnostics += parsed_overlay.diagnostics
        if tree is not None and parsed_overlay.tree is not None:
            tree = merge_overlay(tree, parsed_overlay.tree, diagnostics)
        else:
            tree = None
    if tree is None:
        raise ConfigError(_sort_unique(diagnostics))
    parsed_tree = parse_tree(tree, diagnostics)
    check_constraints(parsed_tree, diagnostics)
    if diagnostics:
        raise ConfigError(_sort_unique(diagnostics))
    return build_settings(parsed_tree)


def _sort_unique(diagnostics: list[Diagnostic]) -> tuple[Diagnostic, ...]:
    return tuple(sorted(set(diagnostics)))
