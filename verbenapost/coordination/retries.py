"""Budget that limits retries to a small part of the traffic."""


class RetryBudget:
    """Allows retries in proportion to the requests, with a small reserve.

    Examples
    ========

    >>> budget = RetryBudget(retries_per_request=0.5, max_saved=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.add_request()
    >>> budget.add_request()
    >>> budget.take()
    True

    :param retries_per_request: retries added by each request.
    :param max_saved: maximum of unused retries that accumulate.
    """

    def __init__(
        self, retries_per_request: float = 0.1, max_saved: float = 20
    ) -> None:
        self._retries_per_request = retries_per_request
        self._max_saved = max_saved
        self._tokens = max_saved

    def add_request(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(
            self._max_saved, self._tokens + self._retries_per_request
        )

    def take(self) -> bool:
        """Consume one retry.

        :returns: whether the budget allowed the retry.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
