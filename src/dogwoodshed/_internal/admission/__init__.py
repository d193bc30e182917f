"""Queue calls by rank and refuse those that cannot be served on time."""
