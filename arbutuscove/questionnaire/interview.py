"""Prompts for the answers of the questionnaire and writes an answer file.

The order, types and defaults of the questions are derived from the answer data
classes, so that they are defined only once.
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
    "failure_domains": "Failure domain of each address (none: unknown)",
    "accelerators": "Accelerators approved",
    "tokens_per_day": "Generated tokens a day (0: no limit)",
    "price_per_accelerator_hour": "Price of one accelerator for one hour",
    "bill_per_day": "Highest bill for one day (0: no limit)",
}

Ask = abc.Callable[[str, str], str]
Confirm = abc.Callable[[str], bool]


class Interview:
    """Prompts for a value of each field of the answer data classes.

    Args:
        ask: prompts with a question and a default; returns the entered text.
        confirm: prompts with a yes-or-no question; returns whether it was yes.
    """

    def __init__(self, ask: Ask, confirm: Confirm) -> None:
        self._ask = ask
        self._confirm = confirm

    def run(self) -> dict[str, typing.Any]:
        """Prompts for all answers; returns the content of the answer file."""
        answers = self._ask_class(answers_module.Answers)
        return {"format": answers_module.FORMAT, **answers}

    def _ask_class(self, answer_class: type) -> dict[str, typing.Any]:
        hints = typing.get_type_hints(answer_class)
        answers = {}
        for field in dataclasses.fields(answer_class):
            if field.name == "format":
                continue
            value = self._ask_field(field, hints[field.name])
            if value is not None:
                answers[field.name] = value
        return answers

    def _ask_field(
        self, field: dataclasses.Field[typing.Any], hint: typing.Any
    ) -> typing.Any:
        question = QUESTIONS[field.name]
        nested_class = _get_dataclass(hint)
        if nested_class is not None and typing.get_origin(hint) is tuple:
            return self._ask_list(question, nested_class)
        if nested_class is not None:
            is_optional = field.default is None
            if is_optional and not self._confirm(question):
                return None
            return self._ask_class(nested_class)
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

    def _ask_list(self, question: str, answer_class: type) -> list[typing.Any]:
        answers = [self._ask_class(answer_class)]
        while self._confirm(f"{question}: one more"):
            answers.append(self._ask_class(answer_class))
        return answers


def write_answers(answers: dict[str, typing.Any]) -> str:
    """Returns the answers as the YAML text of an answer file."""
    return yaml.safe_dump(answers, sort_keys=False)


def _get_dataclass(hint: typing.Any) -> type | None:
    for candidate in (hint, *typing.get_args(hint)):
        if dataclasses.is_dataclass(candidate):
            return typing.cast(type, candidate)
    return None
