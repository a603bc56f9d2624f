"""A request is explained from the log lines of several instances."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from typer.testing import CliRunner

from rattangate.cmd.main import app
from rattangate.exit_codes import ExitCode
from rattangate.explain.explanation import explain_request
from rattangate.explain.lines import read_log

if TYPE_CHECKING:
    from rattangate.explain.explanation import Explanation


def make_line(at: float, instance: str, event: str, **fields: object) -> str:
    """Return a log line in the format of an instance."""
    raw = {"timestamp": at, "message_type": event, "instance_name": instance, **fields}
    return json.dumps(raw)


def explain_lines(*lines: str, request_id: str = "a1") -> Explanation:
    """Return the explanation of a request."""
    explanation = explain_request(request_id, read_log(lines))
    assert explanation is not None
    return explanation


def make_refusal(at: float, kind: str, detail: str = "", **fields: object) -> str:
    """Return the log line of a refusal."""
    refusal_fields = {"kind": kind, "detail": detail, "run_state": "not run", **fields}
    return make_line(at, "e1", "request_refused", request_id="a1", **refusal_fields)


def test_overload_reports_the_load_and_the_endpoints_that_are_down():
    explanation = explain_lines(
        make_line(91.0, "e1", "endpoint_down", endpoint="lm-2", error="not listed or loading"),
        make_line(92.0, "e1", "endpoint_down", endpoint="lm-3", error="not listed or loading"),
        make_line(95.0, "e1", "endpoint_live", endpoint="lm-3"),
        make_line(99.5, "e1", "request_placed", request_id="x", queued_ms=700, expected_ms=900),
        make_refusal(100.0, "deadline_unreachable", "late", endpoints_live=3),
    )
    assert explanation.endpoints_down == ("lm-2",)
    assert "3 endpoints of its service were live" in explanation.cause
    assert "placed 1 requests" in explanation.cause
    assert "700 ms" in explanation.cause
    assert "lm-2" in explanation.cause


def test_lost_attempt_reports_the_endpoint_and_who_else_marked_it_down():
    explanation = explain_lines(
        make_line(100.0, "e1", "request_placed", request_id="a1", endpoint="desk-1"),
        make_line(100.2, "e1", "attempt_failed", request_id="a1", endpoint="desk-1", result="lost"),
        make_line(100.2, "e2", "attempt_failed", request_id="b7", endpoint="desk-1", result="lost"),
        make_line(100.3, "e1", "endpoint_down", endpoint="desk-1"),
        make_line(100.4, "e2", "endpoint_down", endpoint="desk-1"),
        make_line(100.4, "e2", "endpoint_down", endpoint="desk-9"),
        make_refusal(100.2, "outcome_unknown", run_state="may have run"),
    )
    assert "desk-1 ended as lost" in explanation.cause
    assert "marked down by 2 instance(s)" in explanation.cause
    assert "1 attempts of other requests" in explanation.cause
    assert "must not be repeated" in explanation.cause
    assert not [each for each in explanation.lines if each.text("endpoint") == "desk-9"]


def test_quarantine_names_the_parts_in_force_at_the_instance():
    def verdict(at, instance, subject, value):
        fields = {"subject": subject, "verdict": value, "crashes": 3}
        return make_line(at, instance, "verdict_changed", **fields)

    explanation = explain_lines(
        verdict(50.0, "e1", "lm/deadly", "guilty"),
        verdict(51.0, "e1", "lm/mended", "guilty"),
        verdict(52.0, "e1", "lm/mended", "free"),
        verdict(53.0, "e2", "lm/elsewhere", "guilty"),
        make_refusal(100.0, "quarantined"),
    )
    assert "lm/deadly (3 crashes, 50.0 s before)" in explanation.cause
    assert "mended" not in explanation.cause
    assert "elsewhere" not in explanation.cause


def test_stale_keys_are_explained_by_a_store_outage():
    explanation = explain_lines(
        make_line(50.0, "e1", "platform_down", service="store", error="status 503"),
        make_line(60.0, "e2", "platform_up", service="store"),
        make_refusal(100.0, "platform_unavailable", "keys may be out of date"),
    )
    assert "keys may be out of date" in explanation.cause
    assert "fell silent 50.0 s before: status 503" in explanation.cause
    assert [each.instance for each in explanation.lines] == ["e1", "e1"]
    recovered = explain_lines(
        make_line(50.0, "e1", "platform_down", service="store", error="status 503"),
        make_line(99.0, "e1", "platform_up", service="store"),
        make_refusal(100.0, "platform_unavailable", "keys may be out of date"),
    )
    assert "answered again 1.0 s before" in recovered.cause


def test_unknown_key_reports_the_configuration_version_and_its_age():
    explanation = explain_lines(
        make_line(40.0, "e1", "config_in_force", version=3),
        make_line(70.0, "e1", "config_in_force", version=9),
        make_line(99.0, "e2", "config_in_force", version=12),
        make_refusal(100.0, "unauthenticated", "configuration 9"),
    )
    assert explanation.cause == (
        "The configuration 9 contains no such key."
        " Version 9 had been in force at this instance for 30.0 s."
    )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (make_line(1.0, "e1", "request_placed", request_id="a1"), "no final line"),
        (make_line(1.0, "e1", "request_abandoned", request_id="a1"), "disconnected before"),
        (
            make_line(1.0, "e1", "internal_fault", request_id="a1", error="KeyError('x')"),
            "An internal fault of e1 ended it: KeyError('x').",
        ),
        (
            make_line(1.0, "e1", "request_done", request_id="a1", endpoint="l", attempts=2),
            "answered",
        ),
        (make_refusal(1.0, "shutting_down"), "shutting down"),
        (make_refusal(1.0, "quarantined", "seen twice"), "quarantined"),
        (make_refusal(1.0, "retries_exhausted", "budget"), "no failed attempt"),
    ],
)
def test_every_outcome_has_a_cause(text, expected):
    assert expected in explain_lines(text).cause


def test_an_abandoned_request_reports_how_far_it_had_got():
    line = make_line(
        1.0, "e1", "request_abandoned", request_id="a1", stage="sent", endpoint="desk-1",
        waited_ms=900, placed_ms=0
    )  # fmt: skip
    assert explain_lines(line).cause == (
        "The caller disconnected before the answer was complete (stage sent), 900 ms after the"
        " request was read and 0 ms after desk-1 was chosen for it."
    )


def test_timeout_reports_the_endpoint_that_did_not_answer():
    explanation = explain_lines(
        make_line(100.0, "e1", "request_placed", request_id="a1", endpoint="desk-1"),
        make_line(101.0, "e2", "attempt_failed", request_id="b1", endpoint="desk-1", result="lost"),
        make_refusal(101.1, "outcome_unknown", "out of time", run_state="may have run"),
    )
    assert explanation.cause == (
        "It was sent to desk-1, which had not answered 1100 ms later (out of time);"
        " it may have run. 1 attempts of other requests failed there too."
    )


def test_foreign_lines_are_counted_and_prefixes_ignored():
    log = read_log(["front-1 | " + make_refusal(1.0, "overloaded"), "plain words", "", '{"x": 1}'])
    assert (len(log.lines), log.unreadable) == (1, 2)


def test_command_explains_a_request_from_several_logs(tmp_path):
    first_log, second_log = tmp_path / "e1.log", tmp_path / "e2.log"
    first_log.write_text(make_refusal(2.0, "overloaded", "queue full") + "\n")
    second_log.write_text(make_line(1.0, "e2", "request_placed", request_id="a1") + "\nnoise\n")
    paths = [str(first_log), str(second_log)]
    result = CliRunner().invoke(app, ["explain", "a1", *paths])
    assert result.exit_code == ExitCode.OK
    assert result.stdout.index("request_placed") < result.stdout.index("request_refused")
    assert "Cause: It was refused because no endpoint" in result.stdout
    as_json = CliRunner().invoke(app, ["explain", "a1", *paths, "--json"])
    assert json.loads(as_json.stdout)["request_id"] == "a1"
    assert CliRunner().invoke(app, ["explain", "zz", *paths]).exit_code == ExitCode.FAILED
    missing = CliRunner().invoke(app, ["explain", "a1", str(tmp_path / "none")])
    assert missing.exit_code == ExitCode.USAGE
