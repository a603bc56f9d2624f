"""The states in the code and in the specification are the same."""

from __future__ import annotations

import re
from pathlib import Path

from rattangate.core.at_most_once_messages import AttemptState, RecordState

SPEC = Path(__file__).parents[2] / "specs" / "at_most_once.pml"
# The specification models both states by the label `write`.
WRITING = {AttemptState.SAVING, AttemptState.ABANDONING}


def test_attempt_and_record_states_match_the_specification() -> None:
    text = SPEC.read_text()
    labels = set(re.findall(r"^(\w+):", text, re.MULTILINE))
    (states,) = re.findall(r"^mtype = \{ ABSENT, ([^}]*), REFUSED, RAN \}", text, re.MULTILINE)
    assert {state.value for state in set(AttemptState) - WRITING} <= labels
    assert set(states.split(", ")) == {state.name for state in RecordState}
