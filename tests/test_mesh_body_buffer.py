"""Bodies of every size are read as they were received."""

import pytest

from briardock.mesh.body_buffer import LARGE_BODY_BYTES, BodyBuffer


@pytest.mark.parametrize(
    "part_sizes",
    [
        (),
        (1,),
        (LARGE_BODY_BYTES - 1,),
        (LARGE_BODY_BYTES,),
        (LARGE_BODY_BYTES - 1, 1, 1),
        (10, 5 * LARGE_BODY_BYTES, 3),
        (700,) * 1_000,
    ],
)
def test_parts_are_joined(part_sizes: tuple[int, ...]) -> None:
    """A body lost or gained bytes where it moved to larger memory."""
    buffer = BodyBuffer()
    parts = [bytes([n % 251]) * size for n, size in enumerate(part_sizes)]
    for part in parts:
        buffer.append(part)
    assert len(buffer) == sum(part_sizes)
    body = buffer.take()
    assert bytes(body) == b"".join(parts)
    assert len(body) == sum(part_sizes)


@pytest.mark.parametrize("size_bytes", [10, 2 * LARGE_BODY_BYTES])
def test_buffer_is_empty_after_its_body_was_taken(size_bytes: int) -> None:
    """The next message on a connection began with the body of the last one."""
    buffer = BodyBuffer()
    buffer.append(b"a" * size_bytes)
    taken = buffer.take()
    buffer.append(b"b")
    assert (len(taken), len(buffer), buffer.take()) == (size_bytes, 1, b"b")
