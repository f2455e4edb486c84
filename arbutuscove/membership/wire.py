"""Conversion between membership records and gRPC messages."""

import typing

import eliot

from arbutuscove.kernel import decoding
from arbutuscove.membership import swim
from arbutuscove.peers import peer_pb2


def encode_member(member: swim.Member) -> peer_pb2.Member:
    """Returns the gRPC message of a membership record.

    Example:
        >>> member = swim.Member(name="a", peer_address="127.0.0.1:1")
        >>> decode_member(encode_member(member)) == member
        True
    """
    return peer_pb2.Member(
        name=member.name,
        peer_address=member.peer_address,
        entry_address=member.entry_address,
        region=member.region,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=typing.cast(peer_pb2.MemberState, int(member.state)),
        load=member.load,
        config_sequence=member.config_sequence,
        rank_loads=member.rank_loads,
        tunnel_address=member.tunnel_address,
        unreached=member.unreached,
    )


def decode_member(member: peer_pb2.Member) -> swim.Member:
    """Returns the membership record in a gRPC message.

    Raises:
        DecodingError: a name or an address is too long or has control
            characters, or the state is unknown.
    """
    for text in (
        member.name,
        member.peer_address,
        member.entry_address,
        member.region,
        member.failure_domain,
        member.tunnel_address,
        *member.unreached,
    ):
        decoding.convert(text, decoding.Text)
    if member.state not in set(swim.State):
        raise decoding.DecodingError(f"state {member.state} is unknown")
    return swim.Member(
        name=member.name,
        peer_address=member.peer_address,
        entry_address=member.entry_address,
        region=member.region,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=swim.State(member.state),
        load=member.load,
        config_sequence=member.config_sequence,
        rank_loads=swim.bound_loads(member.rank_loads),
        tunnel_address=member.tunnel_address,
        unreached=tuple(member.unreached[: swim.MAX_UNREACHED]),
    )


def decode_message(gossip: peer_pb2.Gossip) -> swim.Message:
    """Returns the membership part of a gossip message.

    Records of other members that are invalid are left out.

    Raises:
        DecodingError: the record of the sender is invalid.
    """
    updates: list[swim.Member] = []
    for item in gossip.updates:
        try:
            updates.append(decode_member(item))
        except decoding.DecodingError as error:
            eliot.log_message("membership:record_skipped", reason=str(error))
    return swim.Message(
        sender=decode_member(gossip.sender),
        updates=tuple(updates),
        is_sync_request=gossip.whole,
    )
