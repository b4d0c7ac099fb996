"""Soak test: gateways under drawn faults, signals and upgrades, checked against the rules of the service."""
