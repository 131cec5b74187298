"""The policy's events and actions, the settings, and the records that the policy decides by.

The package holds records and running statistics, but no decision rules. Only the decision thread
touches the mutable objects.
"""
