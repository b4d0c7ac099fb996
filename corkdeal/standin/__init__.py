"""Test environment on loopback: fake backends, discovery and clients, faulty links, real gateway processes.

Everything runs in one asyncio event loop of the calling process, except the gateways, which are separate
processes. Nothing here takes a decision for a gateway.
"""
