"""A page with the brief's measures over a period, with plots.

The system keeps no history, since its VMs keep nothing; the tool samples the
status at regular intervals and draws what it saw.
"""

import base64
import dataclasses
import html
import io
import typing
from collections import abc

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>arbutuscove report</title>
</head><body><h1>arbutuscove report</h1>
<p>{count} samples over {seconds:.0f} s, as daemon {daemon} sees it.</p>
{plots}
</body></html>
"""


class PlotterMissingError(Exception):
    """The plotting library is not installed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """A status and the seconds since the first sample."""

    seconds: float
    status: dict[str, typing.Any]


def build_page(samples: abc.Sequence[Sample]) -> str:
    """Returns an HTML page with the measures of the samples.

    Raises:
        PlotterMissingError: matplotlib is not installed.
    """
    times = [sample.seconds for sample in samples]
    series = {
        "Replicas not serving": [_count_down(s.status) for s in samples],
        "Stranded VMs": [len(s.status["stranded"]) for s in samples],
        "Waiting requests": [s.status["waiting"] for s in samples],
    }
    plots = "\n".join(
        _build_plot(title, times, values) for title, values in series.items()
    )
    return PAGE.format(
        count=len(samples),
        seconds=times[-1],
        daemon=html.escape(samples[-1].status["daemon"]),
        plots=plots,
    )


def _count_down(status: dict[str, typing.Any]) -> int:
    return sum(not item["serving"] for item in status["replicas"])


def _build_plot(
    title: str, times: list[float], values: abc.Sequence[float]
) -> str:
    try:
        from matplotlib import figure as figure_module
    except ImportError as error:
        raise PlotterMissingError("install matplotlib for reports") from error
    figure = figure_module.Figure(figsize=(8, 2.5), layout="constrained")
    axes = figure.subplots()
    axes.step(times, values, where="post")
    axes.set_title(title)
    axes.set_xlabel("seconds")
    axes.set_ylim(bottom=0)
    output = io.BytesIO()
    figure.savefig(output, format="png")
    encoded = base64.b64encode(output.getvalue()).decode()
    return f'<img alt="{title}" src="data:image/png;base64,{encoded}">'
