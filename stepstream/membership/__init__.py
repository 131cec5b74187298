"""SWIM membership of the dispatchers: which ones are present, since when and in which state.

Loaded only where the operator's file has `[fleet]`. docs/membership.md says what the membership
list guarantees and what it does not.

    messages, member, member_list, member_status, maintenance_records, event_history
                               data structures
    record_precedence, suspicion, tombstones, local_health, member_count, dissemination
                               the protocol's rules, mostly pure functions
    record_merge, failure_detector, probe_order, outbox, anti_entropy, application_messages
                               the parts that keep the protocol's state
    protocol, context, protocol_settings
                               route datagrams and ticks to the parts, without I/O
    driver                     run the protocol on a thread with a UDP socket
    section, settings_digest, report, admin_api, subsystem
                               connect the membership to the node
    commands                   the command line `stepstream fleet`
"""
