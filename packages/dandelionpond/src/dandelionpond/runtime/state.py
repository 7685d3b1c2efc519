"""Build the state shown to operators, which contains no keys and no prompt text."""

import asyncio
import resource
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import msgspec

from dandelionpond import __version__
from dandelionpond.runtime.core import Core

if TYPE_CHECKING:
    from dandelionpond.node import Node

# The status is a summary; the dump contains all errors of a refused revision.
MAX_STATUS_ERRORS = 10
FOLLOW_INTERVAL_S = 0.2


class StateView:
    """A builder of a node's status, dump and usage that also registers its metrics."""

    def __init__(self, core: Core, node: "Node") -> None:
        self._core = core
        self._node = node
        self._register_metrics()

    def status(self) -> dict[str, object]:
        """Return a summary of the node for one line of a table."""
        core, node = self._core, self._node
        membership = node.gossip.membership
        peer_counts: dict[str, int] = {}
        for peer in membership.peers:
            peer_counts[peer.state] = peer_counts.get(peer.state, 0) + 1
        refusal = core.settings_state.last_refusal
        if refusal is not None and refusal.revision <= core.settings_state.revision:
            # A later revision was accepted since; the dump still shows the refusal.
            refusal = None
        return {
            "node": core.local.name,
            "incarnation": core.identity.incarnation,
            "version": __version__,
            "failure_domain": core.local.failure_domain,
            "phase": node.shutdown.drain.phase,
            "ready": node.is_ready,
            "settings_revision": core.settings_state.revision,
            "settings_digest": core.settings_digest,
            "settings_refused": refusal.revision if refusal else None,
            "settings_errors": [
                msgspec.to_builtins(error)
                for error in (refusal.errors if refusal else ())[:MAX_STATUS_ERRORS]
            ],
            "reader": node.distribution.state_machine.is_reader,
            "peers": peer_counts,
            "prompts_in_flight": node.prompts.in_flight,
            "calls_in_flight": node.calls.in_flight,
            "queued": len(node.engines.dispatcher.queue),
        }

    def dump(self) -> dict[str, object]:
        """Return the state of every part of the node."""
        core, node = self._core, self._node
        now = core.now()
        refusal = core.settings_state.last_refusal
        return {
            "status": self.status(),
            "config": {
                "revision": core.settings_state.revision,
                "digest": core.settings_digest,
                "files": [entry.name for entry in core.settings_state.manifest()],
                "refusal": None
                if refusal is None
                else {
                    "revision": refusal.revision,
                    "errors": [msgspec.to_builtins(e) for e in refusal.errors],
                },
                "readers": node.distribution.state_machine.readers,
            },
            "membership": {
                "is_fresh": node.gossip.membership.is_fresh(now),
                "peers": [
                    {
                        "name": peer.name,
                        "state": peer.state,
                        "failure_domain": peer.domain,
                        "address": peer.address,
                    }
                    for peer in node.gossip.membership.peers
                ],
                "upstreams": {
                    name: node.gossip.upstreams.state_of(name)
                    for name in core.settings.upstreams
                },
            },
            "routing": {
                "engines": self._engine_states(now),
                "queued": len(node.engines.dispatcher.queue),
                "queued_tokens": node.engines.dispatcher.queue.tokens,
                "in_flight": node.engines.dispatcher.in_flight,
                "groups": node.engines.dispatcher.group_count,
            },
            "limits": {
                account: {
                    "in_flight": node.accounts.limiter.in_flight(account),
                    "share": msgspec.to_builtins(
                        node.accounts.shares.share(account, now)
                    ),
                    "aggregator": node.accounts.shares.aggregator(account),
                }
                for account in node.accounts.usage
            },
            "requests": {
                "tickets": node.calls.tickets.size,
                "outcome_bytes": node.calls.tickets.outcome_bytes,
            },
            "memory": {
                "leases": len(node.engines.leases.table),
                "pending_releases": node.engines.leases.table.pending_releases,
                "groups": len(node.engines.leases.groups),
            },
            "orders": {"engines": node.orders.planner.assigned_engines},
            "record": {"records": len(core.recorder), "dropped": core.recorder.dropped},
            "process": self._process(),
            "counters": self._counters(),
        }

    def usage(self) -> dict[str, object]:
        """Return the usage and refusals of each client account on this node."""
        accounts = {
            name: msgspec.to_builtins(usage)
            for name, usage in self._node.accounts.usage.items()
        }
        return {"node": self._core.local.name, "accounts": accounts}

    def explain(self, request_id: str) -> list[bytes]:
        """Return the decision records that contain a request's identifier."""
        encoded_id = request_id.encode()
        return [line for line in self._core.recorder.lines() if encoded_id in line]

    async def decisions(self, follow: bool) -> AsyncIterator[bytes]:
        """Yield recorded decisions as JSON lines, then new ones if `follow` is set."""
        subscription = self._core.recorder.subscribe() if follow else None
        try:
            for line in self._core.recorder.lines():
                yield line + b"\n"
            while subscription is not None:
                for line in subscription.take():
                    yield line + b"\n"
                await asyncio.sleep(FOLLOW_INTERVAL_S)
        finally:
            if subscription is not None:
                self._core.recorder.unsubscribe(subscription)

    def _engine_states(self, now: float) -> dict[str, object]:
        dispatcher = self._node.engines.dispatcher
        return {
            name: {
                "report_age_s": min(
                    1e9, dispatcher.router.loads.report_age_s(name, now)
                ),
                "free_tokens": dispatcher.router.loads.free_tokens(name, now),
                "outstanding_tokens": dispatcher.router.loads.outstanding_tokens(name),
                "correction": dispatcher.router.loads.correction(name),
                "ejected": name in dispatcher.router.outliers.ejected,
            }
            for name in dispatcher.engines
        }

    def _count_prefixes(self) -> dict[str, int]:
        router = self._node.engines.dispatcher.router
        counts: dict[str, int] = msgspec.to_builtins(router.prefix_counters)
        return counts | router.prefixes.read_counters()

    def _process(self) -> dict[str, object]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "max_rss_kb": usage.ru_maxrss,
            "tasks": len(self._core.tasks),
        }

    def _counters(self) -> dict[str, dict[str, int]]:
        by_slice: dict[str, dict[str, int]] = {}
        for name, event, count in self._core.metrics.slices.counters():
            by_slice.setdefault(name, {})[event] = count
        return by_slice

    def _register_metrics(self) -> None:
        node, core, slices = self._node, self._core, self._core.metrics.slices
        dispatcher = node.engines.dispatcher

        def to_counts(value: object) -> dict[str, int]:
            counts: dict[str, int] = msgspec.to_builtins(value)
            return counts

        slices.add_counters("config", lambda: to_counts(core.settings_state.counters))
        slices.add_counters(
            "distribution", lambda: to_counts(node.distribution.state_machine.counters)
        )
        slices.add_counters("membership", lambda: node.gossip.membership.counts)
        slices.add_counters("upstreams", lambda: node.gossip.upstreams.counts)
        slices.add_counters(
            "marks",
            lambda: (
                to_counts(core.marks.counters)
                | {"invalid_times": core.marks.invalid_times}
            ),
        )
        slices.add_counters("transfer", lambda: node.distribution.counters)
        slices.add_counters("vm_list", lambda: node.vm_list_reader.counters)
        slices.add_counters("dispatch", lambda: dispatcher.counters)
        slices.add_counters("prefixes", self._count_prefixes)
        slices.add_size("prefix_blocks", lambda: len(dispatcher.router.prefixes))
        slices.add_counters("tickets", lambda: to_counts(node.calls.tickets.counters))

        def retries() -> dict[str, int]:
            kinds = {"prompt": node.prompts.budgets, "call": node.calls.budgets}
            return {
                f"{kind}_{event}": getattr(budgets, event)
                for kind, budgets in kinds.items()
                for event in ("taken", "refused", "at_bound")
            }

        slices.add_counters("retries", retries)
        slices.add_counters("prompts", lambda: to_counts(node.prompts.counters))
        slices.add_counters("pieces", lambda: to_counts(node.prompts.piece_counters))
        slices.add_counters("calls", lambda: to_counts(node.calls.counters))
        slices.add_counters("pauses", lambda: to_counts(core.pause_detector.counters))
        slices.add_counters(
            "leases", lambda: to_counts(node.engines.leases.table.counters)
        )
        slices.add_counters(
            "groups", lambda: to_counts(node.engines.leases.groups.counters)
        )
        slices.add_counters(
            "adoption", lambda: to_counts(node.engines.leases.adoption.counters)
        )
        slices.add_counters("orders", lambda: to_counts(node.orders.planner.counters))
        slices.add_counters(
            "fencing", lambda: to_counts(node.orders.planner.fencing.counters)
        )
        slices.add_counters("order_outcomes", lambda: to_counts(node.orders.outcomes))
        slices.add_counters(
            "prompt_memory", lambda: to_counts(node.prompts.lost_memory.counters)
        )
        slices.add_counters("tasks", lambda: core.tasks.counters)
        slices.add_counters(
            "record",
            lambda: {
                "dropped": core.recorder.dropped,
                "skipped": core.recorder.skipped,
            },
        )
        queue, router, shares = (
            dispatcher.queue,
            dispatcher.router,
            node.accounts.shares,
        )
        slices.add_counters(
            "queue", lambda: {"refused": queue.refused, "expired": queue.expired}
        )
        slices.add_counters(
            "loads",
            lambda: {
                "ignored_reports": router.loads.ignored_reports,
                "ignored_sends": router.loads.ignored_sends,
            },
        )
        slices.add_counters(
            "outliers",
            lambda: {"refused_ejections": router.outliers.refused_ejections},
        )
        slices.add_counters(
            "shares",
            lambda: {
                "deferred_reports": shares.deferred_reports,
                "refused_demands": shares.refused_demands,
            },
        )
        slices.add_counters(
            "shutdown",
            lambda: {"repeated_signals": node.shutdown.drain.repeated_signals},
        )
        slices.add_counters("quarantine", node.crashing_prompts.read_counters)
        slices.add_size("quarantine", lambda: node.crashing_prompts.quarantine.size)
        slices.add_size("peers", lambda: sum(1 for _ in node.gossip.membership.peers))
        slices.add_size("queue", lambda: len(dispatcher.queue))
        slices.add_size("tickets", lambda: node.calls.tickets.size)
        slices.add_size(
            "pending_releases", lambda: node.engines.leases.table.pending_releases
        )
        slices.add_size("groups", lambda: len(node.engines.leases.groups))
        slices.add_size("leases", lambda: len(node.engines.leases.table))
        slices.add_size("records", lambda: len(core.recorder))
        slices.add_size("settings_bytes", lambda: core.settings_state.total_bytes)
