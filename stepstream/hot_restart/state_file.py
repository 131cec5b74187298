"""The state file in $TMPDIR, which the processes of a hot restart read and write in turn.

A new state is written to another file, which is renamed over the old one. A reader therefore finds
either the old state or the new one, and never a part of a state. `update` reads, merges and writes
under two locks. The controller's lock excludes the other threads of this process. An advisory lock
on the folder (flock(2)) excludes other processes; the kernel releases it if its owner ends.

A `StateFile` remembers the signature of the content that it last read or wrote. It belongs to the
controller, whose lock guards it.
"""

import contextlib
import fcntl
import os
import time
from collections.abc import Callable, Iterator

from stepstream.hot_restart.state import HandoverState, HandoverStateError, decode, encode

FileSignature = tuple[int, int, int]  # inode, modification time in nanoseconds, size in bytes

LOCK_TIMEOUT_SECONDS = 0.2  # an operator's call waits for the write and must be answered within 1 s
LOCK_RETRY_SECONDS = 0.005  # between two attempts to get the lock


def state_folder() -> str | None:
    """Return $TMPDIR, the folder of the state file of both processes; None if it is not set."""
    return os.environ.get("TMPDIR") or None


class StateFile:
    """Reads and writes the handover state of one dispatcher's name.

    At most `max_bytes` are read. `own_pid` is part of the name of the unfinished file, so that two
    writers do not use the same one.
    """

    def __init__(self, folder: str, dispatcher_name: str, own_pid: int, max_bytes: int) -> None:
        self.folder = folder
        self.path = os.path.join(folder, f"stepstream-{dispatcher_name}.handover")
        self.unfinished_path = f"{self.path}.{own_pid}.part"
        self.max_bytes = max_bytes
        self.known_signature: FileSignature | None = None

    def read(self) -> HandoverState:
        """Read the state.

        Raise OSError (FileNotFoundError if there is no file) or HandoverStateError.
        """
        with open(self.path, "rb") as file:
            # The status of the open file: the name may already belong to a later file.
            self.known_signature = signature_of(os.fstat(file.fileno()))
            data = file.read(self.max_bytes)
        return decode(data)

    def read_if_changed(self) -> HandoverState | None:
        """Read the state if it has changed since the last read or write here, else return None.

        Raise as `read` does. Without a change the only cost is one call of stat(2). A state that
        cannot be used is read only once.
        """
        try:
            signature = signature_of(os.stat(self.path))
        except OSError:
            return None
        return None if signature == self.known_signature else self.read()

    def update(self, merge: Callable[[HandoverState | None], HandoverState]) -> HandoverState:
        """Replace the state by the result of `merge`, and return that.

        `merge` gets the file's state, or None if that cannot be used. No other process updates the
        file meanwhile. Raise OSError if the new state could not be written, TimeoutError if another
        process holds the lock for too long.
        """
        with self._locked_folder():
            state = merge(self._read_or_none())
            self._replace(state)
        return state

    def _read_or_none(self) -> HandoverState | None:
        try:
            return self.read()
        except (FileNotFoundError, HandoverStateError):
            return None

    def _replace(self, state: HandoverState) -> None:
        """Replace the file atomically, after its content is on disk; raise OSError on failure."""
        with open(self.unfinished_path, "wb") as file:
            file.write(encode(state))
            file.flush()
            os.fsync(file.fileno())
            signature = signature_of(os.fstat(file.fileno()))
        os.replace(self.unfinished_path, self.path)
        self.known_signature = signature

    @contextlib.contextmanager
    def _locked_folder(self) -> Iterator[None]:
        """Hold the lock that excludes other processes."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            lock_within(descriptor, LOCK_TIMEOUT_SECONDS)
            yield
        finally:
            os.close(descriptor)  # releases the lock


def lock_within(descriptor: int, timeout_seconds: float) -> None:
    """Lock an open file against other processes.

    Raise TimeoutError if another process still holds the lock after `timeout_seconds`.
    """
    deadline = time.monotonic() + timeout_seconds
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= deadline:
                raise TimeoutError("another process holds the lock of the state file") from None
            time.sleep(LOCK_RETRY_SECONDS)
        else:
            return


def signature_of(status: os.stat_result) -> FileSignature:
    """Return the signature of a file's content: it differs once the file is replaced."""
    return status.st_ino, status.st_mtime_ns, status.st_size
