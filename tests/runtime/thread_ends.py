"""End threads that a test has started in its own process.

The program's pools and its decision thread run until the process ends. A test process continues, so
threads that are left running would make decisions and write log lines during later tests.
"""

import contextlib
import sys
import threading

from tests.runtime.waiting import wait_for


def end_pool(pool):
    """Let each thread of a pool end after the tasks that are already queued."""
    for _ in range(pool.thread_count):
        pool.submit(sys.exit)


def end_server(server):
    """Close an inbound server's listeners and connections; let its threads end."""
    server.close_listeners()
    for connection in list(server.connections):
        connection.transport.shut_down()
    server.lingering.close_due(float("inf"))
    end_pool(server.reader_threads)
    end_pool(server.slow_writer_threads)
    end_pool(server.buffered_input_threads)


def end_carrier(carrier):
    """Close an outbound carrier's idle connections; let its threads end."""
    for connections in carrier.pool.idle.values():
        for connection in connections:
            connection.sock.close()
    end_pool(carrier.threads)


def end_node(node):
    """Let every thread of a node in this process end."""
    node.discovery.stop()
    node.discovery.first_answer_received.set()  # its thread waits for the first endpoint list
    node.decision_thread.run_batch = sys.exit
    end_server(node.server)
    end_carrier(node.outbound)


def ignore_exits(hook):
    """Return a `threading.excepthook` that ignores SystemExit and passes the rest to `hook`."""

    def ignoring_hook(arguments):
        if arguments.exc_type is not SystemExit:
            hook(arguments)

    return ignoring_hook


@contextlib.contextmanager
def no_thread_left():
    """Fail if a thread that starts inside the context does not end soon after the context."""
    threads_before = set(threading.enumerate())
    hook = threading.excepthook
    threading.excepthook = ignore_exits(hook)
    try:
        yield
        wait_until_ended(threads_before)
    finally:
        threading.excepthook = hook


def wait_until_ended(threads_before):
    """Wait until only `threads_before` are running; name the others in the failure."""

    def names_of_running():
        return [thread.name for thread in threading.enumerate() if thread not in threads_before]

    try:
        wait_for(lambda: not names_of_running())
    except AssertionError as error:
        raise AssertionError(f"threads are still running: {names_of_running()}") from error
