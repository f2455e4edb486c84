"""HTML report with plots of the system status over a period.

The system stores no history, because its VMs retain no data. The tool samples
the status at regular intervals and plots the samples.
"""

import base64
import dataclasses
import html
import io
import typing
from collections import abc

PAGE_TEMPLATE = """<!doctype html>
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
    """A status and its time.

    Attributes:
        seconds: Time since sampling began.
        status: Decoded `SystemStatus`.
    """

    seconds: float
    status: dict[str, typing.Any]


def build_page(samples: abc.Sequence[Sample]) -> str:
    """Returns an HTML page with plots of the samples.

    Raises:
        PlotterMissingError: matplotlib is not installed.
    """
    times = [sample.seconds for sample in samples]
    series = {
        "Replicas not serving": [_count_not_serving(s.status) for s in samples],
        "Stranded VMs": [len(s.status["stranded"]) for s in samples],
        "Waiting requests": [s.status["waiting"] for s in samples],
    }
    plots = "\n".join(
        _build_plot(title, times, values) for title, values in series.items()
    )
    return PAGE_TEMPLATE.format(
        count=len(samples),
        seconds=times[-1],
        daemon=html.escape(samples[-1].status["daemon"]),
        plots=plots,
    )


def _count_not_serving(status: dict[str, typing.Any]) -> int:
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
