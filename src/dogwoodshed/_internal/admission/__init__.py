"""Queue calls by rank and refuse what cannot be served in time."""
