"""The policy on the simulator's wire: batches of messages in, batches of actions out, as text.

It only translates; every decision is made by `policy.load_balancer.LoadBalancer`. A message is one
line: its name, then name=value pairs with single spaces between. The names on the wire and their
meanings are translated in `wire_reader` and `wire_writer`, and nowhere else.

    wire_reader   messages to events and endpoints
    wire_writer   actions to messages
    adapter       the endpoint tables and the running instances, and one batch of messages for them
    command       `python -m stepstream.simulator_adapter`, on standard input and output
    errors        what is wrong with the simulator's messages

All of it runs in the process's one thread.
"""
