"""Administration API of a gateway, and a client for it."""
