"""The request ids that the processes of a hot restart have admitted, in a file of fixed size.

A client that has left one process may send its request again to the other one, under the same id.
The file is in $TMPDIR. Each process writes a region of its own and reads those of the others, so
that no lock is needed. It is always written: a process that starts later finds the ids of the
requests that are open then.

A region is a hash table of digests: buckets of a few entries, the newest first. The decision thread
uses it by memory accesses alone, without a system call.
"""

import fcntl
import mmap
import os
import struct
from collections.abc import Callable
from hashlib import blake2b

from stepstream.hot_restart.process import is_alive
from stepstream.hot_restart.state_file import LOCK_TIMEOUT_SECONDS, lock_within

REGIONS = 4  # more processes of one dispatcher do not run at the same time
BUCKETS = 512
ENTRIES_PER_BUCKET = 8
DIGEST_BYTES = 8
BUCKET_BYTES = ENTRIES_PER_BUCKET * DIGEST_BYTES
REGION_BYTES = BUCKETS * BUCKET_BYTES
OWNERS = struct.Struct(f"<{REGIONS}Q")  # the process id of each region's owner; 0: none
FILE_BYTES = OWNERS.size + REGIONS * REGION_BYTES


class SharedRequestIds:
    """A `core.request_ids.RequestIdClaims` that several processes share.

    A new id replaces the oldest one of its bucket. The constructor raises OSError if the file
    cannot be opened, or if there is no space for all of it: it is reserved at once, because an
    access to mapped memory without space would end the process.
    """

    def __init__(
        self,
        folder: str,
        dispatcher_name: str,
        own_pid: int,
        is_running: Callable[[int], bool] = is_alive,
    ) -> None:
        path = os.path.join(folder, f"stepstream-{dispatcher_name}.request-ids")
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            lock_within(descriptor, LOCK_TIMEOUT_SECONDS)  # for the choice of a region only
            os.posix_fallocate(descriptor, 0, FILE_BYTES)
            self._memory = mmap.mmap(descriptor, FILE_BYTES)
            self._own_region = self._take_region(own_pid, is_running)
        finally:
            # The mapping keeps a duplicate of the descriptor, and with it the lock.
            fcntl.flock(descriptor, fcntl.LOCK_UN)
            os.close(descriptor)

    def _take_region(self, own_pid: int, is_running: Callable[[int], bool]) -> int:
        """Become the owner of a region whose owner has ended; return its number."""
        owners = list(OWNERS.unpack_from(self._memory))
        free = [
            number
            for number, pid in enumerate(owners)
            if pid in (0, own_pid) or not is_running(pid)
        ]
        region = free[0] if free else 0
        owners[region] = own_pid
        OWNERS.pack_into(self._memory, 0, *owners)
        return region

    def claim(self, request_id: str) -> bool:
        """Record that this process admits the id; return False if another process has done so.

        The id is written before the other regions are read: of two processes that claim it at the
        same moment, at most one is told that it may.
        """
        digest = blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
        bucket = int.from_bytes(digest, "little") % BUCKETS
        own = self._bucket(self._own_region, bucket)
        if digest not in self._memory[own]:
            self._memory[own] = digest + self._memory[own][:-DIGEST_BYTES]
        return not any(
            digest in self._memory[self._bucket(region, bucket)]
            for region in range(REGIONS)
            if region != self._own_region
        )

    def _bucket(self, region: int, bucket: int) -> slice:
        """Return where a bucket of a region is in the file."""
        start = OWNERS.size + region * REGION_BYTES + bucket * BUCKET_BYTES
        return slice(start, start + BUCKET_BYTES)

    def close(self) -> None:
        """Release the file."""
        self._memory.close()
