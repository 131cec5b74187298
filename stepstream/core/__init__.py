"""The dispatcher: open requests, outbound calls, timers, the endpoint set and maintenance state."""
