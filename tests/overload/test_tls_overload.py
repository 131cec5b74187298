"""Hostile clients over TLS, from a process of their own: the dispatcher stays within its memory."""

import subprocess
import sys
import time

import pytest

from stepstream.lab.processes.memory_series import resident_mb
from tests.identity.program import TLS_SECTION_TEMPLATE, IdentityProgram

MEMORY_MB = 192
CONNECTIONS = 700
SECONDS = 5.0


@pytest.mark.parametrize("kind", ["unfinished-body", "unfinished-tiny-chunks"])
def test_unfinished_requests_over_tls_stay_within_the_memory(tmp_path, monkeypatch, kind):
    # Guards against TLS buffers and unfinished bodies that take more than the platform allows.
    section = TLS_SECTION_TEMPLATE + 'clients = "wanted"\n'
    monkeypatch.setattr("tests.identity.program.TLS_SECTION_TEMPLATE", section)
    program = IdentityProgram(tmp_path, tls=True)
    try:
        command = [sys.executable, "-m", "stepstream.lab.load.hostile_clients"]
        target = [f"127.0.0.1:{program.tls_port}", kind, "--tls"]
        options = [f"--connections={CONNECTIONS}", f"--seconds={SECONDS}"]
        peak_mb = 0.0
        with subprocess.Popen([*command, *target, *options], stdout=subprocess.PIPE) as clients:
            while clients.poll() is None:
                peak_mb = max(peak_mb, resident_mb(program.process.pid))
                time.sleep(0.05)
            line = clients.stdout.read().decode()
        token = program.issue_token()
        program.start_worker()
        assert program.post_job(token).status == 200
        assert not line.startswith("opened 0"), line
        assert peak_mb <= MEMORY_MB
        print(line, peak_mb)
    finally:
        program.close()
