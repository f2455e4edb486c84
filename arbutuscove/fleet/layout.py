"""How many groups each model has, and in which fabric domains.

Groups never span fabric domains, since that slows every step. The groups of
each model are spread over the domains, as a domain may go dark whole: evenly
over few domains; of many, each is filled with one model as far as the model is
left in enough others, so that what remains of a lost group completes the next
one.
"""

from collections import abc

from arbutuscove.catalog import model as catalog_model

# From so many domains on, each is filled with groups of one model.
MANY_DOMAINS = 8
# A model has at least so many domains, if there are many.
SPREAD = 4


def find_targets(
    engine: catalog_model.Engine, count: int
) -> abc.Mapping[str, int]:
    """Returns how many groups of each model `count` VMs are divided into.

    A model's share of the work is its share of the VMs, as work is counted in
    the time of VMs; each model gets one group at least.
    """
    return {
        spec.name: max(1, round(count * spec.share / spec.size))
        for spec in engine.models
    }


def rate_domain(
    spec: catalog_model.ModelSpec,
    uses: abc.Mapping[str, int],
    target: int,
    many_domains: bool,
) -> tuple[int, int]:
    """Returns how well a domain suits one more group; less is better.

    Args:
        spec: the model of the group.
        uses: VMs of the domain by the model that they serve.
        target: how many groups the model needs.
        many_domains: whether domains are filled with one model each.
    """
    here = uses.get(spec.name, 0)
    groups = here // spec.size + 1
    crowded = groups * SPREAD > target
    if crowded or not many_domains:
        return (1, here)
    return (0, sum(uses.values()) - 2 * here)
