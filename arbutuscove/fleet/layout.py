"""Number of groups of each model, and their placement in fabric domains.

A group never spans fabric domains, since that slows every step. A whole domain
can fail at once, so the groups of each model are spread over the domains. With
few domains they are spread evenly. With many domains, each domain is filled
with a single model, provided that the model has groups in enough other
domains: the VMs left over from a lost group then complete the next one.
"""

from collections import abc

from arbutuscove.catalog import model as catalog_model

# From this number of domains on, each is filled with groups of one model.
MIN_DOMAINS_FOR_DEDICATION = 8
# With that many domains, a model is spread over at least this number of them.
MIN_DOMAINS_PER_MODEL = 4


def compute_target_counts(
    engine: catalog_model.Engine, count: int
) -> abc.Mapping[str, int]:
    """Divides VMs among the models in proportion to their share of the work.

    Work is counted in VM time, so that a model's share of the work equals its
    share of the VMs. Each model gets at least one group.

    Args:
        engine: the models with their shares and group sizes.
        count: number of VMs.

    Returns:
        The target number of groups by model.
    """
    return {
        spec.name: max(1, round(count * spec.share / spec.size))
        for spec in engine.models
    }


def score_domain(
    spec: catalog_model.ModelSpec,
    uses: abc.Mapping[str, int],
    target: int,
    has_dedicated_domains: bool,
) -> tuple[int, int]:
    """Computes how well a domain suits one more group; lower is better.

    Args:
        spec: the model of the group.
        uses: number of VMs in the domain by the model that they serve.
        target: target number of groups of the model.
        has_dedicated_domains: whether each domain is filled with one model.

    Returns:
        A sort key.
    """
    here = uses.get(spec.name, 0)
    groups = here // spec.size + 1
    is_crowded = groups * MIN_DOMAINS_PER_MODEL > target
    if is_crowded or not has_dedicated_domains:
        return (1, here)
    return (0, sum(uses.values()) - 2 * here)
