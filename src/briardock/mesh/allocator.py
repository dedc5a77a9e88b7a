"""Settings of the allocator of the C library."""

import ctypes

# Parameter of ``mallopt`` in glibc, see mallopt(3).
M_MMAP_THRESHOLD = -3
# Size from which a block has a mapping of its own, bytes.
MAPPED_BLOCK_BYTES = 64 * 1024


def map_large_blocks() -> bool:
    """Give each large block a mapping of its own; return whether that is in force.

    Bodies and reads of up to 256 KB are such blocks. By default glibc takes blocks of a
    size that was freed once from the heap. There a growing body is copied from place to
    place, and the small objects that follow a block keep the heap from shrinking, so
    that each crowd of clients takes more memory. A mapping grows without a copy.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        # Another C library, which has no such parameter.
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
