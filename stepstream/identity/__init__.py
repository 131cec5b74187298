"""Authentication and authorization of callers, workers and operators, `[identity]`.

See docs/identity.md. `access_control` answers the fronts by what `configuration` reads; `tokens`,
`token_cache` and `certificates` authenticate, `permissions` and `rate_limiter` authorize, all five
without I/O; `tls` is the transport; `key_rotation` and `commands` serve the command line.
"""
