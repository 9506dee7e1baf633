"""Budget that keeps retries a small part of the traffic."""


class RetryBudget:
    """Allows retries as a share of the requests, with a small reserve.

    Examples
    ========

    >>> budget = RetryBudget(share=0.5, reserve=1)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.add_request()
    >>> budget.add_request()
    >>> budget.take()
    True

    :param share: retries for each request.
    :param reserve: most retries that can be saved up.
    """

    def __init__(self, share: float = 0.1, reserve: float = 20) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def add_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry, or return ``False``."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
