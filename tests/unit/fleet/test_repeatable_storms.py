"""A storm takes the same course in each process, whatever the seed of string hashes.

Otherwise a failure seen once in CI cannot be played again.
"""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
PLAY = """
import asyncio, hashlib, sys
import structlog

digest = hashlib.sha256()

def note(_, level, event):
    now = asyncio.get_running_loop().time()
    digest.update(f"{now} {level} {event}\\n".encode())
    raise structlog.DropEvent

structlog.configure(processors=[note], cache_logger_on_first_use=False)
from lib.link_storm import play_link_storm
from lib.return_storm import play_return_storm
from lib.virtual_time import run_virtual

run_virtual(play_link_storm(7))
run_virtual(play_return_storm(6, takes_over=True, orders_late=True))
print(digest.hexdigest())
"""
TIMEOUT_SECONDS = 100.0


def play(hash_seed: str) -> str:
    """Return a digest of the log of two storms."""
    paths = os.pathsep.join(str(ROOT / name) for name in ("src", "tests", "tools"))
    environment = {
        **os.environ,
        "PYTHONPATH": paths,
        "PYTHONHASHSEED": hash_seed,
    }
    done = subprocess.run(
        [sys.executable, "-c", PLAY],
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=True,
    )
    return done.stdout


@pytest.mark.parametrize("hash_seed", ["1", "2"])
def test_course_of_a_storm_does_not_depend_on_hashes(hash_seed: str) -> None:
    """Guards against decisions that follow the order of a set."""
    assert play(hash_seed) == play("0")
