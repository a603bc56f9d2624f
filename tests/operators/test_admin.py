"""The administration API: OpenAPI description, roles, edits, conflicts, idempotency and audit."""

from __future__ import annotations

import uuid
from hashlib import sha256
from types import SimpleNamespace

import httpx
import pytest
import trio
import trio.testing
import yaml

from rattangate.auth import hash_key
from rattangate.config.model import Role
from rattangate.core.gateway import Gateway, GatewayCfg
from rattangate.core.messages import EndpointState
from rattangate.http.admin_handlers import (
    ACTIONS,
    EDITS,
    READS,
    AdminCall,
    list_quarantine,
    release_quarantine,
)
from rattangate.http.admin_operations import OPERATIONS, describe_api
from tests.operators.apply_config import apply_files, wait_in_force
from tests.small_deployment import DeploymentCfg, small_deployment

KEY_HASHES = [sha256(bytes([n])).hexdigest() for n in range(8)]
KEYS_BY_ROLE = {
    Role.OPERATOR: "demo-admin",
    Role.READER: "demo-reader",
    Role.WORKSPACE_OWNER: "demo-own",
}
ADMIN_KEYS = [
    {"name": "admin", "key_hash": hash_key("demo-admin"), "role": "operator"},
    {"name": "reader", "key_hash": hash_key("demo-reader"), "role": "reader"},
    {
        "name": "own",
        "key_hash": hash_key("demo-own"),
        "role": "workspace_owner",
        "workspace": "alpha",
    },
]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Start a small deployment and apply its files as configuration version 1."""
    settings = {
        "admin_keys": ADMIN_KEYS,
        "peers": {"secret_hash": hash_key("demo-peers")},
    }
    shape = DeploymentCfg(engines=2, instances=2, settings=settings)
    with small_deployment(tmp_path_factory.mktemp("admin"), shape) as running:
        apply_files(running, 0)
        wait_in_force(running, 1)
        yield running


class AdminApi:
    """Call the administration API of one instance."""

    def __init__(self, deployment, index: int = 0) -> None:
        self.base = f"http://{deployment.settings.instances[index].admin_address}"

    def call(self, method: str, path: str, role=Role.OPERATOR, body=None, **headers: str):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        headers["Authorization"] = f"Bearer {KEYS_BY_ROLE[role]}"
        url = self.base + path
        return httpx.request(method, url, headers=headers, json=body, timeout=20, trust_env=False)

    def edit(self, method: str, path: str, body=None, role=Role.OPERATOR, **headers: str):
        etag = self.call("GET", "/v1/config").headers["ETag"]
        return self.call(
            method, path, role, body, **{"If_Match": etag, "Change_Reason": "test", **headers}
        )


@pytest.fixture
def api(deployment):
    """Return the API of the first instance."""
    return AdminApi(deployment)


def test_each_operation_has_exactly_one_handler():
    assert {op.name for op in OPERATIONS if op.edits_config} == EDITS.keys()
    assert {
        op.name for op in OPERATIONS if op.changes_state and not op.edits_config
    } == ACTIONS.keys()
    assert {op.name for op in OPERATIONS if not op.changes_state} == READS.keys()


def test_openapi_description_is_served(api):
    assert api.call("GET", "/v1/openapi.json").json() == describe_api()


def test_every_operation_responds_with_a_described_status(api):
    paths = describe_api()["paths"]
    for op in OPERATIONS:
        path = op.path.format(
            workspace="absent", endpoint="absent", model="absent", key_id="absent", digest="absent"
        )
        resp = api.edit(op.method, path, {"share": "x"} if op.body else None)
        assert str(resp.status_code) in paths[op.path][op.method.lower()]["responses"], op.name
        assert resp.status_code != 500


def test_every_operation_permits_only_its_roles(api):
    for op in OPERATIONS:
        path = op.path.format(
            workspace="beta", endpoint="absent", model="absent", key_id="absent", digest="00"
        )
        for role in Role:
            resp = api.call(op.method, path, role, {} if op.body else None)
            permitted = role in op.roles and role is not Role.WORKSPACE_OWNER
            assert (resp.status_code == 403) == (not permitted), (op.name, role)
        unauthenticated = httpx.request(op.method, api.base + path, trust_env=False)
        assert unauthenticated.status_code == 401


def test_workspace_owner_manages_keys_of_own_workspace(api, deployment):
    owner = Role.WORKSPACE_OWNER
    added = api.edit("POST", "/v1/workspaces/alpha/keys", {"key_hash": KEY_HASHES[0]}, owner)
    assert added.status_code == 200
    before = api.call("GET", "/v1/workspaces/alpha", owner).json()["key_ids"]
    assert KEY_HASHES[0] not in str(before)
    path = f"/v1/workspaces/alpha/keys/{before[-1]}"
    assert api.edit("PUT", path, {"key_hash": KEY_HASHES[1]}, owner).status_code == 200
    after = api.call("GET", "/v1/workspaces/alpha", owner).json()["key_ids"]
    assert (after[0], len(after)) == (before[0], 2)
    last = api.edit("DELETE", f"/v1/workspaces/alpha/keys/{after[-1]}", None, owner)
    assert last.status_code == 200
    wait_in_force(deployment, last.json()["version"])


def test_plain_text_key_is_refused_and_not_echoed(api):
    resp = api.edit("POST", "/v1/workspaces/alpha/keys", {"key_hash": "open-sesame"})
    assert resp.status_code == 422
    assert "open-sesame" not in resp.text


def test_new_workspace_is_served_by_every_instance(api, deployment):
    body = {"key_hashes": [hash_key("demo-delta")], "max_streams": 3}
    resp = api.edit("PUT", "/v1/workspaces/delta", body)
    assert resp.status_code == 200
    wait_in_force(deployment, resp.json()["version"])
    for url in deployment.caller_urls():
        headers = {"Authorization": "Bearer demo-delta"}
        assert httpx.get(f"{url}/v1/models", headers=headers, trust_env=False).status_code == 200
    removed = api.edit("DELETE", "/v1/workspaces/delta")
    wait_in_force(deployment, removed.json()["version"])
    for url in deployment.caller_urls():
        headers = {"Authorization": "Bearer demo-delta"}
        assert httpx.get(f"{url}/v1/models", headers=headers, trust_env=False).status_code == 401


def test_stale_etag_is_refused_and_both_changes_are_named(api):
    stale = api.call("GET", "/v1/config").headers["ETag"]
    first = api.edit("PUT", "/v1/limits", {"max_streams": 900}, Change_Reason="the first")
    assert first.status_code == 200
    resp = api.edit(
        "PUT", "/v1/limits", {"max_streams": 800}, If_Match=stale, Change_Reason="the second"
    )
    assert resp.status_code == 409
    assert "the first" in resp.text and "the second" in resp.text


def test_edit_with_same_change_id_is_idempotent_across_instances(api, deployment):
    etag = api.call("GET", "/v1/config").headers["ETag"]
    headers = {"If_Match": etag, "Change_Id": uuid.uuid4().hex}
    body = {"max_prompt_tokens": 123_456}
    first = api.edit("PUT", "/v1/limits", body, **headers)
    repeated = AdminApi(deployment, 1).edit("PUT", "/v1/limits", body, **headers)
    assert first.json() == repeated.json()
    other = api.edit("PUT", "/v1/limits", {"max_prompt_tokens": 1}, **headers)
    assert other.status_code == 409


def test_endpoint_is_removed_and_added_without_restart(api, deployment):
    endpoints = yaml.safe_load(deployment.base.read_text())["endpoints"]
    fields = next(item for item in endpoints if item["name"] == "engine-2")
    removed = api.edit("DELETE", "/v1/endpoints/engine-2")
    wait_in_force(deployment, removed.json()["version"])
    listed = AdminApi(deployment, 1).call("GET", "/v1/endpoints").json()["endpoints"]
    assert "engine-2" not in {item["name"] for item in listed}
    body = {key: value for key, value in fields.items() if key != "name"}
    restored = api.edit("PUT", "/v1/endpoints/engine-2", body)
    assert restored.status_code == 200
    wait_in_force(deployment, restored.json()["version"])
    deployment.wait_endpoints_live()


def test_edit_during_platform_outage_is_refused_as_not_run(api, deployment):
    deployment.set_faults("platform", down=True)
    try:
        resp = api.edit("PUT", "/v1/limits", {"max_streams": 10})
    finally:
        deployment.set_faults("platform", down=False)
    assert resp.status_code == 503
    assert resp.json()["error"]["run_state"] == "not run"


def test_quarantine_release_requires_a_hex_digest_and_is_audited(api):
    assert api.call("GET", "/v1/quarantine").json() == {"digests": []}
    assert api.edit("DELETE", "/v1/quarantine/xyz").status_code == 400
    resp = api.edit("DELETE", "/v1/quarantine/00ff", Change_Reason="mended upstream")
    assert (resp.status_code, resp.json()) == (200, {"released": False})
    calls = api.call("GET", "/v1/audit").json()["calls"]
    assert "mended upstream" in {call["reason"] for call in calls}


def test_quarantined_digest_is_listed_and_released():
    async def main() -> None:
        now = trio.current_time()
        gateway = Gateway(GatewayCfg(100, 1.0), seed=1)
        quarantine = gateway.scheduler.suspects.quarantine
        for number in range(3):
            name = f"engine-{number}"
            quarantine.record_endpoint(name, 1, EndpointState.LIVE, now)
            quarantine.record_failure(b"bad", (name, 1), 0.1, now)
            quarantine.record_endpoint(name, 2, EndpointState.LIVE, now)
        driver = SimpleNamespace(
            gateway=gateway, feed=lambda msg: gateway.handle(msg, trio.current_time())
        )
        deps = SimpleNamespace(driver=driver)
        listed = await list_quarantine(AdminCall(deps, {}, {}, {}))
        assert [item["digest"] for item in listed["digests"]] == [b"bad".hex()]
        release = AdminCall(deps, {"digest": b"bad".hex()}, {}, {}, "ann")
        assert await release_quarantine(release) == {"released": True}
        assert await release_quarantine(release) == {"released": False}
        assert await list_quarantine(AdminCall(deps, {}, {}, {})) == {"digests": []}

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_quarantined_part_is_listed_and_released():
    async def main() -> None:
        now = trio.current_time()
        gateway = Gateway(GatewayCfg(100, 1.0), seed=1)
        suspects = gateway.scheduler.suspects
        for number in range(3):
            name = f"engine-{number}"
            at = now + number
            suspects.quarantine.record_endpoint(name, 1, EndpointState.LIVE, at)
            digest = str(number).encode()
            suspects.quarantine.record_failure(digest, (name, 1), 0.1, at, ("m/deadly",))
            suspects.quarantine.record_endpoint(name, 2, EndpointState.LIVE, at)
        suspects.parts.judge(now + 3.0)
        driver = SimpleNamespace(gateway=gateway, feed=lambda msg: gateway.handle(msg, now + 4.0))
        deps = SimpleNamespace(driver=driver)
        listed = await list_quarantine(AdminCall(deps, {}, {}, {}))
        (entry,) = [item for item in listed["digests"] if item["verdict"] == "guilty"]
        assert entry["parts"] == ["m/deadly"]
        release = AdminCall(deps, {"digest": entry["digest"]}, {}, {}, "ann")
        assert await release_quarantine(release) == {"released": True}
        suspects.parts.judge(now + 4.1)
        assert suspects.parts.part_quarantine.entries() == ()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_versions_and_audit_record_author_and_reason(api):
    accepted = api.edit("PUT", "/v1/limits", {"max_streams": 700}, Change_Reason="summer")
    versions = api.call("GET", "/v1/config/versions").json()["versions"]
    assert versions[0]["version"] == accepted.json()["version"]
    assert (versions[0]["author"], versions[0]["reason"]) == ("admin", "API: summer")
    refused = api.edit("DELETE", "/v1/workspaces/absent", Change_Reason="mistake")
    assert refused.status_code == 404
    calls = api.call("GET", "/v1/audit").json()["calls"]
    assert ("mistake", "not_found") in {(call["reason"], call["outcome"]) for call in calls}
    assert ("summer", "accepted") in {(call["reason"], call["outcome"]) for call in calls}
