"""Interface of what reads the values that others keep in the store."""

from abc import ABC, abstractmethod

from ...version.route_table import RouteTable, TargetAnnouncement


class StoreValueParser(ABC):
    """Read the values that others keep in the store."""

    @abstractmethod
    def is_table(self, key: str) -> bool:
        """Return whether the key holds the operators' configuration."""

    @abstractmethod
    def is_target(self, key: str) -> bool:
        """Return whether the key holds what a target announces."""

    @abstractmethod
    def target_of(self, key: str) -> str:
        """Return the id of the target that announces itself under the key."""

    @abstractmethod
    def without_keys(self, value: bytes) -> bytes:
        """Return a configuration with digests in place of callers' keys.

        Only this form is kept, and given to other hosts; `read_table` reads both.

        :raises WireError: if it has another form.
        """

    @abstractmethod
    def read_table(self, value: bytes) -> RouteTable:
        """Read the operators' configuration.

        :raises WireError: if it has another form.
        """

    @abstractmethod
    def read_target(self, key: str, value: bytes) -> TargetAnnouncement:
        """Read what a target announces.

        :raises WireError: if it has another form.
        """
