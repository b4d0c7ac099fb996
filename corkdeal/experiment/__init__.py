"""Experiments with fake services, and simulations. They run long; docs/reports keeps their results."""
