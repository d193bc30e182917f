"""Parse, validate and store the configuration."""
