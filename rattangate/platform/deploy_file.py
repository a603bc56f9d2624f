"""Validation of the deploy file, which tells the platform how to build and run this product."""

from __future__ import annotations

import re
import tomllib
from typing import TYPE_CHECKING, Any

from rattangate.config.diagnostics import ConfigError, Diagnostic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

INSTANCE_CLASSES = ("front", "spare")
SERVICES = ("front", "control")
TOP_LEVEL_FIELDS = frozenset({"build", "packages", "roles"})
ROLE_FIELDS = frozenset(
    {"run", "on", "share", "count", "apart", "serves", "metrics", "template", "env"}
)
_TOML_ERROR_LINE = re.compile(r"\(at line (\d+),")


def check_deploy_file(text: str, path: str, metrics_address: str) -> None:
    """Raise ConfigError with all faults; `metrics_address` is PORT/PATH of the metrics."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        match = _TOML_ERROR_LINE.search(str(exc))
        line = int(match[1]) if match else 0
        raise ConfigError((Diagnostic(path, line, "", str(exc), "write valid TOML"),)) from exc
    checker = _DeployFileChecker(text, path, metrics_address)
    faults = tuple(sorted(checker.check(values)))
    if faults:
        raise ConfigError(faults)


class _DeployFileChecker:
    def __init__(self, text: str, path: str, metrics_address: str) -> None:
        self._lines = text.splitlines()
        self._path = path
        self._metrics_address = metrics_address

    def check(self, values: dict[str, Any]) -> Iterator[Diagnostic]:
        yield from self._check_unknown_fields("", values, TOP_LEVEL_FIELDS)
        if not _is_non_empty_string(values.get("build")):
            yield self._fault(
                "build", "missing or not a non-empty string", "name the build command"
            )
        roles = values.get("roles")
        if not isinstance(roles, dict) or not roles:
            yield self._fault(
                "roles", "no role is defined", "add a table [roles.NAME] with `run` and `on`"
            )
            return
        for name, role in roles.items():
            if not isinstance(role, dict):
                yield self._fault(f"roles.{name}", "not a table", f"write [roles.{name}]")
            else:
                yield from self._check_role(f"roles.{name}", role)
        yield from self._check_duplicate_services(roles)

    def _check_role(self, key: str, role: dict[str, Any]) -> Iterator[Diagnostic]:
        yield from self._check_unknown_fields(key, role, ROLE_FIELDS)
        yield from self._check_field(
            key, role, "run", _is_non_empty_string, "name the program and its arguments"
        )
        is_instance_class = INSTANCE_CLASSES.__contains__
        yield from self._check_field(
            key, role, "on", is_instance_class, f"name one of {', '.join(INSTANCE_CLASSES)}"
        )
        if ("share" in role) == ("count" in role):
            yield self._fault(key, "needs exactly one of share and count", "set `share = 1.0`")
        if "share" in role:
            hint = "set a number above 0 and at most 1"
            yield from self._check_field(key, role, "share", _is_share, hint)
        if "count" in role:
            yield from self._check_field(
                key, role, "count", _is_count, "set an integer of at least 1"
            )
        if "serves" in role:
            hint = f"list one or more of {', '.join(SERVICES)}"
            yield from self._check_field(key, role, "serves", _is_service_list, hint)
        if "metrics" in role:
            hint = f'set "{self._metrics_address}", where an instance exposes its metrics'
            yield from self._check_field(key, role, "metrics", self._is_metrics_address, hint)

    def _check_duplicate_services(self, roles: dict[str, Any]) -> Iterator[Diagnostic]:
        """Report services that several roles of the same instance class serve."""
        role_by_service: dict[tuple[Any, str], str] = {}
        for name, role in roles.items():
            services = role.get("serves") if isinstance(role, dict) else None
            for service in services if isinstance(services, list) else ():
                first_role = role_by_service.setdefault((str(role.get("on")), str(service)), name)
                if first_role != name:
                    problem = (
                        f"{service!r} is already served by role {first_role} of the same class"
                    )
                    yield self._fault(
                        f"roles.{name}.serves", problem, "list the service in only one role"
                    )

    def _is_metrics_address(self, value: object) -> bool:
        return value == self._metrics_address

    def _check_unknown_fields(
        self, key: str, values: dict[str, Any], known: frozenset[str]
    ) -> Iterator[Diagnostic]:
        for name in values.keys() - known:
            hint = f"use one of {', '.join(sorted(known))}"
            yield self._fault(f"{key}.{name}".lstrip("."), "unknown field", hint)

    def _check_field(
        self,
        key: str,
        role: dict[str, Any],
        name: str,
        is_valid: Callable[[Any], bool],
        hint: str,
    ) -> Iterator[Diagnostic]:
        value = role.get(name)
        if value is None:
            yield self._fault(f"{key}.{name}", "missing", hint)
        elif not is_valid(value):
            yield self._fault(f"{key}.{name}", f"{value!r} is not valid", hint)

    def _fault(self, key: str, problem: str, hint: str) -> Diagnostic:
        return Diagnostic(self._path, self._find_line(key), key, problem, hint)

    def _find_line(self, key: str) -> int:
        """Return the line of a key, that of its table if the key is missing, or else 0."""
        table, _, name = key.rpartition(".")
        table_line = 0
        current_table = ""
        for line_number, line_text in enumerate(self._lines, 1):
            header = re.fullmatch(r"\s*\[([^\]]+)\]\s*(#.*)?", line_text)
            if header:
                current_table = header[1].strip()
                table_line = (
                    line_number if current_table in (key, table) and current_table else table_line
                )
            elif current_table == table and re.match(rf"\s*{re.escape(name)}\s*=", line_text):
                return line_number
        return table_line


def _is_non_empty_string(value: object) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_share(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 < value <= 1


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 1


def _is_service_list(value: object) -> bool:
    return isinstance(value, list) and all(service in SERVICES for service in value)
