"""Drawn faults of the store and the fronts: no booking may run twice.

``ONYXPASS_SOAK_SEEDS=101-120`` plays these seeds in place of the usual ones.
"""

import asyncio
import os
from pathlib import Path

import pytest
import structlog

from onyxpass.toolcalls.call_claims import CallClaims
from tests.support.toolcall_play import play

FAULTS_PER_PLAY = 8
PLAY_LIMIT_S = 300.0


def seeds() -> range:
    first, _, last = os.environ.get("ONYXPASS_SOAK_SEEDS", "1-4").partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("seed", seeds())
def test_no_booking_runs_twice_whatever_the_store_and_the_fronts_do(
    tmp_path: Path, seed: int
) -> None:
    with structlog.testing.capture_logs():
        played = asyncio.run(asyncio.wait_for(play(tmp_path, seed, FAULTS_PER_PLAY), PLAY_LIMIT_S))
    assert not played.doubled(), (played.doubled(), played.faults, played.states)
    assert played.states["done"], (played.faults, played.states)


def test_the_play_finds_a_front_that_believes_an_emptied_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The checker is no use if it passes a build that takes an absent key for a first call."""

    async def believe(*_: object) -> None:
        """Wait for nothing."""

    monkeypatch.setattr(CallClaims, "_wait_until_open", believe)
    monkeypatch.setattr(CallClaims, "_proves_first_call", lambda *_: True)
    monkeypatch.setattr("onyxpass.toolcalls.call_journal.CallJournal.get", lambda *_: None)
    found = False
    for seed in range(1, 6):
        folder = tmp_path / str(seed)
        with structlog.testing.capture_logs():
            played = asyncio.run(
                asyncio.wait_for(play(folder, seed, FAULTS_PER_PLAY), PLAY_LIMIT_S)
            )
        found = found or bool(played.doubled())
        if found:
            break
    assert found
