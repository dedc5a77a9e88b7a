"""Ids of the requests that were sent to a target lately."""

import pytest

from briardock.mesh.recent_ids import RecentIds


@pytest.mark.parametrize(
    ("added", "known"),
    [
        ([b"a"], False),
        ([b"a", b"a"], True),
        ([b"a", b"b", b"a"], True),
        ([b"a", b"b", b"c", b"a"], False),
        ([b"a", b"b", b"a", b"c", b"a"], True),
        ([b"", b""], False),
    ],
)
def test_id_is_known_until_others_replace_it(added: list[bytes], known: bool) -> None:
    """Without a bound the ids of all requests were kept for good."""
    ids = RecentIds(2)
    assert [ids.add(request_id) for request_id in added][-1] is known
