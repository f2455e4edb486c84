"""Stand-ins for the platform and the upstreams, for tests and the demo.

Each one is a small process that speaks the protocol of the system it stands
for, keeps an independent record of what it did, and can be told to fail.
"""
