"""What the policy is told and answers, and the records and estimators that it reads; decides nothing."""
