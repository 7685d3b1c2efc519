"""Choose the rumors of one message."""

from random import Random

from dandelionpond.membership.messages import Exchange, PeerState, Rumor
from dandelionpond.membership.rumors import RumorQueue
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.table import EPOCH, PeerTable

# A sender in its first intervals gets a full reply, so that it learns of peers quickly
# while the platform is down.
_FIRST_INTERVALS = 5


def rumors_for(
    receiver: str,
    request: Exchange | None,
    table: PeerTable,
    queue: RumorQueue,
    settings: MembershipSettings,
    random: Random,
) -> list[Rumor]:
    """Return at most `max_rumors` rumors for a request or, if given, for its reply.

    Rumors without an origin are knowledge of the table, which is not relayed.
    """
    limit = settings.max_rumors
    rumors: list[Rumor] = []
    known = table.get(receiver)
    is_old = False
    if known is not None and request is not None:
        sender = request.sender
        is_old = known.incarnation != (sender.started_ms, sender.nonce)
    if known is not None and (is_old or known.state is not PeerState.LIVE):
        rumors.append(known.rumor(""))
    if request is not None:
        # The sender's knowledge that is behind this node's is corrected first.
        rumors += table.corrections(request.rumors)[: limit // 2]
    rumors += queue.take(limit - len(rumors))
    spare = int(not rumors)
    if request is not None:
        is_new = request.heartbeat % EPOCH <= _FIRST_INTERVALS
        spare = limit - len(rumors) if is_new else 0
    elif table.is_split:
        # A receiver on the other side of a healed partition corrects these.
        asked = min(limit // 4, limit - len(rumors))
        rumors += [peer.rumor("") for peer in table.sample_gone(asked, random)]
    elif spare and random.random() < 0.5:
        gone = table.sample_gone(1, random)
        rumors += [peer.rumor("") for peer in gone]
        spare -= len(gone)
    # Random knowledge repairs what the bounded relays missed.
    for _ in range(spare):
        peer = table.pick_any(random)
        if peer is not None and peer.incarnation and peer.name != receiver:
            rumors.append(peer.rumor(""))
    return rumors
