"""Retry budgets of a node, one for each service and model."""

from collections.abc import Collection

from dandelionpond.requests.settings import RequestsSettings


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    The bucket starts with `retry_burst` tokens. Each request adds `retry_ratio` tokens,
    up to `retry_burst`, and each retry takes one.
    """

    __slots__ = ("_level", "_settings", "refused", "taken")

    def __init__(self, settings: RequestsSettings) -> None:
        self._settings = settings
        self._level = float(settings.retry_burst)
        self.taken = 0
        self.refused = 0

    @property
    def level(self) -> float:
        """Return the number of tokens in the bucket."""
        return self._level

    def configure(self, settings: RequestsSettings) -> None:
        """Replace the settings; the level changes from the next request on."""
        self._settings = settings

    def add_request(self) -> None:
        """Count one request, which adds `retry_ratio` tokens."""
        burst = float(self._settings.retry_burst)
        self._level = min(burst, self._level + self._settings.retry_ratio)

    def take(self) -> bool:
        """Take one retry; return False and count a refusal if none is left."""
        # Allow for rounding: ten times 0.1 adds up to slightly less than 1.
        if self._level < 1.0 - 1e-9:
            self.refused += 1
            return False
        self._level = max(0.0, self._level - 1.0)
        self.taken += 1
        return True


class RetryBudgets:
    """Retry budgets by the name of the service or model.

    Names beyond `max_retry_budgets` share one budget. It starts empty, so only their
    requests add retries to it. `at_bound` counts uses of this budget.
    """

    __slots__ = ("_budgets", "_overflow", "_settings", "at_bound")

    def __init__(self, settings: RequestsSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._overflow = RetryBudget(settings)
        while self._overflow.level >= 1.0:
            self._overflow.take()
        self._overflow.taken = 0
        self.at_bound = 0

    @property
    def taken(self) -> int:
        """Return the number of permitted retries."""
        return sum(budget.taken for budget in self._all_budgets())

    @property
    def refused(self) -> int:
        """Return the number of refused retries."""
        return sum(budget.refused for budget in self._all_budgets())

    def configure(self, settings: RequestsSettings) -> None:
        """Replace the settings of all budgets; see `RetryBudget.configure`."""
        self._settings = settings
        for budget in self._all_budgets():
            budget.configure(settings)

    def get(self, name: str) -> RetryBudget:
        """Return the budget of a service or model and create it if needed."""
        budget = self._budgets.get(name)
        if budget is None:
            if len(self._budgets) >= self._settings.max_retry_budgets:
                self.at_bound += 1
                return self._overflow
            budget = self._budgets[name] = RetryBudget(self._settings)
        return budget

    def retain(self, names: Collection[str]) -> None:
        """Remove the budgets of names that are not in `names`."""
        for name in self._budgets.keys() - set(names):
            del self._budgets[name]

    def _all_budgets(self) -> tuple[RetryBudget, ...]:
        return self._overflow, *self._budgets.values()
