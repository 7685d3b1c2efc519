"""Give refused prompts an order of return and recognize those that come early."""

import copy
import heapq
from collections.abc import Iterable

from dandelionpond.admission.messages import (
    MS_PER_S,
    PromptClass,
    ReturnTime,
    WaitingPrompt,
)
from dandelionpond.hashing import score

MAX_RETURNS = 512
# Size at which the heap of turns is built again without the entries of the past.
MAX_HEAP = 4 * MAX_RETURNS
# Limit on the refused prompts in a heartbeat; each takes about 50 bytes.
MAX_TOLD_RETURNS = 12
# Time in seconds for which a refused prompt keeps its first arrival after its turn.
# With 10 s, entries of the past pushed others out at `MAX_RETURNS`.
KEEP_S = 2.0
# Interval in seconds of the checks for expired entries.
EXPIRY_INTERVAL_S = 0.25
# A prompt may come this many seconds before its turn: clocks of clients and the
# rounding of Retry-After differ.
EARLY_TOLERANCE_S = 0.01


class Return:
    """A refused prompt whose turn comes at `due_at`, in monotonic seconds."""

    __slots__ = ("account", "arrived_at", "due_at", "is_own", "key", "prompt_class")

    def __init__(
        self,
        key: int,
        account: str,
        prompt_class: PromptClass,
        due_at: float,
        arrived_at: float,
        is_own: bool,
    ) -> None:
        self.key = key
        self.account = account
        self.prompt_class = prompt_class
        self.due_at = due_at
        self.arrived_at = arrived_at
        self.is_own = is_own

    def is_early(self, now: float) -> bool:
        """Return whether the turn of the prompt has not come yet."""
        return now < self.due_at - EARLY_TOLERANCE_S


class ReturnTable:
    """The refused prompts of the fleet by their key, and the turns given out here.

    Turns of one account follow each other at the distance that the caller of `refuse`
    states. At `MAX_RETURNS` the entry with the earliest turn is dropped.
    """

    __slots__ = (
        "_by_turn",
        "_expired_at",
        "_last_turn_at",
        "_next_turns",
        "_node",
        "_returns",
        "at_bound",
    )

    def __init__(self, node: str) -> None:
        self._node = node
        self._returns: dict[int, Return] = {}
        # Heap of turns and keys, also of entries that were replaced or dropped.
        self._by_turn: list[tuple[float, int]] = []
        # The next turn by service and account.
        self._next_turns: dict[tuple[str, str], float] = {}
        # The last turn given out here, and when entries were last checked for expiry.
        self._last_turn_at = 0.0
        self._expired_at = 0.0
        self.at_bound = 0

    def __len__(self) -> int:
        """Return the number of remembered prompts."""
        return len(self._returns)

    def copy(self) -> "ReturnTable":
        """Return a table with the same entries, which are never changed themselves."""
        table = copy.copy(self)
        table._returns = dict(self._returns)
        table._by_turn = list(self._by_turn)
        table._next_turns = dict(self._next_turns)
        return table

    def find(self, key: int) -> Return | None:
        """Return the earlier refusal of a prompt."""
        return self._returns.get(key)

    def forget(self, key: int) -> None:
        """Forget a prompt that was admitted."""
        self._returns.pop(key, None)

    def refuse(
        self,
        prompt: WaitingPrompt,
        earliest_at: float,
        offset_s: float,
        spacing_s: float,
        latest_at: float,
    ) -> float:
        """Return the turn of a refused prompt and remember the prompt.

        `spacing_s` is the time between two turns of an account at this node. Nodes
        begin at different parts of `offset_s`. Turns after the prompt's deadline are
        not used, so they move no later ones. No turn is after `latest_at`: otherwise
        a slow service would give turns of hours, which keep their places in the table
        and hold for later requests with the same prompt.
        """
        account = (prompt.prompt_class.service, prompt.account)
        part = score(prompt.account, self._node) % 1_024 / 1_024
        due_at = max(earliest_at + offset_s * part, self._next_turns.get(account, 0.0))
        if due_at <= prompt.deadline_at:
            self._next_turns[account] = due_at + spacing_s
            self._last_turn_at = max(self._last_turn_at, due_at)
        due_at = min(due_at, latest_at)
        self._add(
            Return(
                prompt.key,
                prompt.account,
                prompt.prompt_class,
                due_at,
                prompt.arrived_at,
                True,
            )
        )
        return due_at

    def receive(self, told: Iterable[ReturnTime], now: float) -> None:
        """Remember the prompts that a peer has refused.

        The latest turn holds, so that a caller who is refused by several nodes at once
        gains nothing. The first arrival is kept.
        """
        for entry in told:
            due_at = now + entry.due_ms / MS_PER_S
            arrived_at = now - entry.age_ms / MS_PER_S
            known = self._returns.get(entry.key)
            if known is not None:
                arrived_at = min(arrived_at, known.arrived_at)
                # Ages differ by the delay of the message.
                if due_at <= known.due_at + EARLY_TOLERANCE_S:
                    continue
            self._add(
                Return(
                    entry.key,
                    entry.account,
                    entry.prompt_class,
                    due_at,
                    arrived_at,
                    False,
                )
            )

    def told(self, now: float) -> tuple[ReturnTime, ...]:
        """Return the last prompts refused here whose turn has not come."""
        own = [entry for entry in self._returns.values() if entry.is_own]
        return tuple(
            ReturnTime(
                entry.key,
                entry.account,
                entry.prompt_class,
                round((entry.due_at - now) * MS_PER_S),
                round((now - entry.arrived_at) * MS_PER_S),
            )
            for entry in own[-MAX_TOLD_RETURNS:]
            if entry.is_early(now)
        )

    def expected(self, service: str, now: float, until: float) -> list[Return]:
        """Return the prompts of a service whose turn comes from now to a time.

        Of those whose turn has passed, this node does not know which ones came to
        another node.
        """
        return [
            entry
            for entry in self._returns.values()
            if entry.prompt_class.service == service and now < entry.due_at <= until
        ]

    def accounts(self, service: str, now: float) -> set[str]:
        """Return the accounts whose prompts wait for their turn."""
        return {
            entry.account
            for entry in self._returns.values()
            if entry.prompt_class.service == service and entry.is_early(now)
        }

    def has_early(self, now: float) -> bool:
        """Return whether a prompt refused here still waits for its turn."""
        return bool(self._returns) and now < self._last_turn_at

    def expire(self, now: float) -> None:
        """Forget prompts whose turn has passed long ago, and turns of the past."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for key in [
            key for key, entry in self._returns.items() if entry.due_at + KEEP_S < now
        ]:
            del self._returns[key]
        for account in [
            account for account, turn in self._next_turns.items() if turn < now
        ]:
            del self._next_turns[account]

    def _add(self, entry: Return) -> None:
        self._returns.pop(entry.key, None)
        if len(self._returns) >= MAX_RETURNS:
            self.at_bound += 1
            earliest = self._earliest()
            # Peers tell their turns again with each heartbeat, also those that were
            # dropped here.
            if not entry.is_own and entry.due_at <= earliest.due_at:
                return
            del self._returns[earliest.key]
        self._returns[entry.key] = entry
        if len(self._by_turn) >= MAX_HEAP:
            self._by_turn = [
                (other.due_at, other.key) for other in self._returns.values()
            ]
            heapq.heapify(self._by_turn)
        else:
            heapq.heappush(self._by_turn, (entry.due_at, entry.key))

    def _earliest(self) -> Return:
        """Return the entry with the earliest turn."""
        while True:
            due_at, key = self._by_turn[0]
            entry = self._returns.get(key)
            if entry is not None and entry.due_at == due_at:
                return entry
            heapq.heappop(self._by_turn)
