"""What the policy is notified of and answers, its records and estimators.

It remembers and measures; it decides nothing. Only the decision thread touches its mutable objects.
"""
