"""Guards against configurations that nobody approved or that cannot work."""

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
    """A shipped example that is refused would stop every newcomer."""
    assert checks.find_faults(answers_module.read_answers(path)) == []


def test_questionnaire_reports_all_contradictions_together():
    """Faults reported one at a time make operators accept by attrition."""
    answers = answers_module.read_answers(EXAMPLES / "nilavu.yaml")
    kinds = tuple(
        dataclasses.replace(item, keep_percent=50.0, someone_waits=False)
        for item in answers.work
    )
    broken = dataclasses.replace(
        answers,
        work=kinds,
        model=dataclasses.replace(answers.model, vms_per_replica=40),
        approval=dataclasses.replace(
            answers.approval, accelerators=8, bill_per_day=10.0
        ),
    )
    found = {fault.answer for fault in checks.find_faults(broken)}
    assert found >= {
        "work.keep_percent",
        "work[0].someone_waits",
        "model.vms_per_replica",
        "approval.accelerators",
        "approval.bill_per_day",
    }


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
    found = review.build_review(version, new)
    assert [str(item) for item in found.differences] == [
        "ranks[bid].worth: 1000.0 -> 7.0"
    ]
    assert found.base_version == 2
    assert found.refused_first[0] == "catalogue"


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
    """A share of 100% would leave no slot to less urgent work."""
    answers = answers_module.read_answers(EXAMPLES / "siam.yaml")
    asked = dataclasses.replace(answers.model, **{name: value})
    broken = dataclasses.replace(answers, model=asked)
    found = [fault.answer for fault in checks.find_faults(broken)]
    assert found == [f"model.{name}"]


def test_interview_asks_again_and_gives_readable_answers(tmp_path):
    """A slip in one answer must not lose all answers before it."""
    given = {
        "Name": "desk",
        "Key digests": "a" * 64,
        "Name of the service": "chat",
        "Name of your team": "team",
    }
    slips = ["many"]

    def ask(question, default):
        if slips and question.startswith("Accelerators approved"):
            return slips.pop()
        for start, answer in given.items():
            if question.partition(",")[0] == start:
                return answer
        return default or "8"

    def confirm(question):
        return "someone wait" in question or "model served" in question

    found = interview.Interview(ask, confirm).run()
    path = tmp_path / "answers.yaml"
    path.write_text(interview.write_answers(found))
    answers = answers_module.read_answers(path)
    assert answers.approval.accelerators == 8
    assert checks.find_faults(answers) == []
