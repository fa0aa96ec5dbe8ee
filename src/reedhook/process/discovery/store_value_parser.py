"""Interface of parsers for values that the platform keeps in the store."""

from abc import ABC, abstractmethod

from ...version.route_table import RouteTable, TargetAnnouncement


class StoreValueParser(ABC):
    """Parse values that operators and targets write to the store."""

    @abstractmethod
    def is_table(self, key: str) -> bool:
        """Return whether the key holds the operators' configuration."""

    @abstractmethod
    def is_target(self, key: str) -> bool:
        """Return whether the key holds the announcement of a target."""

    @abstractmethod
    def target_of(self, key: str) -> str:
        """Return the ID of the target that announces itself under the key."""

    @abstractmethod
    def target_key(self, target: str) -> str:
        """Return the key under which a target announces itself."""

    @abstractmethod
    def without_keys(self, value: bytes) -> bytes:
        """Return a configuration with digests in place of callers' keys.

        Only this form is kept and sent to other hosts; `read_table` accepts both.

        :raises WireError: if it is malformed.
        """

    @abstractmethod
    def read_table(self, value: bytes) -> RouteTable:
        """Parse the operators' configuration.

        :raises WireError: if it is malformed.
        """

    @abstractmethod
    def read_target(self, key: str, value: bytes) -> TargetAnnouncement:
        """Parse the announcement of a target.

        :raises WireError: if it is malformed.
        """
