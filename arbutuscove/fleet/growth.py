"""Whether the list of VMs still grows, as VMs enter it one after the other."""

import datetime

# The VM list counts as complete once it has not grown for this time. 171 VMs
# entered it over 4.3 s.
LIST_STABLE_AFTER = datetime.timedelta(milliseconds=800)
# The list counts as complete after this time even if it still grows.
LIST_STABLE_TIMEOUT = datetime.timedelta(seconds=5)


class ListGrowth:
    """The greatest number of listed VMs of each service."""

    def __init__(self) -> None:
        # For each service, when it was first planned, its greatest number of
        # listed VMs, and when that number was reached.
        self._growth: dict[
            str, tuple[datetime.timedelta, int, datetime.timedelta]
        ] = {}

    def is_stable(
        self, service: str, count: int, now: datetime.timedelta
    ) -> bool:
        """Returns whether the list has stopped growing since the start.

        Without this delay, small groups would use up the VMs listed first,
        domain by domain.

        Args:
            service: name of the service.
            count: how many of its VMs are listed.
            now: the monotonic time.
        """
        first, largest, since = self._growth.get(service, (now, 0, now))
        if count > largest:
            largest, since = count, now
        self._growth[service] = (first, largest, since)
        return (
            now - since >= LIST_STABLE_AFTER
            or now - first >= LIST_STABLE_TIMEOUT
        )
