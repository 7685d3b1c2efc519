"""Select the rumors that one gossip message carries."""

from random import Random

from dandelionpond.membership.messages import Exchange, PeerState, Rumor
from dandelionpond.membership.rumors import RumorQueue
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.table import EPOCH_SIZE, PeerTable

# Replies to a sender in its first heartbeats are filled up to `max_rumors`, so that it
# learns of peers quickly even while the platform is down.
_STARTUP_HEARTBEATS = 5


def select_rumors(
    receiver: str,
    request: Exchange | None,
    table: PeerTable,
    queue: RumorQueue,
    settings: MembershipSettings,
    random: Random,
) -> list[Rumor]:
    """Return at most `max_rumors` rumors for a request, or for the reply to `request`.

    Rumors without an origin repeat an entry of the table; receivers do not relay them.
    """
    limit = settings.max_rumors
    rumors: list[Rumor] = []
    receiver_entry = table.get(receiver)
    is_other_incarnation = False
    if receiver_entry is not None and request is not None:
        sender = request.sender
        is_other_incarnation = receiver_entry.incarnation != (
            sender.started_ms,
            sender.nonce,
        )
    if receiver_entry is not None and (
        is_other_incarnation or receiver_entry.state is not PeerState.LIVE
    ):
        rumors.append(receiver_entry.to_rumor(""))
    if request is not None:
        # Corrections of the sender's outdated entries take precedence.
        rumors += table.corrections(request.rumors)[: limit // 2]
    rumors += queue.take(limit - len(rumors))
    extra = int(not rumors)
    if request is not None:
        is_starting = request.heartbeat % EPOCH_SIZE <= _STARTUP_HEARTBEATS
        extra = limit - len(rumors) if is_starting else 0
    elif table.is_probably_partitioned:
        # After a partition has healed, receivers from the other side correct these.
        gone_count = min(limit // 4, limit - len(rumors))
        rumors += [
            peer.to_rumor("") for peer in table.sample_gone_peers(gone_count, random)
        ]
    elif extra and random.random() < 0.5:
        gone = table.sample_gone_peers(1, random)
        rumors += [peer.to_rumor("") for peer in gone]
        extra -= len(gone)
    # Random table entries reach the nodes that the bounded relays missed.
    for _ in range(extra):
        peer = table.random_peer_of_any_domain(random)
        if peer is not None and peer.incarnation and peer.name != receiver:
            rumors.append(peer.to_rumor(""))
    return rumors
