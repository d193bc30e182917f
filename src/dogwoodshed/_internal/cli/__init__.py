"""Parse the command line and map errors to exit codes."""
