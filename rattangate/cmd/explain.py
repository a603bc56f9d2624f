"""The command that explains the outcome of one request from the logs."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from rattangate.cmd.output import print_json, print_line
from rattangate.exit_codes import ExitCode
from rattangate.explain.explanation import explain_request
from rattangate.explain.lines import read_log

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from rattangate.explain.explanation import Explanation
    from rattangate.explain.lines import LogLine

# Fields that the log writer adds to each line; they say nothing about the request.
HIDDEN_FIELDS = frozenset(
    {"timestamp", "task_uuid", "task_level", "message_type", "number", "instance_name"}
)

LogPaths = Annotated[list[Path], typer.Argument(help="Logs of the instances, in any order.")]


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request, as its caller gave it.")],
    logs: LogPaths,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Tell the story of a request: its lines, the beliefs that decided it, and the cause.

    Exit codes: 0 told, 1 no line of this request, 2 a log cannot be read.
    """
    try:
        log = read_log(_read_texts(logs))
    except OSError as exc:
        print_line(f"{exc.filename}: {exc.strerror}; name a readable log")
        raise typer.Exit(ExitCode.USAGE) from exc
    story = explain_request(request_id, log)
    if story is None:
        print_line(f"no line of request {request_id} in {len(log.lines)} lines")
        raise typer.Exit(ExitCode.FAILED)
    if as_json:
        print_json(_story_as_dict(story))
        return
    for line in story.lines:
        print_line(_format_line(line, story.request_id))
    print_line("")
    print_line(f"Cause: {story.cause}")
    if log.unreadable:
        print_line(f"{log.unreadable} lines are not rattangate log lines and were skipped.")


def _read_texts(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from file


def _format_line(line: LogLine, request_id: str) -> str:
    marker = "*" if line.text("request_id") == request_id else " "
    time = datetime.fromtimestamp(line.at, UTC).strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in _visible_fields(line))
    return f"{marker} {time} {line.instance} {line.event.name.lower()} {fields}"


def _visible_fields(line: LogLine) -> list[tuple[str, object]]:
    return [(name, value) for name, value in line.fields.items() if name not in HIDDEN_FIELDS]


def _story_as_dict(story: Explanation) -> dict[str, object]:
    return {
        "request_id": story.request_id,
        "cause": story.cause,
        "lines": [dict(line.fields) for line in story.lines],
    }
