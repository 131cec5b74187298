"""The state file in $TMPDIR, which the processes of a hot restart read and write in turn.

A write goes to another name and is renamed over the old file, so that a reader finds either the old
state or the new one, never a part. The object owns the signature of the content that it last read
or wrote; it belongs to the controller, and the threads that call the controller call it.
"""

import os

from stepstream.hot_restart.state import HandoverState, decode, encode

FileSignature = tuple[int, int, int]  # inode, modification time in nanoseconds, size in bytes


def state_folder() -> str | None:
    """Return $TMPDIR, where both processes of a hot restart look; None where it is not set."""
    return os.environ.get("TMPDIR") or None


class StateFile:
    """Reads and writes the handover state of one dispatcher's name.

    At most `max_bytes` are read; `own_pid` keeps the unfinished files of two writers apart.
    """

    def __init__(self, folder: str, dispatcher_name: str, own_pid: int, max_bytes: int) -> None:
        self.path = os.path.join(folder, f"stepstream-{dispatcher_name}.handover")
        self.unfinished_path = f"{self.path}.{own_pid}.part"
        self.max_bytes = max_bytes
        self.known_signature: FileSignature | None = None

    def read(self) -> HandoverState:
        """Read the state.

        Raise OSError (FileNotFoundError if there is no file) or HandoverStateError.
        """
        data = self._read_bytes()
        self.known_signature = self._signature()
        return decode(data)

    def read_if_changed(self) -> HandoverState | None:
        """Read what another process has written since; return None if that is nothing.

        Raise as `read` does. Without a change it costs one stat. A state that cannot be used is
        read only once.
        """
        signature = self._signature()
        if signature is None or signature == self.known_signature:
            return None
        self.known_signature = signature
        return decode(self._read_bytes())

    def write(self, state: HandoverState) -> None:
        """Replace the file atomically, its content on disk first; raise OSError if that fails."""
        with open(self.unfinished_path, "wb") as file:
            file.write(encode(state))
            file.flush()
            os.fsync(file.fileno())
        os.replace(self.unfinished_path, self.path)
        self.known_signature = self._signature()

    def _read_bytes(self) -> bytes:
        with open(self.path, "rb") as file:
            return file.read(self.max_bytes)

    def _signature(self) -> FileSignature | None:
        """Identify the file's present content; None if there is no file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size
