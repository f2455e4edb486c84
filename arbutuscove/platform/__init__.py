"""Adapter to the users' platform: its names and formats, decoded once.

Their words differ from the project's: machine is VM, zone is failure domain,
tenant is client account, back end and server are upstream, node is daemon.
"""
