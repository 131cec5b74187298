"""What a hot restart hands over: the endpoint list, the files on disk, forwarded notifications."""

import socket
import tempfile
import threading
from pathlib import Path
from unittest import mock

from golden.state.forms import UNIX_MS
from golden.state.process_doubles import CONFIGURATION, LIMITS, discarded_output

from stepstream.config.node_config import config_from
from stepstream.core.events import JobNotification, JobStatus
from stepstream.core.maintenance import MaintenanceRegistry
from stepstream.hot_restart.controller import HotRestartController
from stepstream.hot_restart.process import ProcessRecord
from stepstream.hot_restart.state_file import StateFile
from stepstream.http import worker_api
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_api import DiscoveryApi

DONE = worker_api.STATUS_BY_WIRE_NAME["done"]
RUNNING = worker_api.STATUS_BY_WIRE_NAME["running"]
OLD_PID = 11
NEW_PID = 12
LATER_PID = 13
FORWARDING_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nOK\n"


def listed_workers() -> list[object]:
    """Return the list in discovery's form: before an answer, after a list, after a change."""
    discovery = DiscoveryApi(config_from(CONFIGURATION, {}).settings)
    workers = DestinationSet()
    exports: list[object] = [workers.export_list()]
    first = {"id": "s-1", "addr": "127.0.0.1:5000", "zone": "petrzalka", "cell": 3, "weight": 2.5}
    second = {"id": "s-2", "addr": "127.0.0.1:5001", "started_ms": UNIX_MS}
    third = {"id": "s-3", "addr": "127.0.0.1:5002"}
    changes = [{**first, "state": "draining"}, {"id": "s-3", "state": "gone"}]
    for version, is_full, rows in ((3, True, [first, second, third]), (4, False, changes)):
        workers.apply(discovery.read({"version": version, "full": is_full, "servers": rows}))
        exports.append(workers.export_list())
    return exports


def controller(folder: str, pid: int, maintenance: MaintenanceRegistry) -> HotRestartController:
    """Return the controller of a process in this folder."""
    own = ProcessRecord(pid, f"127.0.0.1:{9000 + pid}", UNIX_MS * 1000 + pid)
    file = StateFile(folder, "n0", pid, LIMITS.sizes.handover_bytes)
    return HotRestartController(file, own, maintenance, LIMITS)


def files_in(folder: str) -> dict[str, str]:
    """Return the text of each file by its name."""
    return {path.name: path.read_text() for path in sorted(Path(folder).iterdir())}


def play_hot_restart(folder: str) -> list[list[object]]:
    """Let an old and a new process share a folder; return what each step leaves there."""
    old_maintenance = MaintenanceRegistry()
    new_maintenance = MaintenanceRegistry()
    old = controller(folder, OLD_PID, old_maintenance)
    new = controller(folder, NEW_PID, new_maintenance)
    transcript: list[list[object]] = [["nothing to load", old.load() is None]]
    old_maintenance.begin("s-1")
    old_maintenance.begin("s-2")
    old_maintenance.release("s-2", UNIX_MS * 1000)
    old.endpoint_list = {"version": 3, "full": True, "servers": []}
    old.write(ready=True)
    transcript.append(["the old process takes clients", files_in(folder)])
    new.load()
    new.write()
    transcript.append(["the new process has loaded", files_in(folder)])
    in_maintenance = new_maintenance.snapshot().in_maintenance
    transcript.append(["bans taken over", sorted(in_maintenance)])
    new.write(ready=True)
    transcript.append(["the new process takes clients", files_in(folder)])
    transcript.append(["the old process sees newer bans", old.check_file()])
    transcript.append(["the old process has a successor", old.successor() is not None])
    Path(new.file.path).write_text("{")
    later = controller(folder, LATER_PID, MaintenanceRegistry())
    transcript.append(["damaged", later.load() is None])
    return transcript


def handover_files() -> list[list[object]]:
    """Return what two processes of a hot restart write, and how a damaged file is read."""
    with discarded_output(), mock.patch("os.kill"), tempfile.TemporaryDirectory() as folder:
        return play_hot_restart(folder)


def worker_notifications() -> dict[str, JobNotification]:
    """Return a notification of each status."""
    notifications = {
        "done": JobNotification("job-1", "s-1", DONE, {"sum": 3}),
        "running": JobNotification("job-1", "s-1", RUNNING, None, (250, 1000)),
    }
    for status in JobStatus:
        if status not in (DONE, RUNNING):
            notifications[status.value] = JobNotification("job-1", "s-1", status)
    return notifications


def forwarded_notifications() -> dict[str, str]:
    """Return notifications as one process forwards them; PORT stands for the receiver's port."""
    forwarded = {}
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        target = ProcessRecord(NEW_PID, f"127.0.0.1:{port}", 1)
        forwarder = controller(folder, OLD_PID, MaintenanceRegistry()).forwarder
        for name, notification in worker_notifications().items():
            thread = threading.Thread(target=forwarder.forward, args=(target, notification))
            thread.start()
            connection, _ = server.accept()
            with connection:
                data = connection.recv(65_536)
                connection.sendall(FORWARDING_ANSWER)
                thread.join()
            forwarded[name] = data.decode().replace(str(port), "PORT")
    return forwarded
