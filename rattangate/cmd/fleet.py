"""The commands that list instances and endpoints, drain endpoints and order weights versions."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

from rattangate.cmd.admin_client import AdminClient
from rattangate.cmd.output import print_faults, print_json, print_line, print_table
from rattangate.config.diagnostics import ConfigError
from rattangate.exit_codes import ExitCode

endpoints_app = typer.Typer(help="List, drain and order endpoints.", no_args_is_help=True)

BasePath = Annotated[Path, typer.Option("--config", "-c", help="Base file of the deployment.")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]

INSTANCE_COLUMNS = ("name", "data_centre", "state", "incarnation", "config_version")
ENDPOINT_COLUMNS = ("name", "kind", "data_centre", "serves", "state", "weights_version")


def instances(config: BasePath, as_json: AsJson = False) -> None:
    """List the entry instances as the first one that answers sees them.

    The administration key comes from the variable RATTANGATE_ADMIN_KEY.

    Exit codes: 0 listed, 1 refused, 3 the settings have faults, 5 no instance answers.
    """
    rows = _open_client(config).call("GET", "/v1/instances").json()["instances"]
    _print_rows(rows, INSTANCE_COLUMNS, as_json)


@endpoints_app.command("list")
def list_endpoints(config: BasePath, as_json: AsJson = False) -> None:
    """List the endpoints as the first instance that answers sees them.

    Exit codes: 0 listed, 1 refused, 3 the settings have faults, 5 no instance answers.
    """
    rows = _open_client(config).call("GET", "/v1/endpoints").json()["endpoints"]
    _print_rows(rows, ENDPOINT_COLUMNS, as_json)


@endpoints_app.command()
def drain(
    config: BasePath,
    name: Annotated[str, typer.Argument(help="Name of the endpoint.")],
    why: Annotated[str, typer.Option(help="Reason, kept with the version.")],
    as_json: AsJson = False,
) -> None:
    """Take an endpoint out of the configuration; running work ends whole, no new work is given.

    Exit codes: 0 accepted, 1 refused, 3 the settings have faults, 5 no instance answers.
    """
    version = _open_client(config).edit("DELETE", f"/v1/endpoints/{name}", why)
    if as_json:
        print_json({"endpoint": name, "version": version})
    else:
        print_line(
            f"{name} is out of version {version}; `config status` shows where it is in force"
        )


@endpoints_app.command()
def order(
    config: BasePath,
    model: Annotated[str, typer.Argument(help="Name of the model.")],
    weights_version: Annotated[str, typer.Argument(help="Weights version to load.")],
    why: Annotated[str, typer.Option(help="Reason, kept with the version.")],
    as_json: AsJson = False,
) -> None:
    """Order all engines of a model to a weights version; the earlier version turns it back.

    Exit codes: 0 accepted, 1 refused, 3 the settings have faults, 5 no instance answers.
    """
    body = {"weights_version": weights_version}
    version = _open_client(config).edit("PUT", f"/v1/models/{model}", why, body)
    if as_json:
        print_json({"model": model, "weights_version": weights_version, "version": version})
    else:
        print_line(
            f"version {version} wants {model} at {weights_version}; `endpoints list` follows it"
        )


def _open_client(config: Path) -> AdminClient:
    try:
        return AdminClient(config)
    except ConfigError as exc:
        print_faults(exc.diagnostics, as_json=False)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc


def _print_rows(rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool) -> None:
    if as_json:
        print_json(rows)
        return
    print_table(columns, ([row.get(column) for column in columns] for row in rows))
