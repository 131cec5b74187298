"""The policy on the simulator's wire: batches of messages in, batches of actions out, as text.

This package only translates; `policy.load_balancer.LoadBalancer` makes every decision. A message is
one line: its name, then name=value pairs with single spaces between. `wire_reader` and
`wire_writer` translate the names on the wire, and no other module does.

    wire_reader   messages to events and endpoints
    wire_writer   actions to messages
    adapter       the endpoint tables, the running instances, and the batches of their messages
    command       `python -m stepstream.simulator_adapter`, on standard input and output
    errors        the error for a faulty message of the simulator

All of it runs in the process's one thread.
"""
