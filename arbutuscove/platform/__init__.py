"""Adapter to the platform on which the product runs.

Translates the platform's wire format and settings file into the types of the
product, and makes no decisions. The platform's terms differ from the product's:
a machine is a VM, a zone a failure domain, a tenant a client account, a back
end or server an upstream, and a node a daemon.
"""
