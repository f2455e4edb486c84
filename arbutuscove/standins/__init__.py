"""Stand-ins for the platform and the upstreams, for tests and the demo.

Most are small processes that implement the protocol of the system that they
replace, record what they did independently of the daemons, and fail on
command.
"""
