"""Administration calls, independent of HTTP."""

import dataclasses
import datetime
import random
import re
import typing

from arbutuscove.admin import errors
from arbutuscove.admin import keys as keys_module
from arbutuscove.admin import preview
from arbutuscove.admin import resources
from arbutuscove.admin import status as status_module
from arbutuscove.admission import service as admission_module
from arbutuscove.audit import trail
from arbutuscove.config import acceptance
from arbutuscove.config import follower
from arbutuscove.config import keys as config_keys
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.membership import service as membership_module
from arbutuscove.observe import journal as journal_module
from arbutuscove.questionnaire import review as review_module
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import directory as directory_module
from arbutuscove.replicas import drains
from arbutuscove.replicas import evacuations
from arbutuscove.replicas import marks
from arbutuscove.storage import table as table_module

# Maximum wait for daemons to apply an accepted change. It is short, so that
# clients with a timeout of 2 s receive the response.
APPLIED_TIMEOUT = datetime.timedelta(seconds=1)
QUARANTINE_PREFIX = "quarantine/"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Operations:
    """Implements the administration calls of one daemon.

    Calls raise `AdminError` if the caller lacks the permission or the request
    is invalid.
    """

    def __init__(
        self,
        daemon: str,
        table: table_module.Table,
        clock: clock_module.Clock,
        keys: keys_module.AdminKeys,
        config: follower.ConfigFollower,
        directory: directory_module.ReplicaDirectory,
        board: board_module.StatusBoard,
        admission: admission_module.Admission,
        membership: membership_module.Membership,
        journal: journal_module.Journal,
    ) -> None:
        self._daemon = daemon
        self._table = table
        self._clock = clock
        self._keys = keys
        self._config = config
        self._directory = directory
        self._board = board
        self._admission = admission
        self._membership = membership
        self._journal = journal

    def identify(self, digest: str) -> keys_module.Identity:
        """Returns the identity of the caller whose key has this digest."""
        return self._keys.identify(digest)

    def list_services(
        self, caller: keys_module.Identity, after: str, limit: int
    ) -> resources.ServicePage:
        """Returns a page of the services that the caller may see."""
        services = self._config.get_snapshot().services
        visible = [
            services[name]
            for name in sorted(services)
            if name > after and caller.may_see(services[name].service.team)
        ]
        has_more = len(visible) > limit
        return resources.ServicePage(
            items=tuple(visible[:limit]),
            next=visible[limit - 1].service.name if has_more else "",
        )

    def get_service(
        self, caller: keys_module.Identity, name: str
    ) -> config_model.ServiceVersion:
        """Returns the newest accepted version of a service."""
        row = self._table.read(config_keys.service_key(name))
        version = None
        if row is not None:
            version = row.decode(config_model.ServiceVersion)
        if version is None or not caller.may_see(version.service.team):
            raise errors.AdminError(404, "unknown_service", name)
        return version

    def review(
        self,
        caller: keys_module.Identity,
        name: str,
        body: config_model.Service,
    ) -> review_module.Review:
        """Returns a comparison of a proposal with the version in force."""
        _check_service(name, body)
        return review_module.build_review(
            self._read_current_version(caller, name), body
        )

    def accept(
        self,
        caller: keys_module.Identity,
        name: str,
        body: acceptance.Proposal,
    ) -> resources.AcceptedChange:
        """Accepts a proposal if the reviewed version is still in force.

        Waits for up to `APPLIED_TIMEOUT` until the daemons apply the change.

        Returns:
            The change, and the daemons that have and have not applied it.

        Raises:
            AdminError: the proposal is invalid, the caller may not change the
                service, another version is in force, the write failed, or
                its result is unknown.
        """
        _check_service(name, body.service)
        in_force = self._read_current_version(caller, name)
        if not caller.may_change(body.service.team):
            raise errors.AdminError(403, "forbidden", "not your team")
        proposal = dataclasses.replace(
            body, author=f"{caller.name} ({body.author})"
        )
        return self._accept(proposal, in_force)

    def set_account_keys(
        self,
        caller: keys_module.Identity,
        name: str,
        account: str,
        body: resources.AccountKey,
    ) -> resources.AcceptedChange:
        """Replaces the key digests of a client account.

        Waits for the daemons as `accept` does.
        """
        if not all(DIGEST_PATTERN.fullmatch(d) for d in body.key_digests):
            raise errors.AdminError(400, "invalid_digest", "not SHA-256")
        version = self.get_service(caller, name)
        service = version.service
        if not caller.may_change(service.team):
            raise errors.AdminError(403, "forbidden", "not your team")
        if account not in {item.name for item in service.accounts}:
            raise errors.AdminError(404, "unknown_account", account)
        accounts = tuple(
            dataclasses.replace(item, key_digests=body.key_digests)
            if item.name == account
            else item
            for item in service.accounts
        )
        proposal = acceptance.Proposal(
            service=dataclasses.replace(service, accounts=accounts),
            base_version=body.base_version,
            author=caller.name,
            reason=f"keys of account {account} rotated",
        )
        return self._accept(proposal, version)

    def list_keys(
        self, caller: keys_module.Identity, after: str, limit: int
    ) -> resources.KeyPage:
        """Returns a page of administration keys, each by its digest."""
        _require_operator(caller)
        keys = self._keys.list_keys(after, limit + 1)
        has_more = len(keys) > limit
        return resources.KeyPage(
            items=tuple(keys[:limit]),
            next=keys[limit - 1].digest if has_more else "",
        )

    def put_key(
        self,
        caller: keys_module.Identity,
        digest: str,
        body: keys_module.Identity,
    ) -> keys_module.AdminKey:
        """Adds or changes an administration key by its digest."""
        _require_operator(caller)
        if not DIGEST_PATTERN.fullmatch(digest):
            raise errors.AdminError(400, "invalid_digest", "not SHA-256")
        key = keys_module.AdminKey(digest=digest, identity=body)
        return self._keys.put(caller.name, key)

    def delete_key(
        self, caller: keys_module.Identity, digest: str
    ) -> resources.KeyPage:
        """Deletes an administration key; returns an empty page."""
        _require_operator(caller)
        self._keys.delete(caller.name, digest)
        return resources.KeyPage(items=(), next="")

    def list_drains(self, caller: keys_module.Identity) -> resources.DrainList:
        """Returns the VMs that operators are draining."""
        return resources.DrainList(items=tuple(drains.read_drains(self._table)))

    def put_drain(
        self, caller: keys_module.Identity, vm: str, body: drains.Drain
    ) -> resources.DrainList:
        """Starts to drain a VM; returns all drains."""
        _require_operator(caller)
        drain = dataclasses.replace(body, vm=vm)
        drains.set_drain(self._table, self._clock, caller.name, vm, drain)
        return self.list_drains(caller)

    def delete_drain(
        self, caller: keys_module.Identity, vm: str
    ) -> resources.DrainList:
        """Ends the drain of a VM; returns the remaining drains."""
        _require_operator(caller)
        drains.set_drain(self._table, self._clock, caller.name, vm, None)
        return self.list_drains(caller)

    def list_evacuations(
        self, caller: keys_module.Identity
    ) -> resources.EvacuationList:
        """Returns the evacuated failure domains and all domains with VMs."""
        items = marks.read_marks(self._table, evacuations.KIND)
        vms = self._board.get_vms().values()
        domains = sorted({vm.failure_domain for vm in vms})
        return resources.EvacuationList(
            items=tuple(items), domains=tuple(domains)
        )

    def put_evacuation(
        self,
        caller: keys_module.Identity,
        domain: str,
        body: evacuations.Evacuation,
    ) -> resources.EvacuationList:
        """Evacuates a failure domain; returns all evacuations."""
        _require_operator(caller)
        if not evacuations.has_room(self._table, domain):
            raise errors.AdminError(
                409,
                "too_many_evacuations",
                f"{evacuations.MAX_DOMAINS} failure domains are evacuated;"
                " restore one first",
            )
        mark = dataclasses.replace(body, domain=domain)
        self._set_evacuation(caller, domain, mark)
        return self.list_evacuations(caller)

    def delete_evacuation(
        self, caller: keys_module.Identity, domain: str
    ) -> resources.EvacuationList:
        """Restores a failure domain; returns the remaining evacuations."""
        _require_operator(caller)
        self._set_evacuation(caller, domain, None)
        return self.list_evacuations(caller)

    def _set_evacuation(
        self,
        caller: keys_module.Identity,
        domain: str,
        mark: evacuations.Evacuation | None,
    ) -> None:
        marks.set_mark(
            self._table,
            self._clock,
            caller.name,
            evacuations.KIND,
            domain,
            mark,
        )

    def list_quarantine(
        self, caller: keys_module.Identity
    ) -> resources.QuarantineList:
        """Returns the digests of quarantined requests."""
        _require_operator(caller)
        rows = table_module.read_all(self._table, QUARANTINE_PREFIX)
        return resources.QuarantineList(
            digests=tuple(
                row.key.removeprefix(QUARANTINE_PREFIX) for row in rows
            )
        )

    def get_status(
        self, caller: keys_module.Identity
    ) -> resources.SystemStatus:
        """Returns the status of the system as this daemon observes it."""
        snapshot = self._config.get_snapshot()
        serving = {
            replica.replica: replica
            for name in snapshot.services
            for replica in self._directory.list_serving(name)
        }
        observed = status_module.Observation(
            daemon=self._daemon,
            snapshot=snapshot,
            waiting=self._admission.count_waiting(),
            rows=self._directory.get_rows(),
            serving=serving,
            vms=self._board.get_vms(),
            reports=self._board.get_reports(),
            daemons=self._list_daemons(),
        )
        return status_module.build_status(observed, caller)

    def explain(
        self, caller: keys_module.Identity, request_id: str
    ) -> resources.Explanation:
        """Returns the recorded steps of a request that this daemon received."""
        if caller.role == keys_module.Role.TEAM:
            raise errors.AdminError(403, "forbidden", "not for teams")
        daemon = request_id.rpartition(".")[0]
        if daemon != self._daemon:
            raise errors.AdminError(
                404, "other_daemon", f"ask daemon {daemon!r}"
            )
        steps = self._journal.get_steps(request_id)
        if not steps:
            raise errors.AdminError(404, "unknown_request", "no longer kept")
        return resources.Explanation(
            request_id=request_id,
            daemon=daemon,
            events=tuple(
                resources.RequestEvent(
                    time=step.time, step=step.name, detail=step.detail
                )
                for step in steps
            ),
        )

    def explain_route(
        self, caller: keys_module.Identity, name: str, **fields: typing.Any
    ) -> resources.RouteExplanation:
        """Returns where a request would go now; nothing is sent or taken.

        Args:
            caller: who asks.
            name: the service.
            **fields: those of `preview.Question`.
        """
        version = self._config.get_snapshot().services.get(name)
        if version is None or not caller.may_see(version.service.team):
            raise errors.AdminError(404, "unknown_service", name)
        now = self._clock.monotonic()
        work = preview.build_work(
            version.service, preview.Question(**fields), now
        )
        return preview.explain(
            self._admission,
            work,
            now,
            self._list_evacuated_domains(),
            random.Random(),
        )

    def _list_evacuated_domains(self) -> tuple[str, ...]:
        """Returns the evacuated domains with VMs, as this daemon knows them."""
        domains = {
            vm.failure_domain
            for name, vm in self._board.get_vms().items()
            if self._board.is_evacuated(name)
        }
        return tuple(sorted(domains))

    def list_audit_scopes(
        self, caller: keys_module.Identity
    ) -> resources.AuditScopes:
        """Returns the audit scopes with the newest entry number of each."""
        _require_not_team(caller)
        rows = table_module.read_all(self._table, trail.HEAD_PREFIX)
        return resources.AuditScopes(
            newest={
                row.key.removeprefix(trail.HEAD_PREFIX): int(
                    row.value["number"]
                )
                for row in rows
            }
        )

    def read_audit(
        self,
        caller: keys_module.Identity,
        scope: str,
        after: int,
        limit: int,
    ) -> resources.AuditPage:
        """Returns a page of audit entries of one scope.

        Args:
            caller: The identity of the caller.
            scope: The name of the audit scope.
            after: The last entry number of the previous page, 0 at first.
            limit: The maximum number of entries.
        """
        _require_not_team(caller)
        entries = trail.read_scope(self._table, scope, after, limit)
        return resources.AuditPage(
            items=tuple(entries),
            gaps=tuple(trail.find_gaps(entries)),
            next=entries[-1].number if len(entries) == limit else 0,
        )

    def _read_current_version(
        self, caller: keys_module.Identity, name: str
    ) -> config_model.ServiceVersion | None:
        row = self._table.read(config_keys.service_key(name))
        if row is None:
            return None
        version = row.decode(config_model.ServiceVersion)
        if not caller.may_see(version.service.team):
            raise errors.AdminError(403, "forbidden", "not your team")
        return version

    def _accept(
        self,
        proposal: acceptance.Proposal,
        in_force: config_model.ServiceVersion | None,
    ) -> resources.AcceptedChange:
        try:
            result = acceptance.accept(self._table, self._clock, proposal)
        except acceptance.AcceptanceUnavailableError as error:
            raise errors.AdminError(
                503, "table_unavailable", str(error)
            ) from error
        except acceptance.AcceptanceUnknownError as error:
            raise errors.AdminError(
                504, "outcome_unknown", f"review again: {error}"
            ) from error
        if result.is_error():
            raise self._build_conflict(proposal, result.error)
        change = result.ok
        report = self._membership.wait_until_applied(
            change.sequence, APPLIED_TIMEOUT
        )
        return resources.AcceptedChange(
            change=change,
            in_force=report.applied_by,
            not_yet=report.not_applied_by,
        )

    def _build_conflict(
        self,
        proposal: acceptance.Proposal,
        conflict: acceptance.VersionConflict,
    ) -> errors.AdminError:
        row = self._table.read(config_keys.service_key(conflict.service))
        current = None
        if row is not None:
            current = row.decode(config_model.ServiceVersion).service
        differences = review_module.find_differences(current, proposal.service)
        details = {item.setting: str(item) for item in differences}
        return errors.AdminError(
            409,
            "version_conflict",
            f"version {conflict.found} is in force, {conflict.reviewed} was "
            "reviewed; the details show what the proposal would change",
            details,
        )

    def _list_daemons(self) -> tuple[resources.DaemonState, ...]:
        members = [self._membership.get_own(), *self._membership.get_alive()]
        return tuple(
            resources.DaemonState(
                name=member.name,
                failure_domain=member.failure_domain,
                load=member.load,
                sequence=member.config_sequence,
            )
            for member in members
        )


def _check_service(name: str, service: config_model.Service) -> None:
    if service.name != name:
        raise errors.AdminError(400, "invalid_body", "the name differs")
    try:
        service.get_backend()
    except ValueError as error:
        raise errors.AdminError(400, "invalid_body", str(error)) from error
    if not service.ranks or not service.accounts:
        raise errors.AdminError(
            400, "invalid_body", "ranks and accounts must not be empty"
        )


def _require_operator(caller: keys_module.Identity) -> None:
    if caller.role != keys_module.Role.OPERATOR:
        raise errors.AdminError(403, "forbidden", "operators only")


def _require_not_team(caller: keys_module.Identity) -> None:
    if caller.role == keys_module.Role.TEAM:
        raise errors.AdminError(403, "forbidden", "not for teams")
