"""Configuration: the settings reader, the operator's file and the limits."""
