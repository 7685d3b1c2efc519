"""Poll the platform's list of VMs."""

from dandelionpond.adapters.platform import PlatformClient
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.distribution import DistributionRunner
from dandelionpond.runtime.gossip import Gossip

# A platform reader notices a leaving upstream within about a second and gossip spreads
# this. The other nodes read the list only to repair what gossip missed.
READER_INTERVAL_S = 1.0
NON_READER_INTERVAL_S = 60.0


class VmListReader:
    """A reader of the platform's list of VMs.

    The list is read every second on platform readers and every minute on other nodes.
    With 16 readers and 3,500 other nodes this makes about 75 calls a second, of the
    2,000 that the platform allows.
    """

    def __init__(
        self,
        core: Core,
        platform: PlatformClient,
        gossip: Gossip,
        distribution: DistributionRunner,
    ) -> None:
        self._core = core
        self._platform = platform
        self._gossip = gossip
        self._distribution = distribution
        self._last_read_at = float("-inf")
        self.counters = {"read": 0, "failed": 0}

    def start(self) -> None:
        """Start the periodic task."""
        self._core.tasks.every(self._next_interval_s, self._read_if_due, "vm-list")

    def _next_interval_s(self) -> float:
        return READER_INTERVAL_S * (0.75 + self._core.random.random() / 2)

    async def _read_if_due(self) -> None:
        now = self._core.now()
        is_due = now - self._last_read_at >= NON_READER_INTERVAL_S
        if not (is_due or self._distribution.state_machine.is_reader):
            return
        result = await self._platform.list_vms()
        if result.is_error():
            self.counters["failed"] += 1
            return
        self.counters["read"] += 1
        self._last_read_at = now
        self._gossip.platform_list_received(result.ok.revision, result.ok.vms)
