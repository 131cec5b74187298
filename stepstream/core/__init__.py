"""The core: what happens to a request between its front and the carriers of its calls.

`dispatcher` takes `events` and returns `commands`; it does no I/O and runs on the decision thread
alone. Its parts, each a module: requests, calls, notifications, timers and the policy's actions
have a handler each; `request_table`, `timer_wheel`, `round_output` and `endpoint_set` hold the
state. `maintenance` and `drain` hold what operators have ordered, for the admin service.
"""
