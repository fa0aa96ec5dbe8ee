"""Documents as operators write them, and their values with line numbers."""

import math
from typing import Any, Final

import logbook
import yaml

from ..record import Record
from ..wire import Json, WireError
from .errors import (
    ConfigurationError,
    ConfigurationSyntaxError,
    DuplicateKeyError,
    KeyPath,
    SourceLocation,
)

BASE_FILE: Final = "base.yaml"
MAX_DOCUMENT_CHARACTERS: Final = 4 * 1024 * 1024
MAX_DEPTH: Final = 32
Loader: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
TAG: Final = "tag:yaml.org,2002:"
NUMBER_TAGS: Final = {f"{TAG}{name}" for name in ("int", "float", "bool", "null")}
UNSUPPORTED_SCALAR: Final = object()
RENAMED_KEYS: Final = {"teams": "workspaces"}

log = logbook.Logger("configuration")


class ConfigurationDocuments(Record):
    """Carry the texts of one edition of the configuration.

    :param base: the base file, YAML.
    :param overlays: an overlay, YAML, for each site.
    """

    __slots__ = ("base", "overlays")

    def __init__(self, base: str, overlays: dict[str, str]) -> None:
        self.base = base
        self.overlays = overlays

    def to_json(self) -> Json:
        """Return the documents as they stand on the wire."""
        return {"base": self.base, "overlays": self.overlays}

    @classmethod
    def from_json(cls, message: Json) -> "ConfigurationDocuments":
        """Read documents from the wire.

        :raises WireError: if the message has another form.
        """
        base = message.get("base")
        overlays = message.get("overlays", {})
        if not isinstance(base, str) or not isinstance(overlays, dict):
            raise WireError("base must be a text and overlays an object of texts")
        if not all(isinstance(text, str) for text in overlays.values()):
            raise WireError("overlays must be an object of texts")
        return cls(base, overlays)


class ParsedDocument(Record):
    """Carry the values of a document and the line of each path.

    :param file: the document's name.
    :param content: its values, as plain dicts, lists and scalars.
    :param lines: the line of each path, counted from 1.
    :ivar readable: whether the document is a mapping in YAML, or empty.
    """

    __slots__ = ("file", "content", "lines", "readable")

    def __init__(self, file: str, content: Json, lines: dict[KeyPath, int]) -> None:
        self.file = file
        self.content = content
        self.lines = lines
        self.readable = False

    def locate(self, path: KeyPath) -> SourceLocation:
        """Return where `path`, or the nearest mapping around it, is stated."""
        while path and path not in self.lines:
            path = path[:-1]
        return SourceLocation(self.file, self.lines.get(path))


def overlay_file(site: str) -> str:
    """Return the name of the overlay of `site`."""
    return f"overlays/{site}.yaml"


def parse_document(
    file: str, text: str, faults: list[ConfigurationError]
) -> ParsedDocument:
    """Read one document; append what is wrong with it to `faults`."""
    parsed = ParsedDocument(file, {}, {})
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        reason = f"longer than {MAX_DOCUMENT_CHARACTERS} characters"
        faults.append(ConfigurationSyntaxError(SourceLocation(file, None), (), reason))
        return parsed
    try:
        DocumentReader(parsed, faults).read(text)
    except yaml.YAMLError as error:
        faults.append(syntax_error(file, error))
    except UnicodeEncodeError:
        faults.append(
            ConfigurationSyntaxError(SourceLocation(file, None), (), "not Unicode text")
        )
    return parsed


def syntax_error(file: str, error: yaml.YAMLError) -> ConfigurationSyntaxError:
    """Return a fault that says what the YAML parser found."""
    mark = getattr(error, "problem_mark", None)
    line = None if mark is None else mark.line + 1
    reason = getattr(error, "problem", None) or "not readable as YAML"
    return ConfigurationSyntaxError(SourceLocation(file, line), (), str(reason))


class DocumentReader:
    """Turn the nodes of one YAML document into plain values with lines."""

    __slots__ = ("parsed", "faults", "loader", "seen")

    def __init__(
        self, parsed: ParsedDocument, faults: list[ConfigurationError]
    ) -> None:
        self.parsed = parsed
        self.faults = faults
        self.seen: set[int] = set()

    def read(self, text: str) -> None:
        """Fill in the values and lines.

        :raises yaml.YAMLError: if `text` is not YAML.
        """
        check_nesting_depth(text)
        self.loader = Loader(text)
        try:
            node = self.loader.get_single_node()
            if node is None or node.tag == f"{TAG}null":
                self.parsed.readable = True
                return
            values = self.value(node, ())
        finally:
            self.loader.dispose()
        if not isinstance(values, dict):
            self.add_error(node, (), "a mapping is expected")
            return
        self.parsed.content = values
        self.parsed.readable = True

    def value(self, node: yaml.Node, path: KeyPath) -> Any:
        """Return the plain value of `node`."""
        self.parsed.lines.setdefault(path, node.start_mark.line + 1)
        # An alias may repeat its anchor without bound, so none is followed.
        if id(node) in self.seen:
            self.add_error(node, path, "aliases are not accepted")
            return None
        self.seen.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self.mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return self.sequence(node, path)
        return self.scalar(node, path)

    def mapping(self, node: yaml.MappingNode, path: KeyPath) -> Json:
        """Return the plain value of a mapping."""
        values: Json = {}
        for key_node, value_node in node.value:
            key = self.key(key_node, path)
            if key is None:
                continue
            if not path and key in RENAMED_KEYS:
                key = self.current_key(key)
            place = (*path, key)
            line = key_node.start_mark.line + 1
            if key in values:
                reason = f"stated twice; first in line {self.parsed.lines[place]}"
                mark = SourceLocation(self.parsed.file, line)
                self.faults.append(DuplicateKeyError(mark, place, reason))
                continue
            self.parsed.lines[place] = line
            values[key] = self.value(value_node, place)
        return values

    def current_key(self, key: str) -> str:
        """Return what a section is called now; its former name is still read."""
        name = RENAMED_KEYS[key]
        file = self.parsed.file
        log.warning("{} states {}, which is called {} now.", file, key, name)
        return name

    def key(self, node: yaml.Node, path: KeyPath) -> str | None:
        """Return a key, or None if it is not a text."""
        if isinstance(node, yaml.ScalarNode):
            key = self.construct_scalar(node)
            if isinstance(key, str):
                return key
        self.add_error(node, path, "keys must be texts; put quotes around it")
        return None

    def sequence(self, node: yaml.SequenceNode, path: KeyPath) -> list[Any]:
        """Return the plain value of a sequence."""
        return [
            self.value(child, (*path, str(index)))
            for index, child in enumerate(node.value)
        ]

    def scalar(self, node: yaml.Node, path: KeyPath) -> Any:
        """Return the plain value of a scalar."""
        value = self.construct_scalar(node)
        if value is UNSUPPORTED_SCALAR:
            reason = "a text, number or truth value is expected; quote other texts"
            self.add_error(node, path, reason)
            return None
        if isinstance(value, float) and not math.isfinite(value):
            self.add_error(node, path, "a finite number is expected")
            return None
        return value

    def construct_scalar(self, node: yaml.Node) -> Any:
        """Return what YAML makes of a scalar, or `UNACCEPTED`."""
        if node.tag == f"{TAG}str":
            return node.value
        if node.tag not in NUMBER_TAGS:
            return UNSUPPORTED_SCALAR
        try:
            return self.loader.construct_object(node)
        except (ValueError, KeyError):
            return UNSUPPORTED_SCALAR

    def add_error(self, node: yaml.Node, path: KeyPath, reason: str) -> None:
        """Take note of a fault at `node`."""
        mark = SourceLocation(self.parsed.file, node.start_mark.line + 1)
        self.faults.append(ConfigurationSyntaxError(mark, path, reason))


class NestingTooDeepError(yaml.YAMLError):
    """Say that a document nests beyond what is accepted.

    :param problem_mark: where, as the YAML parser's own errors have it.
    """

    def __init__(self, problem_mark: Any) -> None:
        self.problem = f"nested deeper than {MAX_DEPTH} levels"
        self.problem_mark = problem_mark
        super().__init__(self.problem)


def check_nesting_depth(text: str) -> None:
    """Raise `DeepNesting` if `text` nests beyond what is accepted.

    The composer recurses, so that the depth is bounded before it runs.
    """
    depth = 0
    for event in yaml.parse(text, Loader=Loader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise NestingTooDeepError(event.start_mark)
