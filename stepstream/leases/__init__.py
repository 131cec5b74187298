"""Leases on fleet-wide tasks: one holder at a time, granted by a quorum of diskless acceptors.

The algorithm is PaxosLease (Trencseni, Gazso, Reinhardt 2012); sessions, heartbeats and sequencers
(here: fencing tokens) follow Chubby (Burrows 2006). docs/leases.md has the messages and the proof.

    messages, wire, configuration
                               messages between members, and the settings that must match
    acceptor_rules, proposer_rules, lease_state
                               the protocol's decisions, as pure functions
    lease_record, ballots      the records that they read
    acceptor, proposer, wait_queue, participant, envelopes, release_repeats
                               the state machines, without I/O
    fencing                    the check at a guarded resource
    driver, client             the thread that runs the state machines, and its interface for tasks
    session_table, sessions, admin_api
                               leases held for other programs, which call the admin listener
    health_reports, health_check_leader
                               one dispatcher checks the workers' health for all
    subsystem                  connects this package to the node
    commands, command_runner, command_deadlines
                               `stepstream lease`
"""
