"""The platform's HTTP/1.1: with clients, workers and discovery.

- Protocol, without I/O: `codec` (messages), `session` (an inbound connection), `exchange` (a call
  to a worker), and what the platform says by them: `client_api`, `worker_api`, `discovery_api`.
- Inbound: `server` accepts within the connection budget, `client_connection` drives a connection;
  `server_state`, `eviction` and `lingering` serve both.
- Outbound: `outbound` calls workers over a `connection_pool`; `destination_set` says where they
  listen, `discovery_client` keeps it up to date by a `poll_schedule`, and `staleness` tells when
  not to trust it.

Sockets block, and each has one thread that reads it. Everything that comes in is posted to the core
as an event; the core's answers and calls come from the decision thread, which never waits here.
"""
