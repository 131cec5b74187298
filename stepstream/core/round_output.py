"""The output of one round of the dispatcher: commands for the node and events for the policy.

The decision thread owns it. Both lists keep the order in which their items were added. Commands
take effect in that order, and the policy's decisions depend on the order of its events.
"""

from stepstream.core.commands import Command
from stepstream.model.events import PolicyEvent


class RoundOutput:
    """The commands and policy events that were added and not yet taken."""

    def __init__(self) -> None:
        self.commands: list[Command] = []
        self.policy_events: list[PolicyEvent] = []

    def take_commands(self) -> list[Command]:
        """Return the commands and clear them."""
        commands = self.commands
        self.commands = []
        return commands

    def take_policy_events(self) -> list[PolicyEvent]:
        """Return the events for the policy and clear them."""
        policy_events = self.policy_events
        self.policy_events = []
        return policy_events
