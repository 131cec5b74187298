"""SWIM membership of the dispatchers: who is present, since when and in which state.

Loaded only where the operator's file has `[fleet]`. docs/fleet.md says what the membership list
guarantees and what it does not.

From the bottom up: `messages` and `member_list` hold the data; `record_merge`, `failure_detector`,
`outbox` with `dissemination`, and `anti_entropy` are the protocol's parts; `protocol` routes
datagrams and ticks to them, without I/O; `driver` has the thread and the socket; `subsystem` plugs
it into the node and draws the consequences.
"""
