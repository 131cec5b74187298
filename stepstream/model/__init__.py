"""The policy's events and actions, the settings, and the records that the policy decides by.

Records and running statistics only: no rule stands here. Only the decision thread touches the
mutable objects.
"""
