"""Exit codes and errors of the tool."""

from enum import IntEnum


class ToolExitCode(IntEnum):
    """Enumerate the exit codes of the tool."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    IN_DOUBT = 5


class CommandError(Exception):
    """Report an error that ends the tool.

    :param code: the exit code.
    :param problem: what is wrong, in one line.
    :param advice: how to solve it; may be empty.
    :param details: lines printed before, such as one for each fault.
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
    """Report that no host responded.

    :param sent: whether a host may have received the request.
    """

    def __init__(self, problem: str, sent: bool) -> None:
        advice = "check the addresses, or give other hosts"
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
