"""Read the platform's list of VMs."""

from dandelionpond.adapters.platform import PlatformClient
from dandelionpond.runtime.core import Core
from dandelionpond.runtime.distribution import DistributionRunner
from dandelionpond.runtime.gossip import Gossip

# A reader learns of a leaving upstream within a second and peers spread the news; the
# other nodes read only to repair what gossip missed.
READER_INTERVAL_S = 1.0
OTHER_INTERVAL_S = 60.0


class VmListReader:
    """Read the list often on readers of the platform and seldom on other nodes.

    16 readers a second and 3,500 other nodes a minute make about 75 of the 2,000 calls
    a second that the platform allows.
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
        self._read_at = float("-inf")
        self.counters = {"read": 0, "failed": 0}

    def start(self) -> None:
        """Start the timer."""
        self._core.tasks.every(self._interval, self._read, "vm-list")

    def _interval(self) -> float:
        return READER_INTERVAL_S * (0.75 + self._core.random.random() / 2)

    async def _read(self) -> None:
        now = self._core.now()
        due = now - self._read_at >= OTHER_INTERVAL_S
        if not (due or self._distribution.distribution.is_reader):
            return
        result = await self._platform.vms()
        if result.is_error():
            self.counters["failed"] += 1
            return
        self.counters["read"] += 1
        self._read_at = now
        self._gossip.platform_list_received(result.ok.revision, result.ok.vms)
