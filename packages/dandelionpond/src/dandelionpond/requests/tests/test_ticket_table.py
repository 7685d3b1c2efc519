"""Test the ticket table on one node and, as a state machine, on several nodes."""

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

NON_IDEMPOTENT = Service()
IDEMPOTENT = Service(idempotent=True)
DEDUPLICATING = Service(deduplicates=True)
SERVICES = [NON_IDEMPOTENT, IDEMPOTENT, DEDUPLICATING]
SETTINGS = RequestsSettings(
    ticket_ttl_s=10.0, max_tickets=3, max_outcome_bytes=8, max_outcomes_total_bytes=12
)
NOT_RUN = Failure(ErrorKind.UPSTREAM_UNREACHABLE, "refused")
IN_DOUBT = Failure(ErrorKind.UPSTREAM_FAILED, "reset")


def make_table(name="n1", start=1):
    identity = Identity(name, start, start)
    return TicketTable(
        identity, f"{name}:1", f"{name}{start}".encode(), SETTINGS, Random(start)
    )


def begin_ticket(table, key, now=0.0, body=b"h"):
    decision = table.classify(key, "acme", "pay", NON_IDEMPOTENT, body, now)
    assert isinstance(decision, msg.RunWithTicket)
    return decision.ticket, table.begin(decision.ticket, body, now).ok


def refusal_kind(
    table,
    key,
    account="acme",
    service="pay",
    service_settings=NON_IDEMPOTENT,
    body=b"h",
    now=0.0,
):
    decision = table.classify(key, account, service, service_settings, body, now)
    assert isinstance(decision, msg.Refuse), decision
    return decision.failure.kind


class TestClassify:
    def test_keys_by_service_settings(self):
        """Guard against running a non-idempotent service under a plain key."""
        table = make_table()
        assert refusal_kind(table, None) is ErrorKind.TICKET_REQUIRED
        assert (
            refusal_kind(table, None, service_settings=DEDUPLICATING)
            is ErrorKind.TICKET_REQUIRED
        )
        assert refusal_kind(table, "k") is ErrorKind.KEY_NOT_TICKET
        call = ("acme", "pay")
        for key in (None, "k"):
            assert table.classify(
                key, *call, IDEMPOTENT, b"h", 0.0
            ) == msg.RunWithoutTicket(None)
        assert table.classify(
            "k", *call, DEDUPLICATING, b"h", 0.0
        ) == msg.RunWithoutTicket("k")

    @pytest.mark.parametrize("service_settings", SERVICES)
    def test_ticket_is_enforced_under_all_settings(self, service_settings):
        """Guard against a ticket that is not enforced after a change of settings."""
        table = make_table()
        key = table.issue("acme", "pay", 0.0)
        decision = table.classify(key, "acme", "pay", service_settings, b"h", 0.0)
        assert isinstance(decision, msg.RunWithTicket)
        assert decision.pass_key == (key if service_settings.deduplicates else None)
        begin_ticket(table, key)
        assert (
            refusal_kind(table, key, service_settings=service_settings)
            is ErrorKind.CALL_IN_PROGRESS
        )
        for forged in (key[:-6], key[:-6] + "AAAAAA", "dpt1.x"):
            assert (
                refusal_kind(table, forged, service_settings=service_settings)
                is ErrorKind.KEY_NOT_TICKET
            )

    def test_issuer(self):
        """Guard against a run on a node that did not issue the ticket."""
        key = make_table().issue("acme", "pay", 0.0)
        decision = make_table("n2").classify(
            key, "acme", "pay", NON_IDEMPOTENT, b"h", 0.0
        )
        assert decision == msg.ForwardToIssuer(
            "n1", Identity("n1", 1, 1).incarnation, "n1:1"
        )
        assert refusal_kind(make_table("n1", 2), key) is ErrorKind.ISSUER_UNREACHABLE
        assert (
            refusal_kind(make_table("n2"), key, account="x")
            is ErrorKind.TICKET_MISMATCH
        )

    def test_binding_and_expiry(self):
        """Guard against a ticket used for another call or after its expiry."""
        table = make_table()
        key = table.issue("acme", "pay", 0.0)
        assert refusal_kind(table, key, account="x") is ErrorKind.TICKET_MISMATCH
        assert refusal_kind(table, key, service="x") is ErrorKind.TICKET_MISMATCH
        assert refusal_kind(table, key, now=10.0) is ErrorKind.TICKET_EXPIRED
        begin_ticket(table, key)
        assert refusal_kind(table, key, body=b"other") is ErrorKind.TICKET_MISMATCH


class TestTicketTable:
    def test_outcome_is_repeated(self):
        """Guard against a retry that does not receive the recorded outcome."""
        table = make_table()
        key = table.issue("acme", "pay", 0.0)
        ticket, run = begin_ticket(table, key)
        assert table.finish(ticket, run, msg.Outcome(200, b"paid"), 1.0)
        decision = table.classify(key, "acme", "pay", NON_IDEMPOTENT, b"h", 2.0)
        assert decision == msg.RepeatOutcome(msg.Outcome(200, b"paid"))
        assert table.begin(ticket, b"h", 2.0).error == decision

    def test_not_run_may_run_again_and_late_result_is_ignored(self):
        """Guard against recording the result of the first run for the second."""
        table = make_table()
        key = table.issue("acme", "pay", 0.0)
        ticket, first = begin_ticket(table, key)
        table.finish(ticket, first, NOT_RUN, 1.0)
        _, second = begin_ticket(table, key, 2.0)
        assert not table.finish(ticket, first, NOT_RUN, 3.0)
        assert refusal_kind(table, key, now=3.0) is ErrorKind.CALL_IN_PROGRESS
        table.finish(ticket, second, IN_DOUBT, 4.0)
        assert refusal_kind(table, key, now=5.0) is ErrorKind.UPSTREAM_FAILED

    def test_outcomes_over_the_size_limits_are_not_stored(self):
        """Guard against unbounded memory for recorded outcomes."""
        table = make_table()
        keys = [table.issue("acme", "pay", 0.0) for _ in range(3)]
        for key, body in zip(keys, (b"123456789", b"12345678", b"12345"), strict=True):
            ticket, run = begin_ticket(table, key)
            table.finish(ticket, run, msg.Outcome(200, body), 1.0)
        assert refusal_kind(table, keys[0]) is ErrorKind.ANSWER_TOO_LARGE
        assert refusal_kind(table, keys[2]) is ErrorKind.ANSWER_TOO_LARGE
        assert table.outcome_bytes == 8 and table.counters.outcomes_too_large == 2
        assert table.expire(10.0) == 3 and table.outcome_bytes == 0

    def test_full_table_refuses_first_uses_only(self):
        """Guard against evicting the entry of a ticket before it expires."""
        table = make_table()
        keys = [table.issue("acme", "pay", 0.0) for _ in range(4)]
        for key in keys[:3]:
            begin_ticket(table, key)
        decision = table.classify(keys[3], "acme", "pay", NON_IDEMPOTENT, b"h", 0.0)
        refusal = table.begin(decision.ticket, b"h", 0.0).error
        assert refusal.failure.kind is ErrorKind.OVERLOADED
        assert refusal_kind(table, keys[0]) is ErrorKind.CALL_IN_PROGRESS

    def test_running_call_outlives_its_ticket(self):
        """Guard against removing the entry of a running call."""
        table = make_table()
        ticket, run = begin_ticket(table, table.issue("acme", "pay", 0.0))
        assert table.expire(11.0) == 0 and table.size == 1
        assert (
            table.finish(ticket, run, msg.Outcome(200, b"x"), 12.0) and table.size == 0
        )

    def test_pause_between_classify_and_begin(self):
        """Guard against a run whose ticket expired during a pause of the node."""
        table = make_table()
        key = table.issue("acme", "pay", 0.0)
        decision = table.classify(key, "acme", "pay", NON_IDEMPOTENT, b"h", 9.0)
        refusal = table.begin(decision.ticket, b"h", 10.0).error
        assert refusal.failure.kind is ErrorKind.TICKET_EXPIRED

    def test_closed_table_starts_no_run_and_keeps_outcomes(self):
        """Guard against `not_run` for a ticket whose call runs during shutdown."""
        table = make_table()
        used, unused = (table.issue("acme", "pay", 0.0) for _ in range(2))
        ticket, run = begin_ticket(table, used)
        unused_ticket = table.classify(
            unused, "acme", "pay", NON_IDEMPOTENT, b"h", 0.0
        ).ticket
        table.close()
        assert refusal_kind(table, used) is ErrorKind.CALL_IN_PROGRESS
        table.finish(ticket, run, msg.Outcome(200, b"paid"), 1.0)
        decision = table.classify(used, "acme", "pay", NON_IDEMPOTENT, b"h", 2.0)
        assert decision == msg.RepeatOutcome(msg.Outcome(200, b"paid"))
        refused = table.begin(unused_ticket, b"h", 2.0).error.failure
        assert refused.kind is ErrorKind.DRAINING
        assert refused.execution is Execution.NOT_RUN

    def test_refusal_by_a_forwarding_node_may_have_run(self):
        """Guard against `not_run` from a node that cannot look up the ticket."""
        draining = Failure(ErrorKind.DRAINING, "stopping")
        assert failure_for_unresolved_key(draining).execution is Execution.MAY_HAVE_RUN


class TicketStateMachine(RuleBasedStateMachine):
    """Use tickets on three nodes that restart, pause and have different settings."""

    tickets = Bundle("tickets")
    node_names = st.sampled_from(["n1", "n1", "n2", "n3"])
    bodies = st.sampled_from([b"a", b"a", b"a", b"b"])
    scenarios = st.sampled_from(["open", "answer", "lost", "not_run"])

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.start_count = 1
        self.tables = {name: make_table(name) for name in ("n1", "n2", "n3")}
        self.service_settings = dict.fromkeys(self.tables, NON_IDEMPOTENT)
        # The node that is cut off from all others, if any.
        self.partitioned_node = None
        # Ended runs, whose result can be reported again during a later run.
        self.ended_runs = []
        self.executions = {}
        self.keys = []
        # [table, ticket, run, key, executed, body] of calls that have not ended.
        self.running_calls = []
        # Calls that were classified before their node paused.
        self.paused_calls = []

    def check_failure(self, key, failure):
        if failure.execution is Execution.NOT_RUN:
            assert self.executions.get(key, 0) == 0, failure
            assert all(call[3] != key for call in self.running_calls), failure

    @precondition(lambda self: len(self.keys) < 6)
    @rule(target=tickets, name=node_names)
    def issue(self, name):
        self.keys.append(self.tables[name].issue("acme", "pay", self.now))
        return self.keys[-1]

    @rule(
        key=tickets,
        name=node_names,
        body=bodies,
        scenario=scenarios,
        pause=st.integers(0, 3),
    )
    def send(self, key, name, body, scenario, pause):
        self.process_call(key, name, body, scenario, pause == 0, forwarded=False)

    @rule(key=tickets, name=node_names, first=scenarios, second=scenarios)
    def send_twice(self, key, name, first, second):
        """Retry through another node, as behind a load balancer."""
        for entry, scenario in ((name, first), ("n3", second)):
            self.process_call(key, entry, b"a", scenario, False, forwarded=False)

    @rule(key=tickets, name=node_names, end=st.integers(1, 40))
    def send_truncated_ticket(self, key, name, end):
        decision = self.tables[name].classify(
            key[:-end], "acme", "pay", self.service_settings[name], b"a", self.now
        )
        assert not isinstance(
            decision, msg.RunWithoutTicket | msg.RunWithTicket | msg.RepeatOutcome
        )

    @rule(key=tickets, name=node_names)
    def send_as_other_account(self, key, name):
        decision = self.tables[name].classify(
            key, "other", "pay", self.service_settings[name], b"a", self.now
        )
        assert isinstance(decision, msg.Refuse)
        self.check_failure(key, decision.failure)

    def process_call(self, key, name, body, scenario, pause, forwarded):
        table = self.tables[name]
        decision = table.classify(
            key, "acme", "pay", self.service_settings[name], body, self.now
        )
        match decision:
            case msg.Refuse():
                self.check_failure(key, decision.failure)
            case msg.RepeatOutcome():
                assert self.executions[key] == 1 and decision.outcome.body == body
            case msg.ForwardToIssuer():
                assert not forwarded
                if self.partitioned_node in (name, decision.issuer):
                    refusal = Failure(ErrorKind.OVERLOADED, "full")
                    self.check_failure(key, failure_for_unresolved_key(refusal))
                else:
                    self.process_call(
                        key, decision.issuer, body, scenario, pause, forwarded=True
                    )
            case msg.RunWithTicket():
                self.paused_calls.append((table, decision.ticket, key, body, scenario))
                if not pause:
                    self.begin_call(len(self.paused_calls) - 1)
            case _:
                raise AssertionError(decision)

    def begin_call(self, index):
        table, ticket, key, body, scenario = self.paused_calls.pop(index)
        begin_result = table.begin(ticket, body, self.now)
        if begin_result.is_ok():
            self.running_calls.append(
                [table, ticket, begin_result.ok, key, False, body]
            )
            if scenario in ("answer", "lost"):
                self.execute(-1)
            if scenario != "open":
                self.end(-1, scenario == "lost")
        elif isinstance(begin_result.error, msg.Refuse):
            self.check_failure(key, begin_result.error.failure)
        else:
            assert self.executions[key] == 1

    @precondition(lambda self: self.paused_calls)
    @rule(pick=st.integers(0, 99))
    def resume(self, pick):
        self.begin_call(pick % len(self.paused_calls))

    @precondition(lambda self: self.running_calls)
    @rule(pick=st.integers(0, 99))
    def execute_later(self, pick):
        self.execute(pick % len(self.running_calls))

    @precondition(lambda self: self.running_calls)
    @rule(pick=st.integers(0, 99), lose=st.booleans())
    def end_later(self, pick, lose):
        self.end(pick % len(self.running_calls), lose)

    @precondition(lambda self: self.ended_runs)
    @rule(pick=st.integers(0, 5))
    def end_again(self, pick):
        table, ticket, run = self.ended_runs[-1 - pick % len(self.ended_runs)]
        assert not table.finish(ticket, run, NOT_RUN, self.now)

    def execute(self, index):
        call = self.running_calls[index]
        if not call[4]:
            call[4] = True
            self.executions[call[3]] = self.executions.get(call[3], 0) + 1

    def end(self, index, lose):
        table, ticket, run, key, executed, body = self.running_calls.pop(index)
        if table not in self.tables.values():
            return
        result = (IN_DOUBT if lose else msg.Outcome(200, body)) if executed else NOT_RUN
        assert table.finish(ticket, run, result, self.now)
        self.ended_runs.append((table, ticket, run))
        if not executed:
            self.check_failure(key, NOT_RUN)

    @rule(name=node_names)
    def restart(self, name):
        old_table = self.tables[name]
        self.start_count += 1
        self.tables[name] = make_table(name, self.start_count)
        # Bytes that the stopped node has sent can still reach the service.
        self.paused_calls = [
            call for call in self.paused_calls if call[0] is not old_table
        ]

    @rule(name=node_names, new_settings=st.sampled_from(SERVICES))
    def change_settings(self, name, new_settings):
        self.service_settings[name] = new_settings

    @rule(name=st.sampled_from([None, "n1", "n2", "n3"]))
    def partition_or_heal(self, name):
        self.partitioned_node = name

    @rule(seconds=st.sampled_from([0.5, 4.0, 11.0]), name=node_names)
    def advance(self, seconds, name):
        self.now += seconds
        self.tables[name].expire(self.now)

    @invariant()
    def each_ticket_ran_at_most_once(self):
        assert all(count <= 1 for count in self.executions.values())
        assert all(table.size <= 3 for table in self.tables.values())


TestTicketStateMachine = TicketStateMachine.TestCase
TestTicketStateMachine.settings = profile(max_examples=200, stateful_step_count=50)
