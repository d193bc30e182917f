"""Read the platform's configuration service."""
