"""Authentication and authorization of callers, workers and operators, `[identity]`.

See docs/identity.md. `access_control` decides for the fronts. It applies the `active_rules`, which
are built from what `configuration` has read. `authentication`, `tokens`, `token_cache` and
`certificates` authenticate; `permissions` and `rate_limiter` authorize. These six do no I/O. `tls`
is the transport. `rotation_rules`, `key_rotation` and `commands` serve the command line.
"""
