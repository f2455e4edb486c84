"""Guards against wrong knowledge of which peers reach the upstreams."""

import dataclasses
import datetime

from arbutuscove.membership import swim
from arbutuscove.membership import wire
from arbutuscove.peers import peer_pb2

NOW = datetime.timedelta(seconds=1)
OWN = swim.Member(name="own", peer_address="127.0.0.1:1")
PEER = swim.Member(
    name="peer",
    peer_address="127.0.0.1:2",
    tunnel_address="127.0.0.1:3",
    unreached=("engines/f",),
)


def _receive(view, sender, *updates):
    message = swim.Message(sender=sender, updates=updates)
    view, _ = swim.step(view, swim.Received(message=message), NOW)
    return view


def test_unreached_services_arrive_with_the_record():
    """Guards against peers that are asked to carry what they don't reach."""
    assert wire.decode_member(wire.encode_member(PEER)) == PEER


def test_unreached_services_of_an_older_version_are_unknown():
    """Guards against tunnels through a daemon that accepts none."""
    old = peer_pb2.Member(name="peer", peer_address="127.0.0.1:2")
    decoded = wire.decode_member(old)
    assert not decoded.tunnel_address
    assert decoded.unreached == ()


def test_unreached_services_end_with_the_word_of_the_member_itself():
    """Guards against a peer that stays avoided after its cut has healed."""
    view = _receive(swim.View(own=OWN, seeds=()), PEER)
    healed = dataclasses.replace(PEER, unreached=())
    view = _receive(view, healed)
    assert swim.list_alive(view) == [healed]
    # A third daemon's older copy of the record changes nothing.
    other = swim.Member(name="other", peer_address="127.0.0.1:4")
    view = _receive(view, other, PEER)
    assert healed in swim.list_alive(view)


def test_unreached_services_are_bounded():
    """Guards against a peer whose record grows without bound."""
    message = wire.encode_member(PEER)
    message.unreached.extend(f"plain/{number}" for number in range(1000))
    decoded = wire.decode_member(message)
    assert len(decoded.unreached) == swim.MAX_UNREACHED
