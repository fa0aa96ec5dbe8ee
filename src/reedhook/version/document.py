"""Parsing of YAML configuration documents with line numbers."""

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
    """Hold the YAML texts of one version of the configuration.

    :param base: the text of the base file.
    :param overlays: the text of the overlay of each site.
    """

    __slots__ = ("base", "overlays")

    def __init__(self, base: str, overlays: dict[str, str]) -> None:
        self.base = base
        self.overlays = overlays

    def to_json(self) -> Json:
        """Return the documents in wire format."""
        return {"base": self.base, "overlays": self.overlays}

    @classmethod
    def from_json(cls, message: Json) -> "ConfigurationDocuments":
        """Parse documents in wire format.

        :raises WireError: if the message is malformed.
        """
        base = message.get("base")
        overlays = message.get("overlays", {})
        if not isinstance(base, str) or not isinstance(overlays, dict):
            raise WireError("base must be a string and overlays an object of strings")
        if not all(isinstance(text, str) for text in overlays.values()):
            raise WireError("overlays must be an object of strings")
        return cls(base, overlays)


class ParsedDocument(Record):
    """Hold the values of a document and the line of each path.

    :param file: the document's name.
    :param content: the values as plain dicts, lists and scalars.
    :param lines: the line of each path, counted from 1.
    :ivar readable: whether the document is a YAML mapping or empty.
    """

    __slots__ = ("file", "content", "lines", "readable")

    def __init__(self, file: str, content: Json, lines: dict[KeyPath, int]) -> None:
        self.file = file
        self.content = content
        self.lines = lines
        self.readable = False

    def locate(self, path: KeyPath) -> SourceLocation:
        """Return the location of `path` or of its nearest enclosing mapping."""
        while path and path not in self.lines:
            path = path[:-1]
        return SourceLocation(self.file, self.lines.get(path))


def overlay_file(site: str) -> str:
    """Return the file name of the overlay of `site`."""
    return f"overlays/{site}.yaml"


def parse_document(
    file: str, text: str, faults: list[ConfigurationError]
) -> ParsedDocument:
    """Parse one document; append its errors to `faults`."""
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
    """Convert an error of the YAML parser."""
    mark = getattr(error, "problem_mark", None)
    line = None if mark is None else mark.line + 1
    reason = getattr(error, "problem", None) or "not readable as YAML"
    return ConfigurationSyntaxError(SourceLocation(file, line), (), str(reason))


class DocumentReader:
    """Convert the nodes of one YAML document to plain values with lines."""

    __slots__ = ("parsed", "faults", "loader", "seen")

    def __init__(
        self, parsed: ParsedDocument, faults: list[ConfigurationError]
    ) -> None:
        self.parsed = parsed
        self.faults = faults
        self.seen: set[int] = set()

    def read(self, text: str) -> None:
        """Parse `text` and fill in the values and lines.

        :raises yaml.YAMLError: if `text` is not valid YAML or nested too deeply.
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
            self.add_error(node, (), "expected a mapping")
            return
        self.parsed.content = values
        self.parsed.readable = True

    def value(self, node: yaml.Node, path: KeyPath) -> Any:
        """Return the plain value of `node`."""
        self.parsed.lines.setdefault(path, node.start_mark.line + 1)
        # Nested aliases can expand exponentially, so none are accepted.
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
            key_path = (*path, key)
            line = key_node.start_mark.line + 1
            if key in values:
                reason = f"stated twice; first in line {self.parsed.lines[key_path]}"
                mark = SourceLocation(self.parsed.file, line)
                self.faults.append(DuplicateKeyError(mark, key_path, reason))
                continue
            self.parsed.lines[key_path] = line
            values[key] = self.value(value_node, key_path)
        return values

    def current_key(self, key: str) -> str:
        """Return the current name of a renamed section and log a warning."""
        name = RENAMED_KEYS[key]
        file = self.parsed.file
        log.warning("{} uses {}, which was renamed to {}.", file, key, name)
        return name

    def key(self, node: yaml.Node, path: KeyPath) -> str | None:
        """Return a key, or None if it is not a string."""
        if isinstance(node, yaml.ScalarNode):
            key = self.construct_scalar(node)
            if isinstance(key, str):
                return key
        self.add_error(node, path, "keys must be strings; quote the key")
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
            reason = "expected a string, number or boolean; quote other values"
            self.add_error(node, path, reason)
            return None
        if isinstance(value, float) and not math.isfinite(value):
            self.add_error(node, path, "a finite number is expected")
            return None
        return value

    def construct_scalar(self, node: yaml.Node) -> Any:
        """Return the value of a scalar, or `UNSUPPORTED_SCALAR`."""
        if node.tag == f"{TAG}str":
            return node.value
        if node.tag not in NUMBER_TAGS:
            return UNSUPPORTED_SCALAR
        try:
            return self.loader.construct_object(node)
        except (ValueError, KeyError):
            return UNSUPPORTED_SCALAR

    def add_error(self, node: yaml.Node, path: KeyPath, reason: str) -> None:
        """Append an error at `node`."""
        mark = SourceLocation(self.parsed.file, node.start_mark.line + 1)
        self.faults.append(ConfigurationSyntaxError(mark, path, reason))


class NestingTooDeepError(yaml.YAMLError):
    """Signal that a document is nested deeper than `MAX_DEPTH`.

    :param problem_mark: the location, as in the errors of the YAML parser.
    """

    def __init__(self, problem_mark: Any) -> None:
        self.problem = f"nested deeper than {MAX_DEPTH} levels"
        self.problem_mark = problem_mark
        super().__init__(self.problem)


def check_nesting_depth(text: str) -> None:
    """Check that `text` is nested at most `MAX_DEPTH` levels deep.

    The YAML composer is recursive, so the depth must be checked before it runs.

    :raises NestingTooDeepError: if the limit is exceeded.
    """
    depth = 0
    for event in yaml.parse(text, Loader=Loader):
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            raise NestingTooDeepError(event.start_mark)
