"""What one round of the dispatcher produces: commands for the node and events for the policy.

The decision thread owns it. Both lists keep the order in which they were produced: the order of
commands is the order of their effects, and the order of policy events is what the policy decides
by.
"""

from stepstream.core.commands import Command
from stepstream.model.events import PolicyEvent


class RoundOutput:
    """The commands and policy events produced so far and not yet taken."""

    def __init__(self) -> None:
        self.commands: list[Command] = []
        self.policy_events: list[PolicyEvent] = []

    def take_commands(self) -> list[Command]:
        """Return the commands and start anew."""
        commands = self.commands
        self.commands = []
        return commands

    def take_policy_events(self) -> list[PolicyEvent]:
        """Return the events for the policy and start anew."""
        policy_events = self.policy_events
        self.policy_events = []
        return policy_events
