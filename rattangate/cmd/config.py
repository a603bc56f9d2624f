"""The `config` commands: check, show, diff and schema; the others are in `config_versions`."""

from __future__ import annotations

from pathlib import Path  # noqa: TC003
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer
import yaml

from rattangate.cmd import config_versions
from rattangate.cmd.config_versions import AsJson, BasePath, OverlayPaths  # noqa: TC001
from rattangate.cmd.output import print_faults, print_json, print_line, print_table
from rattangate.config.diagnostics import ConfigError, Diagnostic
from rattangate.config.load import check_sources, load_settings, load_sources
from rattangate.config.schema import render_reference, render_schema
from rattangate.config.view import diff_settings, view_settings
from rattangate.exit_codes import ExitCode
from rattangate.http.admin_operations import render_api_reference
from rattangate.metrics import METRICS_PATH, METRICS_PORT
from rattangate.platform.deploy_file import check_deploy_file

if TYPE_CHECKING:
    from rattangate.config.model import Settings

app = typer.Typer(help="Check, show, compare and apply the settings.", no_args_is_help=True)
app.command()(config_versions.apply)
app.command()(config_versions.status)
app.command()(config_versions.pull)

OverlayPath = Annotated[Path | None, typer.Option("--overlay", "-o", help="Overlay of one site.")]


@app.command()
def check(config: BasePath, overlay: OverlayPaths = None, as_json: AsJson = False) -> None:
    """Check the base and every site; report all faults at once.

    Exit codes: 0 no fault, 3 faults were found.
    """
    try:
        sites = check_sources(load_sources(config, overlay or []))
    except ConfigError as exc:
        _exit_invalid(exc, as_json)
    names = sorted(site for site in sites if site)
    if as_json:
        print_json({"faults": [], "sites": names})
        return
    print_line(f"no fault found in the base and {len(names)} overlays")


@app.command("check-deploy")
def check_deploy(
    path: Annotated[Path, typer.Argument(help="Deploy file, such as deploy/system.toml.")],
    as_json: AsJson = False,
) -> None:
    """Check the deploy file of the users' platform; report all faults at once.

    Exit codes: 0 no fault, 3 faults were found.
    """
    try:
        text = path.read_text()
        check_deploy_file(text, str(path), f"{METRICS_PORT}{METRICS_PATH}")
    except OSError as exc:
        fault = Diagnostic(str(path), 0, "", exc.strerror or repr(exc), "name a readable file")
        _exit_invalid(ConfigError((fault,)), as_json)
    except ConfigError as exc:
        _exit_invalid(exc, as_json)
    if as_json:
        print_json({"faults": []})
        return
    print_line(f"no fault found in {path}")


@app.command()
def show(config: BasePath, overlay: OverlayPath = None, as_json: AsJson = False) -> None:
    """Show the settings of a site with all defaults; hashes of secrets are masked.

    Exit codes: 0 shown, 3 the settings have faults.
    """
    view = view_settings(_load(config, overlay, as_json))
    if as_json:
        print_json(view)
    else:
        print(yaml.safe_dump(view, sort_keys=False, allow_unicode=True), end="")


@app.command()
def diff(
    config: BasePath,
    to_config: Annotated[Path, typer.Option("--to-config", help="Base file to compare with.")],
    overlay: OverlayPath = None,
    to_overlay: Annotated[
        Path | None, typer.Option("--to-overlay", help="Overlay to compare with.")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Compare the settings that come of two pairs of files.

    Exit codes: 0 no difference, 6 there are differences, 3 the settings have faults.
    """
    before = _load(config, overlay, as_json)
    after = _load(to_config, to_overlay, as_json)
    changes = diff_settings(before, after)
    if as_json:
        rows = [
            {"path": change.path, "before": change.before, "after": change.after}
            for change in changes
        ]
        print_json({"changes": rows})
    elif changes:
        print_table(
            ("setting", "before", "after"),
            ((change.path, change.before, change.after) for change in changes),
        )
    if changes:
        raise typer.Exit(ExitCode.DIFFERENT)


@app.command()
def schema(
    markdown: Annotated[
        bool, typer.Option("--markdown", help="Print the reference page instead.")
    ] = False,
    api: Annotated[
        bool, typer.Option("--api", help="Print the administration API's reference page instead.")
    ] = False,
) -> None:
    """Print the JSON schema of a base file.

    Exit codes: 0 printed.
    """
    if api:
        print(render_api_reference(), end="")
    elif markdown:
        print(render_reference(), end="")
    else:
        print_json(render_schema())


def _load(config: Path, overlay: Path | None, as_json: bool) -> Settings:
    try:
        return load_settings(config, overlay)
    except ConfigError as exc:
        _exit_invalid(exc, as_json)


def _exit_invalid(exc: ConfigError, as_json: bool) -> NoReturn:
    print_faults(exc.diagnostics, as_json)
    raise typer.Exit(ExitCode.CONFIG_INVALID)
