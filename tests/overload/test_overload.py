"""Hostile clients on a running dispatcher: its memory stays bounded, sound clients are answered.

The dispatcher and the hostile clients are processes of their own. The bounds are the platform's:
`memory_mb`, over which a dispatcher is killed, and half a second after a request's time.
"""

import signal

import pytest

from stepstream.lab.faults.overload_plan import Carrier, HostileGroup
from stepstream.lab.processes.overload_platform import MAX_OVERDUE_SECONDS, REQUEST_TIMEOUT_MS
from stepstream.lab.processes.overload_run import OverloadSetup, play

LATEST_ANSWER_SECONDS = REQUEST_TIMEOUT_MS / 1000 + MAX_OVERDUE_SECONDS
LOAD_SECONDS = 3.0
HOT_RESTART_SECONDS = 7.0
GEARMAN = '[gearman]\nlisten = "{host}:{gearman_port}"\ntenant = "hron-asset"\n'
# By memory_mb: as many clients as the process has descriptors for.
DESCRIPTORS = {32: 256, 64: 512, 192: 1024}
FINAL_OUTCOMES = {"200", "503"}
# In a hot restart the platform prices connections that are refused, or closed unread, and no more.
UNREAD_OUTCOMES = {"refused", "closed unsent"}


def played(tmp_path, kind, connections, memory_mb, *, has_hot_restart=False):
    """Play one kind of hostile clients; check what holds whatever they do."""
    carrier = Carrier.GEARMAN if kind.startswith("gearman") else Carrier.HTTP
    setup = OverloadSetup(
        [HostileGroup(kind, connections, carrier=carrier)],
        memory_mb,
        DESCRIPTORS[memory_mb],
        HOT_RESTART_SECONDS if has_hot_restart else LOAD_SECONDS,
        has_hot_restart=has_hot_restart,
        operator_sections=GEARMAN if carrier is Carrier.GEARMAN else "",
    )
    figures = play(setup, tmp_path)
    assert figures.exit_status is None, figures.log
    assert "internal_fault" not in figures.log
    outcomes = FINAL_OUTCOMES | (UNREAD_OUTCOMES if has_hot_restart else set())
    assert set(figures.outcomes) <= outcomes, figures.outcomes
    assert figures.slowest_seconds <= LATEST_ANSWER_SECONDS
    return figures


@pytest.mark.parametrize("memory_mb", DESCRIPTORS)
@pytest.mark.parametrize(
    "kind",
    [
        "unfinished-body-many-fields",
        "unfinished-tiny-chunks",
        "held-requests",
        "large-requests",
        "gearman-unfinished-packet",
    ],
)
def test_hundreds_of_clients_with_large_messages_stay_within_the_memory(kind, memory_mb, tmp_path):
    # Guards against a process killed for its memory by slow, unfinished or answered large requests.
    figures = played(tmp_path, kind, DESCRIPTORS[memory_mb], memory_mb)
    assert figures.peak_mb <= memory_mb


@pytest.mark.parametrize("kind", ["unfinished-body", "held-requests"])
def test_both_processes_of_a_hot_restart_stay_within_the_memory_together(kind, tmp_path):
    # Guards against two processes that each use all of the memory that the platform counts once.
    figures = played(tmp_path, kind, 1024, 192, has_hot_restart=True)
    assert figures.peak_mb <= 192
    assert figures.replaced_exit_status in (0, -signal.SIGKILL)  # the kill comes at its earliest


@pytest.mark.parametrize(
    ("kind", "connections"),
    [
        ("new-affinity-keys", 50),
        ("new-affinity-keys-at-the-bound", 50),
        ("readiness-checks-unread", 1),
        ("one-request-id", 1),
        ("large-notifications", 20),
        ("gearman-background-jobs", 1),
        ("gearman-echo-unread", 100),
    ],
)
def test_a_few_clients_at_full_speed_stay_within_the_smallest_memory(kind, connections, tmp_path):
    # Guards against memory that grows with what a client sends, though each message is answered.
    figures = played(tmp_path, kind, connections, 32)
    assert figures.peak_mb <= 32


@pytest.mark.parametrize("connections", [1, 50])
@pytest.mark.parametrize(
    "kind",
    ["many-fields", "one-repeated-field", "tiny-chunks", "endless-trailers", "notifications"],
)
def test_costly_messages_at_full_speed_do_not_delay_other_clients(kind, connections, tmp_path):
    # Guards against sound clients whose answers wait behind one peer's small or unsound messages.
    figures = played(tmp_path, kind, connections, 192)
    assert set(figures.outcomes) == {"200"}
