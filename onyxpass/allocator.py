"""Makes the C library's allocator give large blocks back to the system once they are freed.

Bodies and events of hundreds of peers come and go at once. By default glibc keeps freed blocks of
up to 32 MiB in its heap, between blocks that are still in use: the process then stays as large as
it ever was, and larger than what it holds.
"""

import ctypes

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
MAPPED_BLOCK_BYTES = 64 * 1024  # blocks of this size and more are mappings of their own
TRIM_BYTES = 128 * 1024  # of freed memory at the end of the heap, which is then given back


def return_freed_memory() -> None:
    """Set the limits of the allocator; does nothing with a C library that has none."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES)
