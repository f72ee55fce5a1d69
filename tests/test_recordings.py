"""Behaviour and stored data must still match recordings of an earlier version.

The recordings guard against changes of behaviour or formats by renaming and refactoring.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import subprocess
import sys
import tarfile
from pathlib import Path
from typing import Any

import msgspec
import pytest

from loadbalancer.daemon import bootstrap
from loadbalancer.daemon.persisted import SavedEndpointList, SavedLearnedState, load_endpoints
from loadbalancer.testbed import results
from loadbalancer.testbed.cluster.real import RealCluster
from tests.fakes import run
from tests.proxy.test_admin_api import start_disabled_upstreams
from tests.recordings import policy_runs, simulations

ROOT = Path(__file__).parent.parent
RECORDINGS = Path(__file__).parent / "recordings"
RECORDED: dict[str, dict[str, str]] = json.loads((RECORDINGS / "checksums.json").read_text())
BUILD_S = 600


@pytest.fixture
def stored_data(tmp_path: Path) -> Path:
    """Return a copy of the data stored by the version of December 2026.

    It has the directories of a store node and of a balancer, and a result of the testbed.
    """
    with tarfile.open(RECORDINGS / "stored" / "stored-data.tar.xz") as archive:
        archive.extractall(tmp_path / "stored", filter="data")
    return tmp_path / "stored"


def test_policy_actions_match_the_recording() -> None:
    assert policy_runs.checksums() == RECORDED["policy"]


@pytest.mark.skipif(
    shutil.which("cc") is None, reason="the build compiles only where there is a C compiler"
)
def test_compiled_policy_actions_match_the_recording() -> None:
    subprocess.run([sys.executable, "deploy/build.py"], cwd=ROOT, check=True, timeout=BUILD_S)
    compiled = ROOT / ".compiled"
    assert list(compiled.rglob("balancer*.so"))
    process = subprocess.run(
        [ROOT / ".venv/bin/python", "-P", "tests/recordings/policy_runs.py"],
        cwd=ROOT,
        check=True,
        env={**os.environ, "PYTHONPATH": str(compiled)},
        capture_output=True,
        text=True,
        timeout=BUILD_S,
    )
    assert json.loads(process.stdout) == RECORDED["policy"]


@pytest.mark.parametrize("name", sorted(simulations.SIMULATIONS))
def test_simulation_figures_match_the_recording(name: str) -> None:
    # The simulation of sites sums over sets of names, so its last digits depend on the hash seed.
    process = subprocess.run(
        [sys.executable, "-m", "tests.recordings.simulations", name],
        cwd=ROOT,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "1"},
        capture_output=True,
        text=True,
    )
    assert json.loads(process.stdout)[name] == RECORDED[name]


def test_store_node_starts_on_the_recorded_data_directory(
    stored_data: Path, tmp_path: Path
) -> None:
    """The documents are distributed over its state, a snapshot and the tail of its log."""
    expected = json.loads((RECORDINGS / "stored" / "node.json").read_text())

    async def read() -> Any:
        cluster = RealCluster(tmp_path, 1)
        member = cluster.members[0]
        shutil.copytree(stored_data / "node", member.settings.folder)
        await cluster.begin(member)
        client = cluster.client()
        try:
            found = await client.scan("", timeout_s=10.0)
            history = await client.history("config/balancer/orders")
            status = await client.status()
            return {
                "items": [
                    [row.key, row.version, (row.value or b"").decode("latin-1")]
                    for row in found.rows
                ],
                "history": [
                    [row.version, row.note, row.author, (row.value or b"").decode()]
                    for row in history.rows
                ],
                "format": status["format"],
                "cluster": status["cluster"],
                "node": status["node"],
            }
        finally:
            await client.close()
            await cluster.stop()

    found = asyncio.run(read())
    assert found == expected
    values = {key: value for key, _, value in found["items"]}
    [first, second] = load_endpoints(
        msgspec.json.decode(values["list/orders"], type=SavedEndpointList)
    )
    assert (first.entry.id, first.port, second.entry.zone) == (7, 8001, "b")
    learned = msgspec.json.decode(values["learnt/orders/b-1"], type=SavedLearnedState)
    assert learned.relative_service_times == {7: (1.25, 1790000000.25)}


def test_balancer_reads_the_recorded_state_directory(stored_data: Path) -> None:
    async def read() -> None:
        disabled, _, siblings = start_disabled_upstreams(stored_data / "balancer", "accra-1")
        assert disabled.names == {"s-1", "s-3"}
        assert disabled.version == 4
        assert siblings.note.pack() == b"4 0\n".ljust(64)

    run(read())


def test_balancer_starts_from_the_recorded_settings_copy(stored_data: Path, tmp_path: Path) -> None:
    settings = tmp_path / "balancer.toml"
    settings.write_text(
        '[store]\naddresses = ["127.0.0.1:1"]\nservice = "orders"\nbalancer = "accra-1"\n'
        f'document = "balancer/orders"\nfolder = "{stored_data / "balancer"}"\n'
    )
    bootstrap_settings = bootstrap.read_bootstrap(settings)
    assert bootstrap_settings is not None
    assert set(bootstrap_settings.read().settings.classes) == {"lookup", "book-delivery"}


def test_recorded_testbed_result_is_read(stored_data: Path) -> None:
    found = results.read(stored_data / "result.json")
    assert found["seed"] == 5 and found["counts"]["first tries"] > 100
