"""Text output of the command-line tool, as tables of aligned columns."""

import typing
from collections import abc


def build_table(
    titles: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[typing.Any]]
) -> str:
    """Returns a table of rows below a line of column titles.

    Example:
        >>> print(build_table(["name", "size"], [["a", 1], ["long", 22]]))
        name  size
        a     1
        long  22
    """
    cells = [list(titles)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*cells, strict=True)
    ]
    lines = []
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def format_status(status: dict[str, typing.Any]) -> str:
    """Returns a system status as text."""
    replicas = [
        (
            item["row"]["replica"],
            item["row"]["fabric_domain"],
            item["row"]["generation"],
            "serving" if item["serving"] else "not serving",
            f"{item['running']}/{item['slots']}",
        )
        for item in status["replicas"]
    ]
    stranded = [
        (item["vm"], item["fabric_domain"], item["reason"])
        for item in status["stranded"]
    ]
    daemons = [
        (d["name"], d["failure_domain"], d["sequence"], d["load"])
        for d in status["daemons"]
    ]
    serving = [(name, n) for name, n in status["serving"].items()]
    parts = [
        f"daemon {status['daemon']}: configuration {status['sequence']}, "
        f"{status['waiting']} requests waiting",
        build_table(["service", "serving replicas"], serving),
        build_table(
            ["replica", "fabric domain", "generation", "state", "slots used"],
            replicas,
        ),
        build_table(["stranded VM", "fabric domain", "reason"], stranded),
        build_table(
            ["daemon", "failure domain", "configuration", "requests"], daemons
        ),
    ]
    return "\n\n".join(parts)


def format_review(review: dict[str, typing.Any]) -> str:
    """Returns a review as text."""
    changes = [
        (item["setting"], item["before"], item["after"])
        for item in review["differences"]
    ]
    facts = [
        ("reviewed version", review["base_version"]),
        ("promised replicas", review["promised_replicas"]),
        ("approved accelerators", review["accelerators"]),
        ("worst bill per day", f"{review['worst_bill_per_day']:.2f}"),
        ("tokens per period", review["tokens_per_period"] or "no limit"),
        ("refused first", ", ".join(review["refused_first"])),
    ]
    parts = [
        build_table(["setting", "in force", "proposed"], changes),
        build_table(["fact", "value"], facts),
        f"To accept: arbutuscove accept FILE --base-version "
        f"{review['base_version']}",
    ]
    return "\n\n".join(parts)


def format_audit(page: dict[str, typing.Any]) -> str:
    """Returns audit entries as text, followed by missing entry numbers."""
    rows = []
    for item in page["items"]:
        entry = item["entry"]
        change = f"{entry['before']} -> {entry['after']}"
        rows.append(
            (
                item["number"],
                entry["time"],
                entry["actor"],
                entry["action"],
                entry["subject"],
                change,
                entry["reason"],
            )
        )
    titles = ["no", "time", "actor", "action", "subject", "change", "reason"]
    text = build_table(titles, rows)
    if page["gaps"]:
        text += f"\nmissing entries: {page['gaps']}"
    return text


def format_explanation(explanation: dict[str, typing.Any]) -> str:
    """Returns the steps of a request as text."""
    rows = [(e["time"], e["step"], e["detail"]) for e in explanation["events"]]
    return build_table(["time", "step", "detail"], rows)


def format_route(found: dict[str, typing.Any]) -> str:
    """Returns where a request would go as text, see `relay.explanation`."""
    verdict = found["verdict"]
    match verdict["verdict"]:
        case "sent":
            line = (
                f"goes to {verdict['backend']} (VM {verdict['vm']}, failure "
                f"domain {verdict['failure_domain'] or '-'})"
            )
        case "waits":
            line = f"waits behind at most {verdict['behind']} requests"
        case _:
            line = f"refused: {verdict['status']} {verdict['code']}"
            if verdict["retry_after"] is not None:
                line += f", may come again in {verdict['retry_after']:g} s"
    head = [
        ("route", found["route"] or "-"),
        ("service", found["service"] or "-"),
        ("model", found["model"] or "-"),
        ("account", found["account"] or "-"),
        ("priority", found["priority"]),
        ("evacuated domains", ", ".join(found["evacuated"]) or "none"),
        ("age of the list of VMs", _format_age(found["list_age"])),
    ]
    head += [
        (f"age of the load in {domain or '-'}", _format_age(age))
        for domain, age in found["load_ages"].items()
    ]
    slots = found["slots"]
    if slots is not None:
        head.append(
            (
                "slots",
                f"{slots['total']}, own use {slots['own']}, others "
                f"{slots['others']}, places {slots['places']}, "
                f"may send {slots['available']}",
            )
        )
    parts = [
        line,
        "\n".join(f"  because {reason}" for reason in found["reasons"]),
        build_table(["what", "value"], head),
    ]
    if found["options"]:
        titles = ["backend", "domain", "state", "running", "slots", "own place"]
        rows = [
            (
                option["backend"],
                option["failure_domain"] or "-",
                option["state"]
                if option["turn_in"] is None
                else f"{option['state']}, turn in {option['turn_in']:g} s",
                "-" if option["running"] is None else option["running"],
                option["slots"],
                "yes" if option["own"] else "",
            )
            for option in found["options"]
        ]
        parts.append(build_table(titles, rows))
    if found["unlisted"]:
        parts.append(f"{found['unlisted']} more backends")
    return "\n\n".join(parts)


def format_service_route(found: dict[str, typing.Any]) -> str:
    """Returns the administration API's explanation of a route as text."""
    match found["verdict"]:
        case "sent":
            line = f"goes to {found['replica']}"
        case "waits":
            line = f"waits behind at most {found['behind']} requests"
        case _:
            line = f"refused: {found['status']} {found['code']}"
            if found["retry_after"] is not None:
                line += f", may come again in {found['retry_after']:g} s"
    head = [
        ("service", found["service"]),
        ("account", found["account"]),
        ("rank", found["rank"]),
        ("evacuated domains", ", ".join(found["evacuated"]) or "none"),
    ]
    titles = ["replica", "fabric domain", "load", "slots", "own"]
    titles += ["credits", "urgent credits", "slowdown", "age of the load"]
    rows = [
        (
            item["replica"],
            item["fabric_domain"],
            item["load"],
            item["slots"],
            item["own"],
            item["common_credits"],
            item["urgent_credits"],
            item["slowdown"],
            _format_age(item["report_age"]),
        )
        for item in found["replicas"]
    ]
    parts = [
        line,
        f"  because {found['reason']}",
        build_table(["what", "value"], head),
        build_table(titles, rows),
    ]
    if found["unlisted"]:
        parts.append(f"{found['unlisted']} more replicas")
    return "\n\n".join(parts)


def _format_age(age: float | None) -> str:
    return "unknown" if age is None else f"{age:g} s"
