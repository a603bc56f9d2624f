"""The `config` commands that access the platform: apply, status and pull."""

from __future__ import annotations

import getpass
import os
import uuid
from datetime import UTC, datetime
from functools import partial, singledispatch
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import httpx
import msgspec
import trio
import typer

from rattangate.cmd.admin_client import ADMIN_KEY_VARIABLE
from rattangate.cmd.output import print_faults, print_json, print_line, print_table
from rattangate.config.content import decode_content, encode_content, make_content
from rattangate.config.diagnostics import ConfigError
from rattangate.config.load import load_settings, load_sources
from rattangate.core.config_follower import ReadFailed
from rattangate.core.config_versions import (
    Accepted,
    ChangeConflict,
    ChangeIdReused,
    NotAccepted,
    OutcomeUnknown,
    Proposal,
)
from rattangate.exit_codes import ExitCode
from rattangate.json_decoding import decode_json
from rattangate.platform.outcomes import Unavailable
from rattangate.platform.store import Store
from rattangate.records.config_store import ConfigStore

if TYPE_CHECKING:
    from rattangate.config.model import InstanceCfg, Settings
    from rattangate.core.config_versions import ChangeOutcome, ConfigRecord

APPLY_TIMEOUT_S = 10.0
STATUS_TIMEOUT_S = 2.0
STORE_TIMEOUT_S = 2.0
HISTORY_LENGTH = 10

BasePath = Annotated[Path, typer.Option("--config", "-c", help="Base file of the deployment.")]
OverlayPaths = Annotated[
    list[Path] | None,
    typer.Option("--overlay", "-o", help="Overlay of a site; give it once for each."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")]


def apply(
    config: BasePath,
    edited_from: Annotated[int, typer.Option(help="Version that was edited; 0 for the first.")],
    why: Annotated[str, typer.Option(help="Reason for the change, kept with the version.")],
    overlay: OverlayPaths = None,
    who: Annotated[str, typer.Option(help="Author of the change.")] = "",
    change_id: Annotated[str, typer.Option(help="Id of the change, to repeat it safely.")] = "",
    timeout: Annotated[float, typer.Option(help="Seconds to try for.")] = APPLY_TIMEOUT_S,
    as_json: AsJson = False,
) -> None:
    """Check all sites and make the files the next version, in force everywhere within seconds.

    Exit codes: 0 accepted, 3 the settings have faults, 4 another change came first, 5 the platform
    is unavailable and nothing changed, 7 the outcome is unknown: repeat with the same change id.
    """
    try:
        content = make_content(load_sources(config, overlay or []))
        settings = load_settings(config)
    except ConfigError as exc:
        print_faults(exc.diagnostics, as_json)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    proposal = Proposal(
        edited_from,
        encode_content(content),
        change_id or uuid.uuid4().hex,
        who or getpass.getuser(),
        why,
        datetime.now(UTC).isoformat(timespec="seconds"),
    )
    outcome = trio.run(_propose, settings.platform.address, proposal, timeout)
    if as_json:
        print_json({"outcome": _outcome_name(outcome), **msgspec.to_builtins(outcome)})
    else:
        print_line(_describe_outcome(outcome))
    raise typer.Exit(_exit_code(outcome))


def status(config: BasePath, as_json: AsJson = False) -> None:
    """Show the newest versions and which version each instance has in force.

    The administration key comes from the variable RATTANGATE_ADMIN_KEY.

    Exit codes: 0 all instances that answer have the newest version, 6 some are behind, 3 the
    settings have faults, 5 the platform is unavailable.
    """
    try:
        settings = load_settings(config)
    except ConfigError as exc:
        print_faults(exc.diagnostics, as_json)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    history, versions = trio.run(_read_status, settings)
    if as_json:
        records = msgspec.to_builtins(history) if history is not None else None
        print_json({"versions": records, "instances": versions})
    else:
        _print_status(history, versions)
    if history is None:
        raise typer.Exit(ExitCode.UNAVAILABLE)
    newest = history[0].version if history else 0
    if any(version not in (newest, None) for version in versions.values()):
        raise typer.Exit(ExitCode.DIFFERENT)


def pull(
    config: BasePath,
    to: Annotated[Path, typer.Option(help="Folder that gets the files.")],
    as_json: AsJson = False,
) -> None:
    """Write the files of the newest version, to be edited.

    Exit codes: 0 written, 1 there is no version yet, 3 the settings have faults, 5 the platform is
    unavailable.
    """
    try:
        settings = load_settings(config)
        newest = trio.run(_read_newest_content, settings.platform.address)
        if newest is None:
            print_line("no version was applied yet")
            raise typer.Exit(ExitCode.FAILED)
        if isinstance(newest, ReadFailed):
            print_line("the platform does not answer")
            raise typer.Exit(ExitCode.UNAVAILABLE)
        version, data = newest
        content = decode_content(data)
    except ConfigError as exc:
        print_faults(exc.diagnostics, as_json)
        raise typer.Exit(ExitCode.CONFIG_INVALID) from exc
    to.mkdir(parents=True, exist_ok=True)
    files = {"base": content.base, **content.overlays}
    for name, content_text in files.items():
        (to / f"{name}.yaml").write_text(content_text)
    if as_json:
        print_json({"version": version, "files": [f"{name}.yaml" for name in files]})
    else:
        print_line(f"version {version}; apply with --edited-from {version}")


async def _propose(address: str, proposal: Proposal, timeout_s: float) -> ChangeOutcome:
    async with Store(address, STORE_TIMEOUT_S) as store:
        return await ConfigStore(store).propose(proposal, timeout_s)


async def _read_newest_content(address: str) -> tuple[int, bytes] | ReadFailed | None:
    async with Store(address, STORE_TIMEOUT_S) as store:
        versions = ConfigStore(store)
        newest = await versions.read_newest()
        if isinstance(newest, ReadFailed):
            newest = await versions.read_newest_blob()
        if isinstance(newest, ReadFailed):
            return newest
        if newest.record is None:
            return None
        content = await versions.read_content(newest.record)
        return ReadFailed(newest.source) if content is None else (newest.record.version, content)


async def _read_status(
    settings: Settings,
) -> tuple[tuple[ConfigRecord, ...] | None, dict[str, int | None]]:
    versions: dict[str, int | None] = {}
    headers = {"Authorization": f"Bearer {os.environ.get(ADMIN_KEY_VARIABLE, '')}"}
    async with (
        Store(settings.platform.address, STORE_TIMEOUT_S) as store,
        httpx.AsyncClient(headers=headers, timeout=STATUS_TIMEOUT_S, trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        for instance in settings.instances:
            versions[instance.name] = None
            nursery.start_soon(partial(_read_version_in_force, client, instance, versions))
        history = await _read_history(ConfigStore(store))
    return history, versions


async def _read_history(store: ConfigStore) -> tuple[ConfigRecord, ...] | None:
    newest = await store.read_newest()
    if isinstance(newest, ReadFailed):
        return None
    if newest.record is None:
        return ()
    history = await store.read_history(newest.record.version, HISTORY_LENGTH)
    return None if isinstance(history, Unavailable) else history


async def _read_version_in_force(
    client: httpx.AsyncClient, instance: InstanceCfg, versions: dict[str, int | None]
) -> None:
    try:
        resp = await client.get(f"http://{instance.admin_address}/v1/instances")
        instances = decode_json(resp.content).get("instances", [])
    except (httpx.HTTPError, msgspec.MsgspecError):
        return
    for described in instances:
        if described["name"] == instance.name:
            versions[instance.name] = described["config_version"]


def _print_status(
    history: tuple[ConfigRecord, ...] | None, versions: dict[str, int | None]
) -> None:
    if history is None:
        print_line("the platform does not answer")
    rows = (
        (record.version, record.accepted_at, record.author, record.reason)
        for record in history or ()
    )
    print_table(("version", "accepted", "who", "why"), rows)
    rows_in_force = (
        (name, "no answer" if version is None else version) for name, version in versions.items()
    )
    print_table(("instance", "version in force"), rows_in_force)


@singledispatch
def _describe_outcome(outcome: Any) -> str:
    raise TypeError(f"unknown outcome {outcome!r}")


@_describe_outcome.register
def _(outcome: Accepted) -> str:
    record = outcome.record
    repeat_note = ", by an earlier run" if outcome.is_repeat else ""
    return f"version {record.version} is accepted{repeat_note} (change id {record.change_id})"


@_describe_outcome.register
def _(outcome: ChangeConflict) -> str:
    proposed, newest = outcome.proposed, outcome.newest
    prefix = (
        f"your change ({proposed.author}: {proposed.reason}) edited version {proposed.version - 1}"
    )
    if newest is None:
        return f"{prefix}, but no version was applied yet; apply with --edited-from 0"
    return (
        f"{prefix}, but version {newest.version} ({newest.author}: {newest.reason}) is newest; "
        f"run `config pull`, merge and apply with --edited-from {newest.version}"
    )


@_describe_outcome.register
def _(outcome: ChangeIdReused) -> str:
    record = outcome.accepted
    return f"the change id belongs to version {record.version} ({record.author}: {record.reason})"


@_describe_outcome.register
def _(outcome: NotAccepted) -> str:
    return f"the platform is unavailable ({outcome.detail}); nothing changed"


@_describe_outcome.register
def _(outcome: OutcomeUnknown) -> str:
    return (
        f"the change may be accepted ({outcome.detail}); "
        f"repeat with --change-id {outcome.change_id}"
    )


_EXIT_CODES: dict[type, ExitCode] = {
    Accepted: ExitCode.OK,
    ChangeConflict: ExitCode.CONFLICT,
    ChangeIdReused: ExitCode.CONFLICT,
    NotAccepted: ExitCode.UNAVAILABLE,
    OutcomeUnknown: ExitCode.OUTCOME_UNKNOWN,
}


def _exit_code(outcome: ChangeOutcome) -> ExitCode:
    return _EXIT_CODES[type(outcome)]


def _outcome_name(outcome: ChangeOutcome) -> str:
    names = {Accepted: "accepted", ChangeConflict: "raced", ChangeIdReused: "change_id_reused"}
    return names.get(type(outcome), "unknown" if isinstance(outcome, OutcomeUnknown) else "refused")
