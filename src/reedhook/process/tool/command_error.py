"""Exit codes of the tool, and errors that tell the user what to do."""

from enum import IntEnum


class ToolExitCode(IntEnum):
    """Name the exit codes."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    IN_DOUBT = 5


class CommandError(Exception):
    """End the tool with an error.

    :param code: the exit code.
    :param problem: what is wrong, as one line.
    :param advice: what to do about it; may be empty.
    :param details: further lines, such as one for each fault.
    """

    def __init__(
        self,
        code: ToolExitCode,
        problem: str,
        advice: str = "",
        details: tuple[str, ...] = (),
    ) -> None:
        super().__init__(problem)
        self.code = code
        self.problem = problem
        self.advice = advice
        self.details = details

    @property
    def line(self) -> str:
        """Return the error as one line."""
        problem = " ".join(self.problem.split())
        return f"{problem}; {self.advice}" if self.advice else problem


class HostsUnreachableError(CommandError):
    """Say that no host answered.

    :param sent: whether a host may have got the request all the same.
    """

    def __init__(self, problem: str, sent: bool) -> None:
        advice = "check the addresses, or name other hosts"
        super().__init__(ToolExitCode.UNREACHABLE, problem, advice)
        self.sent = sent

    def in_doubt(self, advice: str) -> CommandError:
        """Return the error for a request that has an effect.

        :param advice: how to repeat it safely.
        """
        if not self.sent:
            return self
        return CommandError(
            ToolExitCode.IN_DOUBT, self.problem, f"it may have run: {advice}"
        )
