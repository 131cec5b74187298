"""The controller of a hot restart: takes over and hands over state, detects the sibling process.

It owns what this process knows of its siblings and of the endpoint list to be handed over. The
admin listener's thread checks the file at every turn; the main thread loads the state before that
thread starts, writes it once clients are taken, and checks it at a shutdown; the decision thread
forwards notifications. A lock guards what the admin thread and the main thread share.

Both processes change the maintenance state. Each keeps the state that the file last held for it,
and merges its own changes since then with what the file holds now, so that no change is undone.
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

    `own` describes this process; `maintenance` is the registry that adopts newer states of a
    sibling.
    """

    def __init__(
        self, file: StateFile, own: ProcessRecord, maintenance: MaintenanceRegistry, limits: Limits
    ) -> None:
        self.file = file
        self.own = own
        self.maintenance = maintenance
        self.forwarder = NotificationForwarder(limits)
        self.lock = threading.RLock()  # guards the file and the fields below
        self.synchronized_maintenance = MaintenanceState()  # as the file last held it
        self.is_write_due = False  # the last write failed
        self.siblings: tuple[ProcessRecord, ...] = ()
        self.endpoint_list: EndpointListJson | None = None  # to be handed over with the rest

    def load(self) -> HandoverState | None:
        """Take over what the process before this one left, at the start.

        Return None, with one line in the log, if there is nothing usable.
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

        `ready` changes this process's own record first. A failure is logged, and the next check
        writes again.
        """
        with self.lock:
            if ready is not None:
                self.own = replace(self.own, ready=ready)
            before = self.maintenance.snapshot()
            try:
                written = self.file.update(self._merge)
            except OSError as error:
                self.is_write_due = True
                log_events.handover_state_write_failed(reason=str(error))
            else:
                self.is_write_due = False
                self.synchronized_maintenance = written.maintenance
            return self.maintenance.snapshot() != before

    def _merge(self, current: HandoverState | None) -> HandoverState:
        """Return the state to be written over the file's, which is None if it cannot be used."""
        if current is not None:
            self._adopt(current)
        alive_pids = {process.pid for process in self.siblings if is_alive(process.pid)}
        processes = replace_own_record(self.siblings, self.own, alive_pids)
        self.siblings = processes[:-1]
        return HandoverState(self.maintenance.snapshot(), processes, self.endpoint_list)

    def check_file(self) -> bool:
        """Adopt what a sibling has written; return whether that changed the maintenance state."""
        with self.lock:
            before = self.maintenance.snapshot()
            try:
                state = self.file.read_if_changed()
            except (OSError, HandoverStateError) as error:
                log_events.handover_state_ignored(reason=str(error), at_start=False)
                return False
            if state is not None:
                self._adopt(state)
            if self.is_write_due or (state is not None and not self._is_up_to_date(state)):
                self.write()
            return self.maintenance.snapshot() != before

    def _is_up_to_date(self, state: HandoverState) -> bool:
        """Return whether the file has this process's record and its changes of maintenance."""
        has_own_record = any(process.pid == self.own.pid for process in state.processes)
        return has_own_record and state.maintenance == self.maintenance.snapshot()

    def _adopt(self, state: HandoverState) -> None:
        """Take over the siblings, their changes of maintenance and a newer endpoint list."""
        self.siblings = tuple(process for process in state.processes if process.pid != self.own.pid)
        base = self.synchronized_maintenance
        self.maintenance.merge(lambda own: merge_maintenance(base, own, state.maintenance))
        self.synchronized_maintenance = state.maintenance
        if is_newer_list(state.endpoint_list, self.endpoint_list):
            self.endpoint_list = state.endpoint_list

    def sibling(self) -> ProcessRecord | None:
        """Return the newest other process on the clients' address, None if it has ended."""
        sibling = newest_sibling(self.siblings, self.own.pid)
        return sibling if sibling is not None and is_alive(sibling.pid) else None

    def successor(self) -> ProcessRecord | None:
        """Return the sibling if it started after this process and takes clients, else None."""
        sibling = self.sibling()
        return sibling if sibling is not None and is_successor(sibling, self.own) else None

    def forward_notification(self, notification: JobNotification) -> None:
        """Forward a notification of a request that this process does not hold to its sibling."""
        sibling = self.sibling()
        if sibling is not None:
            self.forwarder.submit(sibling, notification)
