"""Test tickets on one node and, as a state machine, over several nodes."""

from random import Random

import pytest
from hypothesis import settings as profile, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from dandelionpond.config.schema import Service
from dandelionpond.errors import ErrorKind, Execution, Failure
from dandelionpond.identity import Identity
from dandelionpond.requests import messages as msg
from dandelionpond.requests.settings import RequestsSettings
from dandelionpond.requests.ticket_table import TicketTable, failure_for_unresolved_key

PAY = Service()
STOCK = Service(idempotent=True)
ORDERS = Service(deduplicates=True)
RULES = [PAY, STOCK, ORDERS]
SETTINGS = RequestsSettings(
    ticket_ttl_s=10.0, max_tickets=3, max_outcome_bytes=8, max_outcomes_total_bytes=12
)
NOT_RUN = Failure(ErrorKind.UPSTREAM_UNREACHABLE, "refused")
IN_DOUBT = Failure(ErrorKind.UPSTREAM_FAILED, "reset")


def book(name="n1", start=1):
    identity = Identity(name, start, start)
    return TicketTable(
        identity, f"{name}:1", f"{name}{start}".encode(), SETTINGS, Random(start)
    )


def begin(owner, key, now=0.0, body=b"h"):
    found = owner.classify(key, "acme", "pay", PAY, body, now)
    assert isinstance(found, msg.RunWithTicket)
    return found.ticket, owner.begin(found.ticket, body, now).ok


def kind(owner, key, account="acme", service="pay", rule=PAY, body=b"h", now=0.0):
    found = owner.classify(key, account, service, rule, body, now)
    assert isinstance(found, msg.Refuse), found
    return found.failure.kind


class TestClassify:
    def test_keys_by_rule(self):
        """Guard against a plain key that runs a non-idempotent service."""
        owner = book()
        assert kind(owner, None) is ErrorKind.TICKET_REQUIRED
        assert kind(owner, None, rule=ORDERS) is ErrorKind.TICKET_REQUIRED
        assert kind(owner, "k") is ErrorKind.KEY_NOT_TICKET
        call = ("acme", "pay")
        for key in (None, "k"):
            assert owner.classify(key, *call, STOCK, b"h", 0.0) == msg.RunWithoutTicket(
                None
            )
        assert owner.classify("k", *call, ORDERS, b"h", 0.0) == msg.RunWithoutTicket(
            "k"
        )

    @pytest.mark.parametrize("rule", RULES)
    def test_ticket_binds_under_every_rule(self, rule):
        """Guard against a ticket that stops binding when the rule changes."""
        owner = book()
        key = owner.issue("acme", "pay", 0.0)
        found = owner.classify(key, "acme", "pay", rule, b"h", 0.0)
        assert isinstance(found, msg.RunWithTicket)
        assert found.pass_key == (key if rule.deduplicates else None)
        begin(owner, key)
        assert kind(owner, key, rule=rule) is ErrorKind.CALL_IN_PROGRESS
        for forged in (key[:-6], key[:-6] + "AAAAAA", "dpt1.x"):
            assert kind(owner, forged, rule=rule) is ErrorKind.KEY_NOT_TICKET

    def test_issuer(self):
        """Guard against a run on a node that has no memory of the ticket."""
        key = book().issue("acme", "pay", 0.0)
        found = book("n2").classify(key, "acme", "pay", PAY, b"h", 0.0)
        assert found == msg.ForwardToIssuer(
            "n1", Identity("n1", 1, 1).incarnation, "n1:1"
        )
        assert kind(book("n1", 2), key) is ErrorKind.ISSUER_UNREACHABLE
        assert kind(book("n2"), key, account="x") is ErrorKind.TICKET_MISMATCH

    def test_binding_and_expiry(self):
        """Guard against a ticket used for another call or after its expiry."""
        owner = book()
        key = owner.issue("acme", "pay", 0.0)
        assert kind(owner, key, account="x") is ErrorKind.TICKET_MISMATCH
        assert kind(owner, key, service="x") is ErrorKind.TICKET_MISMATCH
        assert kind(owner, key, now=10.0) is ErrorKind.TICKET_EXPIRED
        begin(owner, key)
        assert kind(owner, key, body=b"other") is ErrorKind.TICKET_MISMATCH


class TestTicketBook:
    def test_outcome_is_repeated(self):
        """Guard against a retry that does not get the first answer."""
        owner = book()
        key = owner.issue("acme", "pay", 0.0)
        ticket, run = begin(owner, key)
        assert owner.finish(ticket, run, msg.Outcome(200, b"paid"), 1.0)
        found = owner.classify(key, "acme", "pay", PAY, b"h", 2.0)
        assert found == msg.RepeatOutcome(msg.Outcome(200, b"paid"))
        assert owner.begin(ticket, b"h", 2.0).error == found

    def test_not_run_may_run_again_and_late_end_is_ignored(self):
        """Guard against an end of the first run that is taken for the second's."""
        owner = book()
        key = owner.issue("acme", "pay", 0.0)
        ticket, first = begin(owner, key)
        owner.finish(ticket, first, NOT_RUN, 1.0)
        _, second = begin(owner, key, 2.0)
        assert not owner.finish(ticket, first, NOT_RUN, 3.0)
        assert kind(owner, key, now=3.0) is ErrorKind.CALL_IN_PROGRESS
        owner.finish(ticket, second, IN_DOUBT, 4.0)
        assert kind(owner, key, now=5.0) is ErrorKind.UPSTREAM_FAILED

    def test_large_outcomes_ran(self):
        """Guard against outcomes that fill the memory of the node."""
        owner = book()
        keys = [owner.issue("acme", "pay", 0.0) for _ in range(3)]
        for key, body in zip(keys, (b"123456789", b"12345678", b"12345"), strict=True):
            ticket, run = begin(owner, key)
            owner.finish(ticket, run, msg.Outcome(200, body), 1.0)
        assert kind(owner, keys[0]) is ErrorKind.ANSWER_TOO_LARGE
        assert kind(owner, keys[2]) is ErrorKind.ANSWER_TOO_LARGE
        assert owner.outcome_bytes == 8 and owner.counters.outcomes_too_large == 2
        assert owner.expire(10.0) == 3 and owner.outcome_bytes == 0

    def test_full_book_refuses_first_uses_only(self):
        """Guard against an eviction that forgets a ticket before its expiry."""
        owner = book()
        keys = [owner.issue("acme", "pay", 0.0) for _ in range(4)]
        for key in keys[:3]:
            begin(owner, key)
        found = owner.classify(keys[3], "acme", "pay", PAY, b"h", 0.0)
        refusal = owner.begin(found.ticket, b"h", 0.0).error
        assert refusal.failure.kind is ErrorKind.OVERLOADED
        assert kind(owner, keys[0]) is ErrorKind.CALL_IN_PROGRESS

    def test_running_call_outlives_its_ticket(self):
        """Guard against a running call whose entry was removed."""
        owner = book()
        ticket, run = begin(owner, owner.issue("acme", "pay", 0.0))
        assert owner.expire(11.0) == 0 and owner.size == 1
        assert (
            owner.finish(ticket, run, msg.Outcome(200, b"x"), 12.0) and owner.size == 0
        )

    def test_pause_between_classify_and_begin(self):
        """Guard against a run after a pause that outlived the ticket."""
        owner = book()
        key = owner.issue("acme", "pay", 0.0)
        found = owner.classify(key, "acme", "pay", PAY, b"h", 9.0)
        refusal = owner.begin(found.ticket, b"h", 10.0).error
        assert refusal.failure.kind is ErrorKind.TICKET_EXPIRED

    def test_closed_book_begins_nothing_and_keeps_outcomes(self):
        """Guard against `not_run` for a ticket that a stopping issuer still runs."""
        owner = book()
        used, unused = (owner.issue("acme", "pay", 0.0) for _ in range(2))
        ticket, run = begin(owner, used)
        never = owner.classify(unused, "acme", "pay", PAY, b"h", 0.0).ticket
        owner.close()
        assert kind(owner, used) is ErrorKind.CALL_IN_PROGRESS
        owner.finish(ticket, run, msg.Outcome(200, b"paid"), 1.0)
        found = owner.classify(used, "acme", "pay", PAY, b"h", 2.0)
        assert found == msg.RepeatOutcome(msg.Outcome(200, b"paid"))
        refused = owner.begin(never, b"h", 2.0).error.failure
        assert refused.kind is ErrorKind.DRAINING
        assert refused.execution is Execution.NOT_RUN

    def test_refusal_of_a_forwarder_stays_in_doubt(self):
        """Guard against `not_run` from a node that cannot look the ticket up."""
        draining = Failure(ErrorKind.DRAINING, "stopping")
        assert failure_for_unresolved_key(draining).execution is Execution.MAY_HAVE_RUN


class TicketWorld(RuleBasedStateMachine):
    """Send tickets through any of three nodes that die, pause and disagree."""

    tickets = Bundle("tickets")
    names = st.sampled_from(["n1", "n1", "n2", "n3"])
    bodies = st.sampled_from([b"a", b"a", b"a", b"b"])
    fates = st.sampled_from(["open", "answer", "lost", "not_run"])

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = 1
        self.books = {name: book(name) for name in ("n1", "n2", "n3")}
        self.rules = dict.fromkeys(self.books, PAY)
        # The node that no other node reaches.
        self.cut = None
        # Runs whose end can be reported once more, after a later run has begun.
        self.late = []
        self.runs = {}
        self.keys = []
        # [book, ticket, run, key, executed, body] of calls whose end is still unknown.
        self.open = []
        # Classified calls of a paused node.
        self.waiting = []

    def answer(self, key, failure):
        if failure.execution is Execution.NOT_RUN:
            assert self.runs.get(key, 0) == 0, failure
            assert all(call[3] != key for call in self.open), failure

    @precondition(lambda self: len(self.keys) < 6)
    @rule(target=tickets, name=names)
    def issue(self, name):
        self.keys.append(self.books[name].issue("acme", "pay", self.now))
        return self.keys[-1]

    @rule(key=tickets, name=names, body=bodies, fate=fates, pause=st.integers(0, 3))
    def send(self, key, name, body, fate, pause):
        self.arrive(key, name, body, fate, pause == 0, forwarded=False)

    @rule(key=tickets, name=names, first=fates, second=fates)
    def send_twice(self, key, name, first, second):
        """Retry through another node, as a load balancer does."""
        for entry, fate in ((name, first), ("n3", second)):
            self.arrive(key, entry, b"a", fate, False, forwarded=False)

    @rule(key=tickets, name=names, end=st.integers(1, 40))
    def send_damaged(self, key, name, end):
        found = self.books[name].classify(
            key[:-end], "acme", "pay", self.rules[name], b"a", self.now
        )
        assert not isinstance(
            found, msg.RunWithoutTicket | msg.RunWithTicket | msg.RepeatOutcome
        )

    @rule(key=tickets, name=names)
    def send_as_other_account(self, key, name):
        found = self.books[name].classify(
            key, "other", "pay", self.rules[name], b"a", self.now
        )
        assert isinstance(found, msg.Refuse)
        self.answer(key, found.failure)

    def arrive(self, key, name, body, fate, pause, forwarded):
        owner = self.books[name]
        found = owner.classify(key, "acme", "pay", self.rules[name], body, self.now)
        match found:
            case msg.Refuse():
                self.answer(key, found.failure)
            case msg.RepeatOutcome():
                assert self.runs[key] == 1 and found.outcome.body == body
            case msg.ForwardToIssuer():
                assert not forwarded
                if self.cut in (name, found.issuer):
                    lost = Failure(ErrorKind.OVERLOADED, "full")
                    self.answer(key, failure_for_unresolved_key(lost))
                else:
                    self.arrive(key, found.issuer, body, fate, pause, forwarded=True)
            case msg.RunWithTicket():
                self.waiting.append((owner, found.ticket, key, body, fate))
                if not pause:
                    self.wake(len(self.waiting) - 1)
            case _:
                raise AssertionError(found)

    def wake(self, index):
        owner, ticket, key, body, fate = self.waiting.pop(index)
        begun = owner.begin(ticket, body, self.now)
        if begun.is_ok():
            self.open.append([owner, ticket, begun.ok, key, False, body])
            if fate in ("answer", "lost"):
                self.execute(-1)
            if fate != "open":
                self.end(-1, fate == "lost")
        elif isinstance(begun.error, msg.Refuse):
            self.answer(key, begun.error.failure)
        else:
            assert self.runs[key] == 1

    @precondition(lambda self: self.waiting)
    @rule(pick=st.integers(0, 99))
    def resume(self, pick):
        self.wake(pick % len(self.waiting))

    @precondition(lambda self: self.open)
    @rule(pick=st.integers(0, 99))
    def execute_later(self, pick):
        self.execute(pick % len(self.open))

    @precondition(lambda self: self.open)
    @rule(pick=st.integers(0, 99), lose=st.booleans())
    def end_later(self, pick, lose):
        self.end(pick % len(self.open), lose)

    @precondition(lambda self: self.late)
    @rule(pick=st.integers(0, 5))
    def end_again(self, pick):
        owner, ticket, run = self.late[-1 - pick % len(self.late)]
        assert not owner.finish(ticket, run, NOT_RUN, self.now)

    def execute(self, index):
        call = self.open[index]
        if not call[4]:
            call[4] = True
            self.runs[call[3]] = self.runs.get(call[3], 0) + 1

    def end(self, index, lose):
        owner, ticket, run, key, executed, body = self.open.pop(index)
        if owner not in self.books.values():
            return
        result = (IN_DOUBT if lose else msg.Outcome(200, body)) if executed else NOT_RUN
        assert owner.finish(ticket, run, result, self.now)
        self.late.append((owner, ticket, run))
        if not executed:
            self.answer(key, NOT_RUN)

    @rule(name=names)
    def restart(self, name):
        dead = self.books[name]
        self.starts += 1
        self.books[name] = book(name, self.starts)
        # Bytes that a dead node has sent can still reach the service.
        self.waiting = [call for call in self.waiting if call[0] is not dead]

    @rule(name=names, rule_now=st.sampled_from(RULES))
    def change_rule(self, name, rule_now):
        self.rules[name] = rule_now

    @rule(name=st.sampled_from([None, "n1", "n2", "n3"]))
    def partition_or_heal(self, name):
        self.cut = name

    @rule(seconds=st.sampled_from([0.5, 4.0, 11.0]), name=names)
    def advance(self, seconds, name):
        self.now += seconds
        self.books[name].expire(self.now)

    @invariant()
    def each_ticket_ran_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())
        assert all(owner.size <= 3 for owner in self.books.values())


TestTicketWorld = TicketWorld.TestCase
TestTicketWorld.settings = profile(max_examples=200, stateful_step_count=50)
