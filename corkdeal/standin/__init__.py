"""Stand-ins on loopback for what a gateway meets: servers in halls, discovery, and a fleet of real gateways.

All of it runs in one asyncio loop of the calling process; only the gateways are processes of their own.
Nothing here decides anything for a gateway.
"""
