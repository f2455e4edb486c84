"""Keys of configuration rows in the table service."""

HEAD = "config/head"
CHANGE_PREFIX = "config/change/"
SERVICE_PREFIX = "config/service/"


def change_key(sequence: int) -> str:
    """Returns the key of a change, zero-padded so that keys sort by sequence.

    Example:
        >>> change_key(7)
        'config/change/000000000007'
    """
    return f"{CHANGE_PREFIX}{sequence:012d}"


def service_key(name: str) -> str:
    """Returns the key of the newest version of a service."""
    return SERVICE_PREFIX + name
