"""Reads the options of real sockets, and makes connections silent."""

import ctypes
import math
import os
import socket
import struct

SO_ATTACH_FILTER = 26  # not named by the module `socket`
_RETURN = 0x06  # operation of a classic packet filter


def list_connected():
    """Returns copies of all connected TCP sockets of this process."""
    found = []
    for number in os.listdir("/proc/self/fd"):
        try:
            copy = os.dup(int(number))
        except OSError:
            continue  # that of the listing itself
        try:
            sock = socket.socket(fileno=copy)
        except OSError:
            os.close(copy)
            continue
        try:
            sock.getpeername()
            is_tcp = sock.family in (socket.AF_INET, socket.AF_INET6)
        except OSError:
            is_tcp = False
        if is_tcp:
            found.append(sock)
        else:
            sock.close()
    return found


def read_times(own_port=None, peer_port=None):
    """Returns the times of `compute_times` of one connected socket."""
    times = set()
    for sock in list_connected():
        with sock:
            if own_port in (None, sock.getsockname()[1]) and peer_port in (
                None,
                sock.getpeername()[1],
            ):
                times.add(compute_times(sock))
    (found,) = times
    return found


def compute_times(sock):
    """Returns after how many seconds the kernel gives a silent peer up.

    Linux compares TCP_USER_TIMEOUT with the silence each time that a keep-alive
    probe is due; with it, the number of probes has no effect.

    Returns:
        The times of an idle connection and of one with unacknowledged data,
        infinite where no option sets one.
    """
    limit = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) / 1000
    idle, interval, probes = (
        sock.getsockopt(socket.IPPROTO_TCP, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
        )
    )
    if limit:
        probes = max(1, math.ceil((limit - idle) / interval))
    is_probed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    return (
        idle + probes * interval if is_probed else math.inf,
        limit or math.inf,
    )


def make_silent(sock):
    """Drops all that arrives at a socket, also acknowledgements of probes."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", _RETURN, 0, 0, 0))
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack("HL", 1, ctypes.addressof(program)),
    )
