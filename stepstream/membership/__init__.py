"""SWIM membership of the dispatchers: who is present, since when and in which state.

Loaded only where the operator's file has `[fleet]`. docs/membership.md says what the membership
list guarantees and what it does not.

    messages, member, member_list, member_status, maintenance_records, event_history
                               the data
    record_precedence, suspicion, tombstones, local_health, member_count, dissemination
                               the protocol's decisions, as pure functions
    record_merge, failure_detector, probe_order, outbox, anti_entropy, application_messages
                               the protocol's parts
    protocol, context, protocol_settings
                               routes datagrams and ticks to the parts, without I/O
    driver                     the thread and the socket
    section, settings_digest, report, admin_api, subsystem
                               plug it into the node
    commands                   `stepstream fleet`
"""
