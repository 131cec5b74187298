"""The request ids that the processes of a hot restart have admitted, in a file of fixed size.

A client that has left one process may send its request again to the other one, under the same id.
The file is a hash table of digests in $TMPDIR, which both processes read and write before they
admit a request. It is always written, so that a process that starts later finds the ids of the
requests that are open then.

The decision thread uses it. Each use costs a few system calls and waits for nobody.
"""

import contextlib
import fcntl
import os
import struct
from collections.abc import Iterator
from hashlib import blake2b

from stepstream.runtime import log_events

BUCKETS = 512
ENTRIES_PER_BUCKET = 8
ENTRY = struct.Struct("<QI")  # digest of the id, process id of its owner
BUCKET_BYTES = ENTRIES_PER_BUCKET * ENTRY.size
DIGEST_BYTES = 8


class SharedRequestIds:
    """A `core.request_ids.RequestIdClaims` that several processes share.

    A new id replaces an older one of its bucket once that is full. The constructor raises OSError
    if the file cannot be opened. A later failure is logged once; ids are then not shared.
    """

    def __init__(self, folder: str, dispatcher_name: str, own_pid: int) -> None:
        path = os.path.join(folder, f"stepstream-{dispatcher_name}.request-ids")
        self._own_pid = own_pid
        self._has_failed = False
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def claim(self, request_id: str) -> bool:
        """Record that this process admits the id; return False if another process has done so."""
        digest = blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
        try:
            with self._locked():
                return self._claim(int.from_bytes(digest, "little"))
        except OSError as error:
            if not self._has_failed:
                self._has_failed = True
                log_events.request_ids_not_shared(reason=str(error))
            return True

    def _claim(self, digest: int) -> bool:
        offset = digest % BUCKETS * BUCKET_BYTES
        bucket = os.pread(self._descriptor, BUCKET_BYTES, offset).ljust(BUCKET_BYTES, b"\0")
        entries = list(ENTRY.iter_unpack(bucket))
        owner = dict(entries).get(digest)
        if owner is not None:
            return bool(owner == self._own_pid)
        # The newest entry comes first, so that the oldest one falls out.
        newest = [(digest, self._own_pid), *entries[:-1]]
        os.pwrite(self._descriptor, b"".join(ENTRY.pack(*entry) for entry in newest), offset)
        return True

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Exclude the other process, unless that holds the lock right now: it may be suspended."""
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        try:
            yield
        finally:
            fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def close(self) -> None:
        """Release the file."""
        os.close(self._descriptor)
