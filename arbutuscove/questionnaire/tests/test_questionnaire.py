"""Guards against configurations that are not approved or cannot work."""

import dataclasses
import pathlib

import pytest

from arbutuscove.config import model
from arbutuscove.questionnaire import answers as answers_module
from arbutuscove.questionnaire import checks
from arbutuscove.questionnaire import generation
from arbutuscove.questionnaire import interview
from arbutuscove.questionnaire import review

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.yaml")), ids=str)
def test_questionnaire_examples_are_valid(path):
    """The shipped examples must be accepted, as new users start from them."""
    assert checks.find_faults(answers_module.read_answers(path)) == []


def test_questionnaire_reports_all_contradictions_together():
    """Faults reported one at a time wear operators down until they accept."""
    answers = answers_module.read_answers(EXAMPLES / "nilavu.yaml")
    work_items = tuple(
        dataclasses.replace(item, keep_percent=50.0, someone_waits=False)
        for item in answers.work
    )
    broken = dataclasses.replace(
        answers,
        work=work_items,
        model=dataclasses.replace(answers.model, vms_per_replica=40),
        approval=dataclasses.replace(
            answers.approval, accelerators=8, bill_per_day=10.0
        ),
    )
    faulty = {fault.answer for fault in checks.find_faults(broken)}
    assert faulty >= {
        "work.keep_percent",
        "work[0].someone_waits",
        "model.vms_per_replica",
        "approval.accelerators",
        "approval.bill_per_day",
    }


def test_plain_service_names_a_failure_domain_for_each_address_or_none():
    """Guards against an address that is not evacuated with its domain."""
    answers = answers_module.read_answers(EXAMPLES / "demo-plain.yaml")

    def find_faults(*domains):
        plain = answers_module.Plain(
            addresses=("h:1", "h:2"), failure_domains=domains
        )
        faults = checks.find_faults(dataclasses.replace(answers, plain=plain))
        return [fault.answer for fault in faults]

    assert find_faults() == find_faults("a", "b") == []
    assert find_faults("a") == ["plain.failure_domains"]
    plain = answers_module.Plain(
        addresses=("h:1", "h:2"), failure_domains=("a", "b")
    )
    service = generation.generate(dataclasses.replace(answers, plain=plain))
    domains = map(service.plain.get_failure_domain, ("h:1", "h:2", "h:3"))
    assert list(domains) == ["a", "b", ""]


def test_questionnaire_traces_every_setting():
    """A generated value without an origin cannot be reviewed."""
    answers = answers_module.read_answers(EXAMPLES / "siam.yaml")
    traced = {item.setting for item in generation.trace_origins(answers)}
    service = generation.generate(answers)
    shown = review.find_differences(None, service)
    settings = {item.setting.partition("[")[0] for item in shown}
    assert settings <= {name.partition("[")[0] for name in traced}


def test_review_shows_only_what_changes():
    """A review that hides or invents a change misleads the operator."""
    answers = answers_module.read_answers(EXAMPLES / "siam.yaml")
    old = generation.generate(answers)
    ranks = (dataclasses.replace(old.ranks[0], worth=7.0), *old.ranks[1:])
    new = dataclasses.replace(old, ranks=ranks)
    version = model.ServiceVersion(sequence=4, version=2, service=old)
    built = review.build_review(version, new)
    assert [str(item) for item in built.differences] == [
        "ranks[bid].worth: 1000.0 -> 7.0"
    ]
    assert built.base_version == 2
    assert built.refused_first[0] == "catalogue"


def test_questionnaire_slots_kept_for_urgent_work():
    """An answer that does not reach the configuration has no effect."""
    answers = answers_module.read_answers(EXAMPLES / "siam.yaml")
    backend = generation.generate(answers).model
    assert (backend.headroom, backend.urgent_share) == (0.12, 0.25)
    origins = {
        item.setting: item.answer for item in generation.trace_origins(answers)
    }
    assert origins["model.headroom"] == "model.keep_free_percent"
    assert origins["model.urgent_share"] == "model.urgent_only_percent"
    other = answers_module.read_answers(EXAMPLES / "nilavu.yaml")
    assert generation.generate(other).model.headroom == 0.2


@pytest.mark.parametrize("value", [-1.0, 100.0, float("nan")])
@pytest.mark.parametrize("name", ["keep_free_percent", "urgent_only_percent"])
def test_questionnaire_refuses_impossible_shares(name, value):
    """A share of 100% would leave no slot for less urgent work."""
    answers = answers_module.read_answers(EXAMPLES / "siam.yaml")
    backend = dataclasses.replace(answers.model, **{name: value})
    broken = dataclasses.replace(answers, model=backend)
    faulty = [fault.answer for fault in checks.find_faults(broken)]
    assert faulty == [f"model.{name}"]


def test_interview_asks_again_and_gives_readable_answers(tmp_path):
    """A retry after an invalid value must not lose the earlier answers."""
    responses = {
        "Name": "desk",
        "Key digests": "a" * 64,
        "Name of the service": "chat",
        "Name of your team": "team",
    }
    invalid_responses = ["many"]

    def ask(question, default):
        if invalid_responses and question.startswith("Accelerators approved"):
            return invalid_responses.pop()
        for start, answer in responses.items():
            if question.partition(",")[0] == start:
                return answer
        return default or "8"

    def confirm(question):
        return "someone wait" in question or "model served" in question

    entered = interview.Interview(ask, confirm).run()
    path = tmp_path / "answers.yaml"
    path.write_text(interview.write_answers(entered))
    answers = answers_module.read_answers(path)
    assert answers.approval.accelerators == 8
    assert checks.find_faults(answers) == []
