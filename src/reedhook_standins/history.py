"""The callers' observations, checked against the final contents of the groups.

Every write of the workload raises a *register*: a key whose versions only grow and
which one caller at a time writes. A read returns the versions it saw. The guarantees
are checked by comparing versions and times, independent of what the system reports
about itself.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final, TypeAlias

from reedhook.record import Record
from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict

Register: TypeAlias = tuple[str, str]

CLOCK_STEP_S: Final = 0.001


class WriteAttempt(Record):
    """Represent one try of a write, as its caller saw it.

    :param request_id: the id that all tries of the write share.
    :param group: the database group.
    :param key: the register that it raises.
    :param version: the version that it sets.
    :param session: the session that it belongs to.
    :param host: the entry host that it was sent to.
    :param started: send time, in seconds of the shared clock.
    :param ended: answer time, in seconds of the shared clock.
    :param verdict: the result reported to the caller, or assumed by it.
    :param reason: the reason of a refusal; None for an answer.
    :param repeated: whether the answer is that of an earlier run.
    """

    __slots__ = (
        "request_id",
        "group",
        "key",
        "version",
        "session",
        "host",
        "started",
        "ended",
        "verdict",
        "reason",
        "repeated",
    )

    def __init__(
        self,
        request_id: str,
        group: str,
        key: str,
        version: int,
        session: str,
        host: str,
        started: float,
        ended: float,
        verdict: Verdict,
        reason: str | None = None,
        repeated: bool = False,
    ) -> None:
        self.request_id = request_id
        self.group = group
        self.key = key
        self.version = version
        self.session = session
        self.host = host
        self.started = started
        self.ended = ended
        self.verdict = verdict
        self.reason = reason
        self.repeated = repeated

    @property
    def register(self) -> Register:
        """Return the register that the write raises."""
        return (self.group, self.key)


class ReadSeen(Record):
    """Represent one read, as its caller saw it.

    :param kind: the workload's name of the read, such as ``mix view``.
    :param mark: the text that the statement should return.
    :param echoed: the text that the answer returned.
    :param versions: the version seen of each key; 0 for an absent one.
    :param reason: the reason of a refusal; None for an answer.
    :param role: the role of the member that served; None for a refusal.
    :param age: the reported age in seconds; None if the answer has none.
    """

    __slots__ = (
        "kind",
        "group",
        "session",
        "host",
        "consistency",
        "started",
        "ended",
        "mark",
        "echoed",
        "versions",
        "reason",
        "role",
        "age",
    )

    def __init__(
        self,
        kind: str,
        group: str,
        session: str,
        host: str,
        consistency: Consistency,
        started: float,
        ended: float,
        mark: str,
        echoed: str | None,
        versions: dict[str, int],
        reason: str | None = None,
        role: str | None = None,
        age: float | None = None,
    ) -> None:
        self.kind = kind
        self.group = group
        self.session = session
        self.host = host
        self.consistency = consistency
        self.started = started
        self.ended = ended
        self.mark = mark
        self.echoed = echoed
        self.versions = versions
        self.reason = reason
        self.role = role
        self.age = age

    @property
    def answered(self) -> bool:
        """Return whether the read was answered."""
        return self.reason is None


class Effect(Record):
    """Represent one effect that a group holds at the end.

    :param committed: commit time, in seconds of the callers' shared clock; None if
        unknown.
    """

    __slots__ = ("request_id", "group", "key", "version", "committed")

    def __init__(
        self,
        request_id: str,
        group: str,
        key: str,
        version: int,
        committed: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.group = group
        self.key = key
        self.version = version
        self.committed = committed


class RecordedFault(Record):
    """Represent an injected fault.

    :param group: the group whose primary was hit; None for a host or the store.
    :param at: when, in seconds of the callers' shared clock.
    """

    __slots__ = ("name", "subject", "group", "at")

    def __init__(self, name: str, subject: str, group: str | None, at: float) -> None:
        self.name = name
        self.subject = subject
        self.group = group
        self.at = at


class Promise(str, Enum):
    """Enumerate the guarantees that are checked."""

    LOST = "acknowledged writes lost"
    DOUBLED = "writes doubled"
    UNTRUE_NOT_RUN = "'not run' answers that had an effect"
    STALE_FRESH = "stale reads served as fresh"
    SESSION = "session reads missing what their token covers"
    AGE = "ages told below the true age"
    MIXED = "answers to another request"


class Violation(Record):
    """Describe one violated guarantee, with the details needed to investigate it."""

    __slots__ = ("promise", "subject", "detail")

    def __init__(self, promise: Promise, subject: str, detail: str) -> None:
        self.promise = promise
        self.subject = subject
        self.detail = detail


class History:
    """Collect what callers saw.

    :ivar faults: the faults that were injected meanwhile.
    """

    __slots__ = ("attempts", "reads", "faults")

    def __init__(self) -> None:
        self.attempts: list[WriteAttempt] = []
        self.reads: list[ReadSeen] = []
        self.faults: list[RecordedFault] = []

    def acknowledged(self) -> list[WriteAttempt]:
        """Return the first acknowledged attempt of each write."""
        first: dict[str, WriteAttempt] = {}
        for attempt in sorted(self.attempts, key=lambda one: one.ended):
            if attempt.verdict is Verdict.DONE:
                first.setdefault(attempt.request_id, attempt)
        return list(first.values())

    def answered(self) -> list[ReadSeen]:
        """Return the reads that were answered."""
        return [read for read in self.reads if read.answered]

    def refusals(self) -> list[str]:
        """Return the reasons of all tries without an answer."""
        of_writes = [attempt.reason for attempt in self.attempts if attempt.reason]
        return of_writes + [read.reason for read in self.reads if read.reason]

    def end(self) -> float:
        """Return when the last answer or refusal came; 0 if there was none."""
        writes = [one.ended for one in self.attempts]
        return max(writes + [one.ended for one in self.reads], default=0.0)


def violations(history: History, effects: Iterable[Effect]) -> list[Violation]:
    """Return every violated guarantee in `history`, given the groups' effects."""
    effect_list = list(effects)
    return [
        *lost(history, effect_list),
        *doubled(effect_list),
        *untrue_not_run(history, effect_list),
        *stale_fresh(history),
        *session_misses(history),
        *ages_too_low(history, effect_list),
        *mixed(history),
    ]


def lost(history: History, effects: list[Effect]) -> Iterator[Violation]:
    """Yield acknowledged writes that no group holds."""
    stored_ids = {effect.request_id for effect in effects}
    for attempt in history.acknowledged():
        if attempt.request_id not in stored_ids:
            detail = f"acknowledged by {attempt.host} at {attempt.ended:.3f}"
            yield Violation(Promise.LOST, attempt.request_id, detail)


def doubled(effects: list[Effect]) -> Iterator[Violation]:
    """Yield writes that took effect more than once."""
    counts = Counter(effect.request_id for effect in effects)
    for request_id, count in counts.items():
        if count > 1:
            yield Violation(Promise.DOUBLED, request_id, f"{count} effects")


def untrue_not_run(history: History, effects: list[Effect]) -> Iterator[Violation]:
    """Yield effects whose only possible attempts were answered "not run".

    An effect needs an attempt that began before it and was not answered "not run". A
    repeated answer is no evidence: a host may have tried twice for one attempt of the
    caller.
    """
    tries: dict[str, list[WriteAttempt]] = defaultdict(list)
    for attempt in history.attempts:
        tries[attempt.request_id].append(attempt)
    for effect in effects:
        earlier = [
            attempt
            for attempt in tries[effect.request_id]
            if effect.committed is None
            or attempt.started <= effect.committed + CLOCK_STEP_S
        ]
        if all(attempt.verdict is Verdict.NOT_RUN for attempt in earlier):
            yield Violation(
                Promise.UNTRUE_NOT_RUN,
                effect.request_id,
                f"effect at {effect.committed} after {len(earlier)} 'not run' answers",
            )


def stale_fresh(history: History) -> Iterator[Violation]:
    """Yield fresh reads that miss a write acknowledged before they began."""
    acknowledged = by_register(history)
    for read in history.answered():
        if read.consistency is not Consistency.FRESH:
            continue
        for key, version in read.versions.items():
            due = version_due(acknowledged[(read.group, key)], read.started)
            if version < due:
                yield missed(Promise.STALE_FRESH, read, key, due)


def session_misses(history: History) -> Iterator[Violation]:
    """Yield reads that miss what their session wrote or saw before.

    Only session and fresh reads have this guarantee; versions seen by a bounded read
    still count for the session.
    """
    marks: dict[str, dict[Register, int]] = defaultdict(lambda: defaultdict(int))
    for ended, step in steps(history):
        if isinstance(step, WriteAttempt):
            raise_mark(marks[step.session], step.register, step.version)
            continue
        mark = marks[step.session]
        for key, version in step.versions.items():
            due = mark[(step.group, key)]
            if version < due and step.consistency is not Consistency.MAX_AGE:
                yield missed(Promise.SESSION, step, key, due)
            raise_mark(mark, (step.group, key), version)


def steps(history: History) -> list[tuple[float, WriteAttempt | ReadSeen]]:
    """Return the attempts and reads of all sessions, ordered by answer time.

    A session runs one request at a time, so this is also its own order.
    """
    answered: list[tuple[float, WriteAttempt | ReadSeen]] = []
    for attempt in history.attempts:
        if attempt.verdict is Verdict.DONE:
            answered.append((attempt.ended, attempt))
    for read in history.answered():
        answered.append((read.ended, read))
    return sorted(answered, key=lambda one: one[0])


def raise_mark(mark: dict[Register, int], register: Register, version: int) -> None:
    """Raise the minimum version of a register that a session must see."""
    mark[register] = max(mark[register], version)


def ages_too_low(history: History, effects: list[Effect]) -> Iterator[Violation]:
    """Yield reads that miss an effect older than the age they reported.

    A read that misses a commit at `t` is at least ``started - t`` old. If the commit
    time is unknown, the time of its acknowledgement is used.
    """
    acknowledged = {one.request_id: one.ended for one in history.acknowledged()}
    commits: dict[Register, list[tuple[float, int]]] = defaultdict(list)
    for effect in effects:
        at = effect.committed
        if at is None:
            at = acknowledged.get(effect.request_id)
        if at is not None:
            commits[(effect.group, effect.key)].append((at, effect.version))
    for read in history.answered():
        if read.age is None:
            continue
        before = read.started - read.age - CLOCK_STEP_S
        for key, version in read.versions.items():
            due = version_due(commits[(read.group, key)], before)
            if version < due:
                yield missed(Promise.AGE, read, key, due)


def mixed(history: History) -> Iterator[Violation]:
    """Yield answers that return the mark of another request."""
    for read in history.answered():
        if read.echoed != read.mark:
            detail = f"asked with {read.mark}, got {read.echoed}"
            yield Violation(Promise.MIXED, read.kind, detail)


def by_register(history: History) -> dict[Register, list[tuple[float, int]]]:
    """Return the times and versions of acknowledged writes by register."""
    writes: dict[Register, list[tuple[float, int]]] = defaultdict(list)
    for attempt in history.acknowledged():
        writes[attempt.register].append((attempt.ended, attempt.version))
    return writes


def version_due(raised: list[tuple[float, int]], at: float) -> int:
    """Return the highest version that a register had reached before `at`."""
    return max((version for time, version in raised if time < at), default=0)


def missed(promise: Promise, read: ReadSeen, key: str, due: int) -> Violation:
    """Return the violation of a read that saw too low a version."""
    found_version = read.versions[key]
    age = "none" if read.age is None else f"{read.age:.3f} s"
    detail = (
        f"{read.kind} of {read.session} through {read.host} at {read.started:.3f}"
        f" saw {key} at {found_version}, not {due}; served by a {read.role}, age {age}"
    )
    return Violation(promise, read.group, detail)
