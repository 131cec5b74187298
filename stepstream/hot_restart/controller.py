"""The controller of a hot restart: takes over and hands over state, detects the sibling process.

The controller owns what this process knows of its siblings, and the endpoint list to be handed
over. The admin listener's thread checks the state file at every turn. The main thread loads the
state before that thread starts, writes it once clients can connect, and checks the file at a
shutdown. The decision thread forwards notifications. A lock guards what the admin listener's thread
and the main thread share.

Both processes change the maintenance state. Each process remembers the state that it last read from
or wrote to the file. It merges its own changes since then with the state that is in the file now,
so that neither process undoes the other's changes.
"""

import threading
from dataclasses import replace

from stepstream.config.limits import Limits
from stepstream.core.events import JobNotification
from stepstream.core.maintenance import MaintenanceRegistry, MaintenanceState
from stepstream.hot_restart.forwarder import NotificationForwarder
from stepstream.hot_restart.precedence import (
    EndpointListJson,
    is_newer_list,
    is_successor,
    merge_maintenance,
    newest_sibling,
    replace_own_record,
)
from stepstream.hot_restart.process import ProcessRecord, is_alive
from stepstream.hot_restart.state import HandoverState, HandoverStateError
from stepstream.hot_restart.state_file import StateFile
from stepstream.runtime import log_events


class HotRestartController:
    """Exchanges the state of this process and its sibling through the state file.

    `own_process` describes this process; `maintenance` is the registry that adopts newer states of
    a sibling.
    """

    def __init__(
        self,
        file: StateFile,
        own_process: ProcessRecord,
        maintenance: MaintenanceRegistry,
        limits: Limits,
    ) -> None:
        self.file = file
        self.own_process = own_process
        self.maintenance = maintenance
        self.forwarder = NotificationForwarder(limits)
        self.lock = threading.RLock()  # guards the file and the fields below
        self.synchronized_maintenance = MaintenanceState()  # in the file, when last read or written
        self.is_write_due = False  # the last write failed
        self.siblings: tuple[ProcessRecord, ...] = ()
        self.endpoint_list: EndpointListJson | None = None  # to be handed over

    def load(self) -> HandoverState | None:
        """Take over the state that an earlier process has left, at the start of this one.

        Return None, and log one line, if there is no usable state.
        """
        with self.lock:
            try:
                state = self.file.read()
            except FileNotFoundError:
                log_events.handover_state_missing()
                return None
            except (OSError, HandoverStateError) as error:
                log_events.handover_state_ignored(reason=str(error), at_start=True)
                return None
            self.maintenance.adopt(state.maintenance)
            self._adopt(state)
            return state

    def write(self, *, ready: bool | None = None) -> bool:
        """Merge the state into the file; return whether that changed the maintenance state here.

        `ready` first changes the record of this process. A failure is logged, and the next check of
        the file writes again.
        """
        with self.lock:
            if ready is not None:
                self.own_process = replace(self.own_process, ready=ready)
            maintenance_before = self.maintenance.snapshot()
            try:
                written = self.file.update(self._merge)
            except OSError as error:
                self.is_write_due = True
                log_events.handover_state_write_failed(reason=str(error))
            else:
                self.is_write_due = False
                self.synchronized_maintenance = written.maintenance
            return self.maintenance.snapshot() != maintenance_before

    def _merge(self, current: HandoverState | None) -> HandoverState:
        """Return the state to be written; `current` is the file's, None if it cannot be used."""
        if current is not None:
            self._adopt(current)
        alive_pids = {process.pid for process in self.siblings if is_alive(process.pid)}
        processes = replace_own_record(self.siblings, self.own_process, alive_pids)
        self.siblings = processes[:-1]
        return HandoverState(self.maintenance.snapshot(), processes, self.endpoint_list)

    def check_file(self) -> bool:
        """Adopt what a sibling has written; return whether that changed the maintenance state."""
        with self.lock:
            maintenance_before = self.maintenance.snapshot()
            try:
                state = self.file.read_if_changed()
            except (OSError, HandoverStateError) as error:
                log_events.handover_state_ignored(reason=str(error), at_start=False)
                return False
            if state is not None:
                self._adopt(state)
            if self.is_write_due or (state is not None and not self._has_own_changes(state)):
                self.write()
            return self.maintenance.snapshot() != maintenance_before

    def _has_own_changes(self, state: HandoverState) -> bool:
        """Return whether the file's state has this process's record and changes of maintenance."""
        has_own_record = any(process.pid == self.own_process.pid for process in state.processes)
        return has_own_record and state.maintenance == self.maintenance.snapshot()

    def _adopt(self, state: HandoverState) -> None:
        """Take over the siblings, their changes of maintenance and a newer endpoint list."""
        self.siblings = tuple(
            process for process in state.processes if process.pid != self.own_process.pid
        )
        base = self.synchronized_maintenance
        self.maintenance.merge(lambda own: merge_maintenance(base, own, state.maintenance))
        self.synchronized_maintenance = state.maintenance
        if is_newer_list(state.endpoint_list, self.endpoint_list):
            self.endpoint_list = state.endpoint_list

    def sibling(self) -> ProcessRecord | None:
        """Return the newest other process on the clients' address; None without one that runs."""
        sibling = newest_sibling(self.siblings, self.own_process.pid)
        return sibling if sibling is not None and is_alive(sibling.pid) else None

    def successor(self) -> ProcessRecord | None:
        """Return the sibling if it started after this process and accepts clients, else None."""
        sibling = self.sibling()
        return sibling if sibling is not None and is_successor(sibling, self.own_process) else None

    def forward_notification(self, notification: JobNotification) -> None:
        """Forward to the sibling a notification of a request that is not open in this process."""
        sibling = self.sibling()
        if sibling is not None:
            self.forwarder.submit(sibling, notification)
