"""Real dispatchers in processes of their own: started, loaded, disturbed and stopped."""
