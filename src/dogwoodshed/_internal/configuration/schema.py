"""Validate a configuration document and build its model."""

import hashlib
import re
from typing import Annotated, Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, StrictBool, ValidationError

from dogwoodshed._internal.configuration.document import (
    Document,
    Path,
    duplicate_keys,
    key_lines,
    parse_document,
)
from dogwoodshed._internal.configuration.model import (
    Configuration,
    Kind,
    NotRunRule,
    Rank,
    Service,
    Upstream,
)
from dogwoodshed._internal.exceptions import InvalidDocumentError

# The platform limits a value to one megabyte.
MAX_TEXT_BYTES = 1_000_000
# A slightly late response is still useful, so the deadline exceeds the time limit.
DEFAULT_DEADLINE_FACTOR = 3

_Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
_UrlPath = Annotated[str, Field(pattern=r"^/[^\s?#]*$")]
_Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$")
]


class ValidationIssue(NamedTuple):
    """A validation error with its line and key."""

    source: str
    line: int
    key: str
    problem: str
    expected: str

    def __str__(self) -> str:
        text = f"{self.source}:{self.line}: {self.key}: {self.problem}"
        return f"{text}; expected {self.expected}" if self.expected else text


class _SchemaBase(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _RankSchema(_SchemaBase):
    name: _Name
    floor_percent: Annotated[float, Field(ge=0, le=100, strict=False)] = 0


class _NotRunSchema(_SchemaBase):
    status: Annotated[int, Field(ge=400, le=599)] = 503
    header: str = "x-not-run"


class _KindSchema(_SchemaBase):
    name: _Name
    method: Annotated[str, Field(pattern=r"^(\*|[A-Z]+)$")] = "*"
    path: _UrlPath
    rank: str
    idempotent: StrictBool
    time_limit_ms: Annotated[float, Field(gt=0, le=600_000, strict=False)]
    deadline_ms: Annotated[float, Field(gt=0, le=600_000, strict=False)] | None = None
    objective_percent: Annotated[float, Field(gt=0, lt=100, strict=False)] = 99.0


class _UpstreamSchema(_SchemaBase):
    address: _Address
    data_centre: _Name


class _ServiceSchema(_SchemaBase):
    name: _Name
    path_prefix: _UrlPath
    depends_on: list[str] = []
    slots_per_upstream: Annotated[int, Field(ge=1, le=10_000)]
    connections_per_upstream: Annotated[int, Field(ge=1, le=100_000)] = 250
    probe_budget_per_s: Annotated[float, Field(ge=0, le=1000, strict=False)] = 0.2
    probe_path: _UrlPath = "/load"
    upstreams: list[_UpstreamSchema] = []
    discover: _Name | None = None
    not_run: _NotRunSchema = _NotRunSchema()
    kinds: Annotated[list[_KindSchema], Field(min_length=1)]


class _ConfigurationSchema(_SchemaBase):
    fleet: _Name
    ranks: Annotated[list[_RankSchema], Field(min_length=3, max_length=3)]
    services: Annotated[list[_ServiceSchema], Field(min_length=1)]


def load_configuration(text: str, revision: int, source: str) -> Configuration:
    """Build a configuration; raises DocumentSyntaxError or InvalidDocumentError."""
    document = parse_document(text, source)
    validated, issues = _validate(document)
    if validated is None or issues:
        raise InvalidDocumentError(tuple(issues))
    digest = hashlib.sha256(text.encode()).hexdigest()[:16]
    return _build(validated, revision, digest)


def _validate(
    document: Document,
) -> tuple[_ConfigurationSchema | None, list[ValidationIssue]]:
    issues = [
        ValidationIssue(
            document.source, line, _format_path(path), "repeated key", "each key once"
        )
        # The search scans the whole text, which stalls the gateway if it is large.
        for path, line in (
            duplicate_keys(document.text) if document.has_duplicate_keys else ()
        )
    ]
    size = len(document.text.encode())
    if size > MAX_TEXT_BYTES:
        limit = f"at most {MAX_TEXT_BYTES} bytes"
        issues.append(
            ValidationIssue(document.source, 1, "(text)", f"{size} bytes", limit)
        )
    try:
        validated = _ConfigurationSchema.model_validate(document.value)
    except ValidationError as error:
        lines = key_lines(document.text)
        for entry in error.errors():
            issues.append(_schema_issue(document, lines, entry))
        return None, issues
    reference_issues = _check_references(validated)
    # Locating the lines takes as long as the rest of the validation, so it is skipped
    # for a valid document.
    lines = key_lines(document.text) if reference_issues else {}
    for path, problem, expected in reference_issues:
        line = _line_of(lines, path)
        issues.append(
            ValidationIssue(
                document.source, line, _format_path(path), problem, expected
            )
        )
    return validated, issues


def _schema_issue(
    document: Document, lines: dict[Path, int], entry: dict[str, Any]
) -> ValidationIssue:
    path = tuple(entry["loc"])
    line = _line_of(lines, path)
    if entry["type"] == "extra_forbidden":
        return ValidationIssue(
            document.source, line, _format_path(path), "unknown key", "no such key"
        )
    if entry["type"] == "missing":
        return ValidationIssue(
            document.source, line, _format_path(path), "missing key", "a value"
        )
    problem = f"got {entry['input']!r:.60}"
    expected = re.sub(
        r"^(Input|Value|String|List) should (be|have|match)?\s*", "", entry["msg"]
    )
    return ValidationIssue(document.source, line, _format_path(path), problem, expected)


def _line_of(lines: dict[Path, int], path: Path) -> int:
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _format_path(path: Path) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.lstrip(".") or "(text)"


def _check_references(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    return [
        *_check_names(document),
        *_check_floors(document),
        *_check_upstreams(document),
        *_check_ranks(document),
        *_check_dependencies(document),
    ]


def _check_names(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    issues: list[tuple[Path, str, str]] = []
    for field in ("name", "path_prefix"):
        issues += _find_duplicates(
            [
                (("services", index, field), getattr(service, field))
                for index, service in enumerate(document.services)
            ]
        )
    issues += _find_duplicates(
        [
            (("ranks", index, "name"), rank.name)
            for index, rank in enumerate(document.ranks)
        ]
    )
    for index, service in enumerate(document.services):
        issues += _find_duplicates(
            [
                (("services", index, "kinds", position, "name"), kind.name)
                for position, kind in enumerate(service.kinds)
            ]
        )
    return issues


def _find_duplicates(entries: list[tuple[Path, str]]) -> list[tuple[Path, str, str]]:
    seen: set[str] = set()
    issues = []
    for path, value in entries:
        if value in seen:
            issues.append((path, f"{value!r} is used twice", "a unique value"))
        seen.add(value)
    return issues


def _check_floors(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    total = sum(rank.floor_percent for rank in document.ranks)
    if total <= 100:
        return []
    return [(("ranks",), f"floors add up to {total:g} percent", "at most 100")]


def _check_upstreams(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    issues: list[tuple[Path, str, str]] = []
    for index, service in enumerate(document.services):
        path: Path = ("services", index)
        if bool(service.upstreams) == bool(service.discover):
            issues.append((path, "upstreams and discover", "exactly one of the two"))
        issues += _find_duplicates(
            [
                ((*path, "upstreams", position, "address"), upstream.address)
                for position, upstream in enumerate(service.upstreams)
            ]
        )
    return issues


def _check_ranks(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    rank_names = {rank.name for rank in document.ranks}
    issues = []
    for index, service in enumerate(document.services):
        for position, kind in enumerate(service.kinds):
            if kind.rank not in rank_names:
                path = ("services", index, "kinds", position, "rank")
                expected = "one of " + ", ".join(sorted(rank_names))
                issues.append((path, f"unknown rank {kind.rank!r}", expected))
    return issues


def _check_dependencies(document: _ConfigurationSchema) -> list[tuple[Path, str, str]]:
    graph = {service.name: service.depends_on for service in document.services}
    issues: list[tuple[Path, str, str]] = []
    for index, service in enumerate(document.services):
        for position, name in enumerate(service.depends_on):
            if name not in graph:
                path = ("services", index, "depends_on", position)
                issues.append((path, f"unknown service {name!r}", "a service's name"))
    cycle = _find_cycle(graph)
    if cycle:
        index = next(i for i, s in enumerate(document.services) if s.name == cycle[0])
        path = ("services", index, "depends_on")
        issues.append((path, f"cycle {' -> '.join(cycle)}", "no cycle"))
    return issues


def _find_cycle(graph: dict[str, list[str]]) -> list[str]:
    finished: set[str] = set()

    def visit(name: str, ancestors: list[str]) -> list[str]:
        if name in ancestors:
            return [*ancestors[ancestors.index(name) :], name]
        if name in finished or name not in graph:
            return []
        for dependency in graph[name]:
            cycle = visit(dependency, [*ancestors, name])
            if cycle:
                return cycle
        finished.add(name)
        return []

    for name in graph:
        cycle = visit(name, [])
        if cycle:
            return cycle
    return []


def _build(document: _ConfigurationSchema, revision: int, digest: str) -> Configuration:
    ranks = tuple(
        Rank(rank.name, position, rank.floor_percent / 100)
        for position, rank in enumerate(document.ranks)
    )
    by_name = {rank.name: rank for rank in ranks}
    services = tuple(_build_service(service, by_name) for service in document.services)
    return Configuration(revision, digest, document.fleet, ranks, services)


def _build_service(schema: _ServiceSchema, ranks: dict[str, Rank]) -> Service:
    return Service(
        name=schema.name,
        path_prefix=schema.path_prefix,
        depends_on=tuple(schema.depends_on),
        slots_per_upstream=schema.slots_per_upstream,
        connections_per_upstream=schema.connections_per_upstream,
        probe_budget_per_s=schema.probe_budget_per_s,
        probe_path=schema.probe_path,
        upstreams=tuple(
            Upstream(upstream.address, upstream.data_centre)
            for upstream in schema.upstreams
        ),
        discover=schema.discover,
        not_run=NotRunRule(schema.not_run.status, schema.not_run.header.lower()),
        kinds=tuple(_build_kind(kind, ranks) for kind in schema.kinds),
    )


def _build_kind(schema: _KindSchema, ranks: dict[str, Rank]) -> Kind:
    return Kind(
        name=schema.name,
        method=schema.method,
        path=schema.path,
        rank=ranks[schema.rank],
        idempotent=schema.idempotent,
        time_limit=schema.time_limit_ms / 1000,
        deadline=(schema.deadline_ms or DEFAULT_DEADLINE_FACTOR * schema.time_limit_ms)
        / 1000,
        objective=schema.objective_percent / 100,
    )
