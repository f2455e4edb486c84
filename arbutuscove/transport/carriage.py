"""Memory of a daemon that the connections it carries for peers may take.

Answers whose callers read slowly, or requests whose upstreams do, fill the
socket buffers of their tunnels at the carrier.
"""

import dataclasses

from arbutuscove.kernel import turns

# Part of the VM's memory. The bodies and connections of callers have others.
MEMORY_SHARE = 0.15
# A carried connection takes two file descriptors; the others serve callers.
DESCRIPTORS_PER_TUNNEL = 8
MIN_TUNNELS = 4
# Of each of two sockets, before the kernel doubles them. With smaller ones, a
# segment of the largest size does not fit, and a transfer waits for time-outs.
MIN_RECEIVE_BYTES = 65536
MAX_RECEIVE_BYTES = 262144
RECEIVE_BYTES_PER_SEND_BYTE = 4  # sizes of the buffers
KERNEL_FACTOR = 2
SOCKETS = 2
# Greenlets, and a piece in each direction with the frame of one of them.
FIXED_BYTES = 16384 + 3 * turns.TURN_BYTES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """How many connections a daemon carries, and their buffers.

    Attributes:
        max_tunnels: the most tunnels at once.
        receive_bytes: size of each receive buffer, as it is requested.
    """

    max_tunnels: int
    receive_bytes: int = MAX_RECEIVE_BYTES

    @property
    def send_bytes(self) -> int:
        """Size of each send buffer, in bytes, as it is requested."""
        return self.receive_bytes // RECEIVE_BYTES_PER_SEND_BYTE

    def compute_bytes(self) -> int:
        """Returns what all tunnels take with full buffers, in bytes."""
        buffers = self.receive_bytes + self.send_bytes
        return self.max_tunnels * (
            FIXED_BYTES + KERNEL_FACTOR * SOCKETS * buffers
        )


def compute_capacity(
    memory_bytes: int, max_descriptors: int, max_tunnels: int | None = None
) -> Capacity:
    """Returns what a daemon carries: many slow readers at a peer cut off.

    Args:
        memory_bytes: memory of the VM.
        max_descriptors: most open descriptors of the process.
        max_tunnels: bound on the number; None for none beside the others.
    """
    available = int(memory_bytes * MEMORY_SHARE)
    least = Capacity(max_tunnels=1, receive_bytes=MIN_RECEIVE_BYTES)
    count = min(
        max_descriptors // DESCRIPTORS_PER_TUNNEL,
        available // least.compute_bytes(),
    )
    if max_tunnels is not None:
        count = min(count, max_tunnels)
    count = max(MIN_TUNNELS, count)
    buffers = (available // count - FIXED_BYTES) // (KERNEL_FACTOR * SOCKETS)
    # One part of the buffers is for sending.
    receive = (
        buffers
        * RECEIVE_BYTES_PER_SEND_BYTE
        // (RECEIVE_BYTES_PER_SEND_BYTE + 1)
    )
    return Capacity(
        max_tunnels=count,
        receive_bytes=max(MIN_RECEIVE_BYTES, min(MAX_RECEIVE_BYTES, receive)),
    )
