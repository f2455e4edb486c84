"""Decisions about scarce or costly capacity, without I/O.

Which part of a warming VM's allowance a daemon may use (`cold`), which failure
domains receive nothing (`evacuation`), how much work leaves a failure domain
(`locality`) and which work gets the places of full engines (`scarcity`). The
interface to callers of models (`relay`) and the product's own interface
(`routing`) both use them, so that the package imports neither.
"""
