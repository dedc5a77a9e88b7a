"""Ids of the requests that were sent to a target lately."""

# Number of ids that are kept. A target is sent at most some hundred requests a second,
# and a request comes again under its id only until its deadline, some 10 s.
MAX_IDS = 8_192


class RecentIds:
    """Bounded set of request ids, the oldest of which are dropped.

    It lives as long as the connections on which the requests were sent, so an id that
    it does not know was sent on none of them lately.

    :param max_ids: number of ids that are kept
    """

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        # Hashes take less memory than ids, whose length the client chooses. Two ids of
        # one hash cost a new connection.
        self._hashes: dict[int, None] = {}

    def add(self, request_id: bytes) -> bool:
        """Add an id; return whether it was known.

        :param request_id: id of a request, or empty if it has none
        """
        if not request_id:
            return False
        key = hash(request_id)
        known = key in self._hashes
        if known:
            del self._hashes[key]
        elif len(self._hashes) >= self._max_ids:
            del self._hashes[next(iter(self._hashes))]
        self._hashes[key] = None
        return known
