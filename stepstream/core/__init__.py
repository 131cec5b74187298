"""The core: handles each request between its front and the carriers of its calls.

`dispatcher` takes `events` and returns `commands`. It does no I/O, and only the decision thread
runs it. Requests, calls, notifications, timers and the policy's actions have a handler module each.
`request_table`, `timer_wheel`, `round_output` and `endpoint_set` hold the state. `maintenance` and
`drain` hold what operators have set through the admin service.
"""
