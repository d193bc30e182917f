"""Read from the platform which hosts are live or leaving."""
