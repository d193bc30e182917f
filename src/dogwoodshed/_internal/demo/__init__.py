"""Show a fleet of gateways through an evening of load and faults."""
