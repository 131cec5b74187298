"""The hot restart: a successor starts beside the running process and takes over its state.

Both processes listen on the clients' address at the same time. The state passes through a file in
$TMPDIR (`state` is its codec, `state_file` reads and writes it). `precedence` decides which process
and which state take precedence, and `controller` detects the sibling process. `forwarder` forwards
to the sibling process the notifications of requests that are open there. The package is loaded only
where `operator` is set.
"""
