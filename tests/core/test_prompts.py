"""Check how the shared parts of chats are identified."""

from __future__ import annotations

from rattangate.core.prompts import shared_part_ids


def _chat(*contents, role="user"):
    return {"messages": [{"role": role, "content": content} for content in contents]}


def test_chats_share_the_messages_that_are_equal_wherever_they_stand():
    first = shared_part_ids("m", _chat("system", "document", "question"))
    second = shared_part_ids("m", _chat("other system", "document", "other question"))
    assert len(first) == len(second) == 2
    assert first[1] == second[1]
    assert first[0] != second[0]


def test_last_message_other_models_and_other_roles_are_not_shared():
    assert shared_part_ids("m", _chat("question")) == ()
    assert shared_part_ids("m", {"prompt": "question"}) == ()
    document = shared_part_ids("m", _chat("document", "question"))
    assert document != shared_part_ids("n", _chat("document", "question"))
    assert document != shared_part_ids("m", _chat("document", "question", role="system"))
