"""The controller of a hot restart: takes over and hands over state, detects the sibling process.

It owns what this process knows of its siblings and of the endpoint list to be handed over. The
admin listener's thread checks the file at every turn; the main thread loads the state before that
thread starts, writes it once clients are taken, and checks it at a shutdown; the decision thread
forwards notifications.
"""

from dataclasses import replace

from stepstream.config.limits import Limits
from stepstream.core.events import JobNotification
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.hot_restart.forwarder import NotificationForwarder
from stepstream.hot_restart.precedence import (
    EndpointListJson,
    is_newer_list,
    is_successor,
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
        self.siblings: tuple[ProcessRecord, ...] = ()
        self.endpoint_list: EndpointListJson | None = None  # to be handed over with the rest

    def load(self) -> HandoverState | None:
        """Take over what the process before this one left, at the start.

        Return None, with one line in the log, if there is nothing usable.
        """
        try:
            state = self.file.read()
        except FileNotFoundError:
            log_events.handover_state_missing()
            return None
        except (OSError, HandoverStateError) as error:
            log_events.handover_state_ignored(reason=str(error), at_start=True)
            return None
        self._adopt(state)
        return state

    def write(self, *, ready: bool | None = None) -> None:
        """Write the state; `ready` changes this process's own record first.

        A failure is logged, and the next change writes again.
        """
        if ready is not None:
            self.own = replace(self.own, ready=ready)
        alive_pids = {process.pid for process in self.siblings if is_alive(process.pid)}
        processes = replace_own_record(self.siblings, self.own, alive_pids)
        self.siblings = processes[:-1]
        state = HandoverState(self.maintenance.snapshot(), processes, self.endpoint_list)
        try:
            self.file.write(state)
        except OSError as error:
            log_events.handover_state_write_failed(reason=str(error))

    def check_file(self) -> bool:
        """Adopt what a sibling has written; return whether that changed the maintenance state."""
        try:
            state = self.file.read_if_changed()
        except (OSError, HandoverStateError) as error:
            log_events.handover_state_ignored(reason=str(error), at_start=False)
            return False
        if state is None:
            return False
        generation_before = self.maintenance.snapshot().generation
        self._adopt(state)
        if all(process.pid != self.own.pid for process in state.processes):
            # Guards this process's record against a sibling that wrote before reading it.
            self.write()
        return self.maintenance.snapshot().generation != generation_before

    def _adopt(self, state: HandoverState) -> None:
        """Take over the siblings, and what is newer than this process's own state."""
        self.siblings = tuple(process for process in state.processes if process.pid != self.own.pid)
        self.maintenance.adopt(state.maintenance)
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
