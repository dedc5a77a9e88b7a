"""Fixtures shared by the tests of the mesh."""

import pytest

from mesh_builders import FakeClock


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    return FakeClock(monkeypatch)
