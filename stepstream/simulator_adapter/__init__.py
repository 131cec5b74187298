"""Run the policy for the simulator: read batches of messages and answer with batches of actions.

This package only translates; `policy.load_balancer.LoadBalancer` makes every decision. A message is
one line of text: its name, then name=value pairs, separated by single spaces. Only `wire_reader`
and `wire_writer` translate the names on the wire.

    wire_reader   messages to events and endpoints
    wire_writer   actions to messages
    adapter       the endpoint tables, the running instances, and the batches of their messages
    command       `python -m stepstream.simulator_adapter`, on standard input and output
    errors        the error for a faulty message of the simulator

The package runs in the only thread of its process.
"""
