"""Asks the questionnaire at a terminal and writes an answer file.

The questions come from the answer data classes, so that a new answer needs no
second list of questions.
"""

import dataclasses
import typing
from collections import abc

import msgspec
import yaml

from arbutuscove.questionnaire import answers as answers_module

QUESTIONS = {
    "service": "Name of the service",
    "team": "Name of your team",
    "work": "Kinds of work, from most to least urgent",
    "callers": "Callers (client accounts)",
    "approval": "What the operators approved",
    "model": "Is it a model served by replicas",
    "plain": "Is it a plain service",
    "name": "Name",
    "worth": "Worth of one answer compared with other work",
    "first_token_seconds": "Target for the first token, in seconds",
    "keep_percent": "Percent of capacity that it keeps in a flood of others",
    "at_most_percent": "Percent of capacity that it may take at most",
    "someone_waits": "Does someone wait for the answer",
    "key_digests": "Key digests, separated by commas (see new-key)",
    "share": "Share compared with other callers",
    "urgent_tokens_per_second": "Urgent tokens a second it is entitled to",
    "vms_per_replica": "VMs of one replica",
    "replicas": "Replicas",
    "accelerators_per_vm": "Accelerators of one VM",
    "vms_per_fabric_domain": "VMs of the largest fabric domain (0: unknown)",
    "spares_per_fabric_domain": "Spare VMs in each fabric domain",
    "engines_check_fencing": "Do all engines refuse old fencing tokens",
    "urgent_only_percent": "Percent of each replica for the most urgent work",
    "keep_free_percent": "Percent of each replica that other work leaves free",
    "addresses": "Addresses, separated by commas",
    "repeatable_methods": "HTTP methods that may be repeated",
    "accelerators": "Accelerators approved",
    "tokens_per_day": "Generated tokens a day (0: no limit)",
    "price_per_accelerator_hour": "Price of one accelerator for one hour",
    "bill_per_day": "Highest bill for one day (0: no limit)",
}

Ask = abc.Callable[[str, str], str]
Confirm = abc.Callable[[str], bool]


class Interview:
    """Asks for values by type.

    `ask` gets a question and a default and returns text; `confirm` gets a
    yes-or-no question.
    """

    def __init__(self, ask: Ask, confirm: Confirm) -> None:
        self._ask = ask
        self._confirm = confirm

    def run(self) -> dict[str, typing.Any]:
        """Returns the answers in the form of the answer file."""
        found = self._ask_class(answers_module.Answers)
        return {"format": answers_module.FORMAT, **found}

    def _ask_class(self, kind: type) -> dict[str, typing.Any]:
        hints = typing.get_type_hints(kind)
        found = {}
        for field in dataclasses.fields(kind):
            if field.name == "format":
                continue
            value = self._ask_field(field, hints[field.name])
            if value is not None:
                found[field.name] = value
        return found

    def _ask_field(
        self, field: dataclasses.Field[typing.Any], hint: typing.Any
    ) -> typing.Any:
        question = QUESTIONS[field.name]
        inner = _find_class(hint)
        if inner is not None and typing.get_origin(hint) is tuple:
            return self._ask_list(question, inner)
        if inner is not None:
            optional = field.default is None
            if optional and not self._confirm(question):
                return None
            return self._ask_class(inner)
        if hint is bool:
            return self._confirm(question)
        default = field.default
        if default is dataclasses.MISSING:
            default = ""
        if isinstance(default, tuple):
            default = ", ".join(default)
        return self._ask_value(question, str(default), hint)

    def _ask_value(
        self, question: str, default: str, hint: typing.Any
    ) -> typing.Any:
        while True:
            text = self._ask(question, default)
            if typing.get_origin(hint) is tuple:
                items = text.split(",")
                return [item.strip() for item in items if item.strip()]
            try:
                return msgspec.convert(text, hint, strict=False)
            except msgspec.ValidationError:
                question = f"{question.partition(' (not ')[0]} (not {text!r})"

    def _ask_list(self, question: str, kind: type) -> list[typing.Any]:
        found = [self._ask_class(kind)]
        while self._confirm(f"{question}: one more"):
            found.append(self._ask_class(kind))
        return found


def write_answers(found: dict[str, typing.Any]) -> str:
    """Returns the text of an answer file."""
    return yaml.safe_dump(found, sort_keys=False)


def _find_class(hint: typing.Any) -> type | None:
    for candidate in (hint, *typing.get_args(hint)):
        if dataclasses.is_dataclass(candidate):
            return typing.cast(type, candidate)
    return None
