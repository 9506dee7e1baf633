"""Budget that limits retries to a small part of the traffic."""


class RetryBudget:
    """Allows retries in proportion to the requests, with a small reserve.

    Examples
    ========

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.add_request()
    >>> budget.add_request()
    >>> budget.take()
    True

    :param share: retries allowed per request.
    :param reserve: maximum of unused retries that accumulate.
    """

    def __init__(self, share: float = 0.1, reserve: float = 20) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def add_request(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Consume one retry.

        :returns: whether the budget allowed the retry.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
