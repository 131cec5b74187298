"""Authentication and authorization of callers, workers and operators, `[identity]`.

See docs/identity.md. `access_control` answers the fronts by the `active_rules`, which come from
`configuration`. `authentication`, `tokens`, `token_cache` and `certificates` authenticate,
`permissions` and `rate_limiter` authorize, all without I/O. `tls` is the transport.
`rotation_rules`, `key_rotation` and `commands` serve the command line.
"""
