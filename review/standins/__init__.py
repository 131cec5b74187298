"""Stand-ins for clients, workers and the platform, and the control of the started programs."""
