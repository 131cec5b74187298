"""The C library's allocator: memory that is free goes back to the system.

By default glibc keeps the freed blocks of a heap, and a heap only shrinks at its end. Blocks of
messages come and go beside small ones that stay, so that the heap of a busy process is mostly free
blocks. The platform counts them. Blocks of a page and more are therefore mapped one by one.

mallopt(3) and malloc_trim(3) are glibc's; with another C library nothing is done.
"""

import ctypes
import os

# Of mallopt(3), from <malloc.h>.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_MMAP_MAX = -4
M_ARENA_MAX = -8

TRIM_THRESHOLD_BYTES = 64 * 1024
# Below the system's limit of mappings (vm.max_map_count, 65,530), which threads use as well.
MAX_MAPPED_BLOCKS = 32_768
MAX_ARENAS = 2


def configure_allocator() -> None:
    """Map large blocks one by one, and keep few heaps; call it before threads start."""
    options = {
        M_ARENA_MAX: MAX_ARENAS,
        M_MMAP_THRESHOLD: os.sysconf("SC_PAGE_SIZE"),
        M_MMAP_MAX: MAX_MAPPED_BLOCKS,
        M_TRIM_THRESHOLD: TRIM_THRESHOLD_BYTES,
    }
    c_library = ctypes.CDLL(None)
    if hasattr(c_library, "mallopt"):
        for option, value in options.items():
            c_library.mallopt(option, value)


def release_free_memory() -> None:
    """Give the free pages of every heap back to the system."""
    c_library = ctypes.CDLL(None)
    if hasattr(c_library, "malloc_trim"):
        c_library.malloc_trim(0)
