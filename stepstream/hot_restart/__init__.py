"""The hot restart: a new process beside the old one on the clients' address, state handed over in $TMPDIR.

Loaded only where `operator` is set.
"""
