"""Demonstrate a fleet of gateways on loopback under load and faults."""
