"""Calls to other daemons over gRPC."""

import collections
import datetime
from collections import abc

import grpc

from arbutuscove.kernel import services
from arbutuscove.peers import peer_pb2
from arbutuscove.peers import peer_pb2_grpc

SERVICE_NAME = "peer-client"
MAX_CHANNELS = 64  # the least recently used channel is closed
KEEP_ALIVE_TIME_MS = 600_000
# Of an answer, for example a whole configuration.
MAX_ANSWER_BYTES = 4 << 20
LOSS_TIMEOUT_MS = 2500  # as `transport.connection.TCP_USER_TIMEOUT_MS`
CHANNEL_OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    # gRPC sets TCP_USER_TIMEOUT to the keep-alive time-out once pings are on.
    # Calls notice a lost peer, so that pings beside them are not needed; a
    # server rejects more than one in five minutes.
    ("grpc.keepalive_time_ms", KEEP_ALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", LOSS_TIMEOUT_MS),
    ("grpc.max_receive_message_length", MAX_ANSWER_BYTES),
]


class PeerUnreachableError(Exception):
    """The call to a peer failed or timed out."""


class PeerClient(services.BaseService):
    """Calls peers over cached channels.

    Args:
        count_call: counts a call, by metric labels; None counts nothing.
    """

    def __init__(
        self, count_call: abc.Callable[[dict[str, str]], None] | None = None
    ) -> None:
        self._count_call = count_call
        self._channels: collections.OrderedDict[str, grpc.Channel] = (
            collections.OrderedDict()
        )

    def probe(
        self,
        address: str,
        gossip: peer_pb2.Gossip,
        timeout: datetime.timedelta,
    ) -> peer_pb2.Gossip:
        """Exchanges gossip with a peer.

        Args:
            address: peer address, host:port.
            gossip: the message to send.
            timeout: timeout of the call.

        Returns:
            The gossip of the peer.

        Raises:
            PeerUnreachableError: the call failed or timed out.
        """
        try:
            return self._get_stub(address, "Probe").Probe(
                gossip, timeout=timeout.total_seconds()
            )
        except grpc.RpcError as error:
            raise PeerUnreachableError(address) from error

    def probe_indirect(
        self,
        address: str,
        request: peer_pb2.IndirectProbe,
        timeout: datetime.timedelta,
    ) -> bool:
        """Requests that a peer probe a third daemon.

        Args:
            address: address of the peer that sends the probe, host:port.
            request: names the daemon to probe.
            timeout: timeout of the call.

        Returns:
            Whether the third daemon answered the probe.

        Raises:
            PeerUnreachableError: the call to the peer failed or timed out.
        """
        try:
            return (
                self._get_stub(address, "ProbeIndirect")
                .ProbeIndirect(request, timeout=timeout.total_seconds())
                .reached
            )
        except grpc.RpcError as error:
            raise PeerUnreachableError(address) from error

    def fetch_changes(
        self, address: str, after: int, timeout: datetime.timedelta
    ) -> peer_pb2.ChangesReply:
        """Fetches the configuration changes after a sequence number.

        Args:
            address: peer address, host:port.
            after: the sequence number.
            timeout: timeout of the call.

        Raises:
            PeerUnreachableError: the call failed or timed out.
        """
        request = peer_pb2.ChangesRequest(after=after)
        try:
            return self._get_stub(address, "FetchChanges").FetchChanges(
                request, timeout=timeout.total_seconds()
            )
        except grpc.RpcError as error:
            raise PeerUnreachableError(address) from error

    def fetch_reports(
        self,
        address: str,
        request: peer_pb2.ReportsRequest,
        timeout: datetime.timedelta,
    ) -> peer_pb2.ReportsReply:
        """Fetches the statuses of the VMs that a peer reads.

        Args:
            address: peer address, host:port.
            request: states which reports this daemon already has.
            timeout: timeout of the call.

        Raises:
            PeerUnreachableError: the call failed or timed out.
        """
        try:
            return self._get_stub(address, "FetchReports").FetchReports(
                request, timeout=timeout.total_seconds()
            )
        except grpc.RpcError as error:
            raise PeerUnreachableError(address) from error

    def fetch_rows(
        self, address: str, timeout: datetime.timedelta
    ) -> peer_pb2.RowsReply:
        """Fetches the replica rows that a peer read from the table.

        Args:
            address: peer address, host:port.
            timeout: timeout of the call.

        Raises:
            PeerUnreachableError: the call failed or timed out.
        """
        try:
            return self._get_stub(address, "FetchRows").FetchRows(
                peer_pb2.RowsRequest(), timeout=timeout.total_seconds()
            )
        except grpc.RpcError as error:
            raise PeerUnreachableError(address) from error

    def stop(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _get_stub(self, address: str, method: str) -> peer_pb2_grpc.PeerStub:
        if self._count_call is not None:
            self._count_call({"method": method})
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return peer_pb2_grpc.PeerStub(channel)
