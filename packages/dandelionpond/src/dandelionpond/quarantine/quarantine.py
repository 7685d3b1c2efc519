"""Refuse prompts with parts that crash engines, as agreed with the other nodes."""

from collections import deque
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from dandelionpond.quarantine.evidence import CONFIRM_S, CrashEvidence, Suspect
from dandelionpond.quarantine.messages import (
    MS_PER_S,
    CrashReport,
    PromptKey,
    QuarantineNews,
    WorkingPart,
)
from dandelionpond.quarantine.table import MAX_TRIAL_S, Quarantine, QuarantineTable

# Time in seconds for which a node repeats its reports, because datagrams may be lost.
REPORT_S = 10.0
MAX_REPORTS = 8
# Time in seconds after a new report for which the evidence is evaluated.
EVALUATION_S = CONFIRM_S + 2.0
MAX_WORKING_IN_NEWS = 16
# Time in seconds for which one node may try a part before another one may.
TRIAL_TURN_S = 5.0


class Refused(msgspec.Struct, frozen=True):
    """A prompt contains a part in quarantine; a trial is due in `retry_after_s`."""

    retry_after_s: float


class _SentReport(msgspec.Struct, frozen=True):
    """A report that is sent to peers."""

    instance: str
    at: float
    suspect: Suspect


class PromptQuarantine:
    """One node's knowledge of parts of prompts that crash engines.

    Times are monotonic seconds. `on_news` is called when peers should be told at once,
    and `on_change` when a part enters or leaves the quarantine or is tried. A node that
    does not send to all of its peers `relays_news`: it repeats the reports of others.
    For `are_prefixes`, see `CrashEvidence`.
    """

    __slots__ = (
        "_evidence",
        "_node",
        "_relays_news",
        "_reports",
        "_table",
        "counters",
        "on_change",
        "on_news",
    )

    def __init__(
        self, node: str, relays_news: bool = False, are_prefixes: bool = False
    ) -> None:
        self._node = node
        self._relays_news = relays_news
        self._evidence = CrashEvidence(are_prefixes)
        self._table = QuarantineTable()
        self._reports: deque[_SentReport] = deque(maxlen=MAX_REPORTS)
        self.counters = {"refused": 0, "trials": 0, "failed_trials": 0}
        self.on_news: Callable[[], None] | None = None
        self.on_change: Callable[[str, Quarantine], None] | None = None

    @property
    def size(self) -> int:
        """Return the number of parts in quarantine."""
        return len(self._table)

    def read_counters(self) -> dict[str, int]:
        """Return the counts of events."""
        return {**self.counters, **self._evidence.counters, **self._table.counters}

    def check(
        self,
        key: PromptKey,
        request_id: str,
        now: float,
        live_nodes: Callable[[], Iterable[str]],
    ) -> Refused | None:
        """Return None if a prompt may be sent.

        At the end of a quarantine one node at a time sends one prompt as a trial.
        """
        entry = self._table.find(key)
        if entry is None:
            return None
        if entry.trial_request == request_id:
            return None
        refused = self._check_trial(entry, now, live_nodes)
        if refused is not None:
            self.counters["refused"] += 1
            return refused
        entry.trial_request = request_id
        entry.trial_started_at = now
        self.counters["trials"] += 1
        self._report_change("quarantined part is tried", entry)
        return None

    def preview(
        self, key: PromptKey, now: float, live_nodes: Callable[[], Iterable[str]]
    ) -> Refused | None:
        """Return what `check` would for a new prompt, without beginning a trial."""
        entry = self._table.find(key)
        return None if entry is None else self._check_trial(entry, now, live_nodes)

    def record_crash(
        self,
        key: PromptKey,
        instance: str,
        suspect: Suspect,
        request_id: str,
        now: float,
    ) -> None:
        """Record that an engine crashed while it had a prompt of this node."""
        entry = self._table.find(key)
        if entry is not None and entry.trial_request == request_id:
            self._table.fail_trial(entry, now, now)
            self.counters["failed_trials"] += 1
            self._report_change("trial crashed an engine", entry)
        if key.parts:
            self._evidence.add_crash(instance, now, suspect)
            self._reports.append(_SentReport(instance, now, suspect))
        self._notify()

    def record_answer(self, key: PromptKey, sent_at: float, now: float) -> None:
        """Record that a prompt sent at a time was answered without a crash."""
        self._evidence.add_working(key.parts, sent_at)
        if self._release_working(((part, sent_at) for part in key.parts), now):
            self._notify()

    def end_trial(self, request_id: str) -> None:
        """End a trial that neither crashed an engine nor was answered."""
        for entry in self._table.entries:
            if entry.trial_request == request_id:
                entry.trial_request = ""
                entry.trial_started_at = float("-inf")

    def receive(self, news: QuarantineNews, now: float) -> None:
        """Apply the news of a peer."""
        has_news = False
        for report in news.reports:
            suspect = Suspect(
                report.account,
                report.parts,
                now - report.sent_age_ms / MS_PER_S,
                report.had_begun,
            )
            at = now - report.age_ms / MS_PER_S
            is_new = self._evidence.add_crash(report.instance, at, suspect)
            if self._relays_news and is_new and now - at <= REPORT_S:
                self._reports.append(_SentReport(report.instance, at, suspect))
                has_news = True
        worked = [(item.part, now - item.age_ms / MS_PER_S) for item in news.working]
        for part, sent_at in worked:
            self._evidence.add_working((part,), sent_at, is_own=False)
        for received in news.entries:
            if not self._table.merge(received, now):
                continue
            has_news = True
            entry = self._table.get(received.part)
            if entry is not None:
                self._report_change("part put in quarantine", entry)
            elif received.is_released:
                # The crashes before the release must not count again.
                self._evidence.add_working((received.part,), now, is_own=False)
        has_news |= self._release_working(worked, now)
        if self._relays_news and has_news:
            self._notify()

    def news(self, now: float) -> QuarantineNews | None:
        """Return the news for peers, or None if there are none."""
        while self._reports and now - self._reports[0].at > REPORT_S:
            self._reports.popleft()
        entries = self._table.pack(now)
        working = self._evidence.working_since(now - REPORT_S)
        if not (self._reports or entries or working):
            return None
        newest = sorted(working.items(), key=lambda item: -item[1])
        return QuarantineNews(
            tuple(_pack_report(report, now) for report in self._reports),
            tuple(
                WorkingPart(part, round((now - sent_at) * MS_PER_S))
                for part, sent_at in newest[:MAX_WORKING_IN_NEWS]
            ),
            entries,
        )

    def tick(self, now: float) -> None:
        """Put parts in quarantine that the evidence has shown to be harmful."""
        self._evidence.forget(now)
        self._table.forget(now)
        if now - self._evidence.changed_at > EVALUATION_S:
            return
        harmful_parts = self._evidence.find_harmful(
            now, self._is_covered, lambda part: self._table.get(part) is not None
        )
        for harmful in harmful_parts:
            entry = self._table.quarantine(
                harmful.part, harmful.account, harmful.crashed_at, now
            )
            self._report_change("part put in quarantine", entry)

    def _is_covered(self, suspect: Suspect) -> bool:
        """Return whether the prompts of a suspect's kind are refused by now."""
        return self._table.find(PromptKey(suspect.account, suspect.parts)) is not None

    def _check_trial(
        self, entry: Quarantine, now: float, live_nodes: Callable[[], Iterable[str]]
    ) -> Refused | None:
        if now < entry.trial_due_at:
            return Refused(entry.trial_due_at - now)
        if now - entry.trial_started_at < MAX_TRIAL_S:
            return Refused(TRIAL_TURN_S)
        turn = int((now - entry.trial_due_at) / TRIAL_TURN_S)
        nodes = {self._node, *live_nodes()}
        chosen = max(nodes, key=lambda node: _turn_order(entry.part, turn, node))
        return None if chosen == self._node else Refused(TRIAL_TURN_S)

    def _release_working(self, worked: Iterable[tuple[int, float]], now: float) -> bool:
        """Release parts with an answer later than their last crash."""
        is_changed = False
        for part, sent_at in worked:
            entry = self._table.get(part)
            if entry is not None and sent_at > entry.crashed_at:
                self._table.release(entry, now)
                self._report_change("part released", entry)
                is_changed = True
        return is_changed

    def _report_change(self, change: str, entry: Quarantine) -> None:
        if self.on_change is not None:
            self.on_change(change, entry)

    def _notify(self) -> None:
        if self.on_news is not None:
            self.on_news()


def _pack_report(report: _SentReport, now: float) -> CrashReport:
    suspect = report.suspect
    return CrashReport(
        report.instance,
        round((now - report.at) * MS_PER_S),
        round((now - suspect.sent_at) * MS_PER_S),
        suspect.account,
        suspect.had_begun,
        suspect.parts,
    )


def _turn_order(part: int, turn: int, node: str) -> int:
    return xxhash.xxh64_intdigest(f"{part}/{turn}/{node}".encode())
