"""The platform's HTTP/1.1: with clients, workers and discovery.

- Protocol, without I/O: `codec` (messages), `session` (an inbound connection), `exchange` (a call
  to a worker), and the platform's messages: `client_api`, `worker_api`, `discovery_api`.
- Inbound: `server` accepts connections within a budget, `client_connection` drives one connection;
  both use `server_state`, `eviction` and `lingering`.
- Outbound: `outbound` calls workers over a `connection_pool`. `destination_set` has the workers'
  addresses, `discovery_client` updates it by a `poll_schedule`, and `staleness` detects when it may
  be outdated.

Sockets block, and one thread reads each of them. What they receive is posted to the core as events.
The decision thread starts calls and answers requests, and never waits for a peer.
"""
