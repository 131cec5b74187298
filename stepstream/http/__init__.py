"""HTTP/1.1 between the dispatcher and the platform's clients, workers and discovery service.

- Protocol, without I/O: `codec` (messages), `session` (an inbound connection), `exchange` (a call
  to a worker), and the platform's messages: `client_api`, `worker_api`, `discovery_api`.
- Inbound: `server` accepts connections within a budget, `client_connection` drives one connection;
  both use `server_state`, `eviction` and `lingering`.
- Outbound: `outbound` calls workers over a `connection_pool`. `destination_set` has the workers'
  addresses. `discovery_client` keeps these up to date; `poll_schedule` decides when it calls
  discovery, and `staleness` detects when the addresses may be outdated.

Sockets are blocking, and each one is read by one thread, which posts what it receives to the core
as events. The decision thread starts calls and answers requests, and never waits for a peer.
"""
