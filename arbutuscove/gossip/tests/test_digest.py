"""Guards against beliefs about peers that old or lost datagrams turn over."""

import datetime
import random

import msgspec

from arbutuscove.gossip import digest

SECOND = datetime.timedelta(seconds=1)


def create_beat(name="b", life=1, counter=1, **fields):
    values = {
        "ip": "127.0.0.2",
        "callers": "127.0.0.2:80",
        "failure_domain": "a",
        "identity": f"{name}.{life}",
        "ready": True,
        "leaving": False,
    }
    return digest.Beat(
        name=name, life=life, counter=counter, **(values | fields)
    )


def test_peers_keep_the_newest_beat():
    """Guards against a late datagram that revives a daemon's former life."""
    peers = digest.PeerTable("a")
    now = datetime.timedelta()
    assert peers.take(create_beat(life=2, counter=5), now)
    assert not peers.take(create_beat(life=2, counter=5), now)
    assert not peers.take(create_beat(life=1, counter=9), now)
    assert peers.take(create_beat(life=3, counter=1), now)


def test_peers_fall_silent():
    """Guards against callers sent to a daemon that died."""
    peers = digest.PeerTable("a")
    peers.take(create_beat(), datetime.timedelta())
    assert len(peers.list_live(digest.SILENCE)) == 1
    assert peers.list_live(digest.SILENCE + SECOND) == []
    assert len(peers.list_silent(digest.SILENCE + SECOND)) == 1


def test_peers_know_a_lost_holder():
    """Guards against a lease waited out though its holder is known dead."""
    peers = digest.PeerTable("a")
    now = datetime.timedelta()
    peers.take(create_beat(life=1), now)
    assert not peers.is_lost("b.1", now)
    assert not peers.is_lost("unknown.1", now)
    assert peers.is_lost("b.1", now + digest.SILENCE + SECOND)
    peers.take(create_beat(life=2, counter=0), now)
    assert peers.is_lost("b.1", now)


def test_recipients_are_bounded_in_a_large_fleet():
    """Guards against traffic that grows with the square of the fleet."""
    live = [create_beat(name=f"d{number}") for number in range(100)]
    chosen = digest.pick_recipients(live, ["x"], 8, random.Random(1))
    assert len(chosen) <= digest.FANOUT + 1


def test_beat_survives_its_encoding():
    """Guards against a field that is lost on the wire."""
    beat = create_beat(loads={"chat~5|5": 3}, stalled=(("chat~5", 5),))
    data = digest.ENCODER.encode(digest.Datagram(sender=beat))
    assert digest.DECODER.decode(data).sender == beat
    assert msgspec.structs.replace(beat, counter=2) != beat


def test_one_daemon_of_a_domain_reads_the_list():
    """Guards against a fleet in which each daemon reads, or none does."""
    beats = [
        create_beat(name=name, failure_domain=domain)
        for name, domain in (("a", "x"), ("b", "x"), ("c", "y"))
    ]
    readers = [
        own.name
        for own in beats
        if digest.is_reader(own, [beat for beat in beats if beat != own])
    ]
    assert readers == ["a", "c"]


def test_daemon_that_the_store_refuses_is_not_the_reader():
    """Guards against a domain whose only reader hears nothing."""
    refused = create_beat(name="a", failure_domain="x", store_ok=False)
    own = create_beat(name="b", failure_domain="x")
    assert digest.is_reader(own, [refused])
