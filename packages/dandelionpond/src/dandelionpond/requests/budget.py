"""Bound the retries of a node for each service and model."""

from collections.abc import Collection

from dandelionpond.requests.settings import RequestsSettings


class RetryBudget:
    """Permit `retry_ratio` retries for each request, plus `retry_burst` at the start.

    A token bucket: each first attempt adds `retry_ratio`, each retry takes 1, and the
    level stays within 0 and `retry_burst`.
    """

    __slots__ = ("_level", "_settings", "refused", "taken")

    def __init__(self, settings: RequestsSettings) -> None:
        self._settings = settings
        self._level = float(settings.retry_burst)
        self.taken = 0
        self.refused = 0

    @property
    def level(self) -> float:
        """Return the retries that are permitted now."""
        return self._level

    def configure(self, settings: RequestsSettings) -> None:
        """Take new settings from the next request on."""
        self._settings = settings

    def earn(self) -> None:
        """Count one request."""
        limit = float(self._settings.retry_burst)
        self._level = min(limit, self._level + self._settings.retry_ratio)

    def take(self) -> bool:
        """Take one retry; return False and count a refusal if none is left."""
        # Ten additions of 0.1 give a sum just below 1.
        if self._level < 1.0 - 1e-9:
            self.refused += 1
            return False
        self._level = max(0.0, self._level - 1.0)
        self.taken += 1
        return True


class RetryBudgets:
    """Own one budget for each service or model of this node.

    At `max_retry_budgets` a new name shares one empty budget, which permits only what
    its own requests earn; `at_bound` counts this.
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
        """Return the number of retries that were permitted."""
        return sum(one.taken for one in self._all())

    @property
    def refused(self) -> int:
        """Return the number of retries that were refused."""
        return sum(one.refused for one in self._all())

    def configure(self, settings: RequestsSettings) -> None:
        """Take new settings; budgets in use change from the next request on."""
        self._settings = settings
        for budget in self._all():
            budget.configure(settings)

    def get(self, name: str) -> RetryBudget:
        """Return the budget of a service or model."""
        budget = self._budgets.get(name)
        if budget is None:
            if len(self._budgets) >= self._settings.max_retry_budgets:
                self.at_bound += 1
                return self._overflow
            budget = self._budgets[name] = RetryBudget(self._settings)
        return budget

    def retain(self, names: Collection[str]) -> None:
        """Forget the budgets of names that the settings no longer hold."""
        for name in self._budgets.keys() - set(names):
            del self._budgets[name]

    def _all(self) -> tuple[RetryBudget, ...]:
        return self._overflow, *self._budgets.values()
