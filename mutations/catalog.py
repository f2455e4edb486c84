"""Mutations: the mechanism that each removes and the test that must fail."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mutation:
    """A replacement of source text that removes one mechanism.

    Attributes:
        promise: behavior that the mechanism guarantees.
        path: source file, relative to the package `arbutuscove`.
        old: text to replace; must occur exactly once in the file.
        new: replacement text.
        test: ID of the test that must fail, relative to the package.
    """

    promise: str
    path: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        promise="a lease holder stops before its lease expires",
        path="leases/lease.py",
        old="return held.effective_from <= now < held.expires - terms.guard",
        new="return held.effective_from <= now",
        test="leases/tests/test_lease.py::"
        "test_lease_paused_holder_wakes_without_lease",
    ),
    Mutation(
        promise="a new lease holder waits out orders in flight",
        path="leases/lease.py",
        old="effective_from=sent + terms.order_timeout",
        new="effective_from=sent",
        test="leases/tests/test_lease.py::"
        "test_lease_new_holder_waits_out_term_and_orders",
    ),
    Mutation(
        promise="a candidate waits a full lease term",
        path="leases/lease.py",
        old="now - observation.first_seen < terms.term",
        new="False",
        test="leases/tests/test_lease.py::"
        "test_lease_new_holder_waits_out_term_and_orders",
    ),
    Mutation(
        promise="a lease of an earlier era of the table is not held",
        path="leases/lease.py",
        old="if held is None or held.era != era:",
        new="if held is None:",
        test="leases/tests/test_era.py::"
        "test_lease_of_an_earlier_era_is_not_held",
    ),
    Mutation(
        promise="tokens of a later era are higher",
        path="leases/lease.py",
        old="max(era << ERA_SHIFT, 0 if row is None else row.epoch)",
        new="(0 if row is None else row.epoch)",
        test="leases/tests/test_era.py::"
        "test_lease_token_of_a_lost_holder_is_not_given_out_again",
    ),
    Mutation(
        promise="a late renewal does not replace the row of a new era",
        path="leases/holder.py",
        old='(f"{ERA_SEPARATOR}{era}" if era else "")',
        new='""',
        test="leases/tests/test_era.py::"
        "test_lease_late_renewal_does_not_replace_the_row_of_a_new_era",
    ),
    Mutation(
        promise="no order is sent once the list settles",
        path="fleet/controller.py",
        old="            and not self._inventory.is_settling()\n",
        new="",
        test="fleet/tests/test_controller.py::"
        "test_controller_stops_orders_once_the_list_settles",
    ),
    Mutation(
        promise="a request whose claim may be lost does not run again",
        path="requests/claims.py",
        old="if self._lost.may_be_lost():",
        new="if False:",
        test="requests/tests/test_lost_claims.py::"
        "test_request_whose_claim_is_lost_does_not_run_again",
    ),
    Mutation(
        promise="a condition of an earlier era of the table does not hold",
        path="storage/table.py",
        old="if condition.version != ABSENT and era != sent_era:",
        new="if False:",
        test="storage/tests/test_eras.py::"
        "test_condition_of_an_earlier_era_does_not_hold",
    ),
    Mutation(
        promise="a request is claimed before its dispatch",
        path="entry/chat.py",
        old="held_claim = self._claim(request, caller, work.digest)",
        new="held_claim = None",
        test="entry/tests/test_chat.py::"
        "test_chat_nothing_is_dispatched_without_a_claim",
    ),
    Mutation(
        promise="concurrent claims have one winner",
        path="requests/claims.py",
        old="table_module.Condition(key=key, version=version),",
        new="",
        test="requests/tests/test_once_claim.py::"
        "test_claim_race_has_one_winner",
    ),
    Mutation(
        promise="the outcome of a dead daemon's claim stays unknown",
        path="requests/claims.py",
        old="if not is_abandoned or existing.digest != digest:",
        new="if existing.digest != digest:",
        test="requests/tests/test_once_claim.py::"
        "test_claim_left_by_a_dead_daemon_is_not_taken_again",
    ),
    Mutation(
        promise="configuration changes apply in sequence only",
        path="config/model.py",
        old="if change.sequence != self.sequence + 1:",
        new="if False:",
        test="config/tests/test_order.py::test_config_older_change_is_ignored",
    ),
    Mutation(
        promise="an older configuration snapshot is ignored",
        path="config/model.py",
        old="sequence = max(self.sequence, other.sequence)",
        new="sequence = other.sequence",
        test="config/tests/test_order.py::"
        "test_config_older_snapshot_is_ignored",
    ),
    Mutation(
        promise="a snapshot does not replace a newer service version",
        path="config/model.py",
        old="if existing is None or existing.sequence < candidate.sequence:",
        new="if True:",
        test="config/tests/test_follower.py::"
        "test_follower_snapshot_keeps_newer_service",
    ),
    Mutation(
        promise="a proposal based on an outdated version is rejected",
        path="config/acceptance.py",
        old="if current_version != proposal.base_version:",
        new="if False:",
        test="config/tests/test_order.py::test_config_second_operator"
        "_conflicts",
    ),
    Mutation(
        promise="a replica with a member of another generation does not serve",
        path="replicas/serving.py",
        old="and status.generation == row.generation",
        new="",
        test="replicas/tests/test_serving.py::"
        "test_serving_never_with_a_member_in_doubt",
    ),
    Mutation(
        promise="a replica with a member of another group does not serve",
        path="replicas/serving.py",
        old="and status.members == names",
        new="",
        test="replicas/tests/test_serving.py::"
        "test_serving_never_with_a_member_in_doubt",
    ),
    Mutation(
        promise="a VM that reports leaving receives no work",
        path="replicas/serving.py",
        old="and not status.leaving",
        new="",
        test="replicas/tests/test_serving.py::"
        "test_serving_never_with_a_member_in_doubt",
    ),
    Mutation(
        promise="a status older than 3 s is ignored",
        path="replicas/serving.py",
        old="if report is None or now - report.requested_at > MAX_STATUS_AGE:",
        new="if report is None:",
        test="replicas/tests/test_serving.py::"
        "test_serving_never_on_an_old_status",
    ),
    Mutation(
        promise="the lease is checked before an order is sent",
        path="replicas/controller.py",
        old="        epoch = self._leases.get_active_epoch(duty)\n"
        "        if is_outage_repair:\n",
        new="        epoch = None\n        if True:\n",
        test="replicas/tests/test_fencing.py::"
        "test_holder_that_slept_before_its_orders_sends_none",
    ),
    Mutation(
        promise="an order carries the lease epoch",
        path="replicas/controller.py",
        old="fenced = dataclasses.replace(order, epoch=epoch)",
        new="fenced = order",
        test="replicas/tests/test_fencing.py::"
        "test_order_in_flight_of_a_former_holder_is_refused",
    ),
    Mutation(
        promise="an assignment is conditioned on its VM rows",
        path="replicas/assignment.py",
        old="            for key in writes\n        ),\n",
        new="            for key in writes\n"
        "            if not key.startswith(model.VM_PREFIX)\n        ),\n",
        test="replicas/tests/test_fencing.py::"
        "test_vms_go_to_only_one_of_two_services",
    ),
    Mutation(
        promise="an assignment is conditioned on its replica row",
        path="replicas/assignment.py",
        old="            for key in writes\n        ),\n",
        new="            for key in writes\n"
        "            if not key.startswith(model.REPLICA_PREFIX)\n        ),\n",
        test="replicas/tests/test_fencing.py::"
        "test_transaction_is_conditioned_on_every_row_that_it_writes",
    ),
    Mutation(
        promise="an assignment is conditioned on its capacity row",
        path="replicas/assignment.py",
        old="            for key in writes\n        ),\n",
        new="            for key in writes\n"
        "            if not key.startswith(model.CAPACITY_PREFIX)\n"
        "        ),\n",
        test="replicas/tests/test_fencing.py::"
        "test_controllers_of_two_domains_stay_within_approval",
    ),
    Mutation(
        promise="an answer without its terminal event is incomplete",
        path="requests/answers.py",
        old="    if not event:\n        return Refetch()",
        new="    if not event:\n        return Deliver(terminal=True)",
        test="requests/tests/test_answers.py::"
        "test_answer_without_terminal_event_fails",
    ),
    Mutation(
        promise="a duplicate event is dropped",
        path="requests/answers.py",
        old="return Drop() if number < expected else Refetch()",
        new="return NEXT",
        test="requests/tests/test_answers.py::"
        "test_answer_delivers_each_event_once_in_order",
    ),
    Mutation(
        promise="an event of another stream is rejected",
        path="requests/answers.py",
        old="if not line.startswith(prefix) or number is None:",
        new="if number is None:",
        test="requests/tests/test_answers.py::"
        "test_answer_of_another_stream_is_refused",
    ),
    Mutation(
        promise="a cut answer lacks the final chunk",
        path="entry/chat.py",
        old="raise AnswerCutShortError(104, ERROR_CODE) from error",
        new="return",
        test="entry/tests/test_chat.py::"
        "test_chat_cut_stream_lacks_the_final_chunk",
    ),
    Mutation(
        promise="a resume token is valid for its own account only",
        path="requests/resume.py",
        old="if (point.account, point.digest) != (account, digest):",
        new="if point.digest != digest:",
        test="entry/tests/test_chat.py::"
        "test_chat_resume_token_of_another_is_refused",
    ),
    Mutation(
        promise="a write with a lost confirmation is verified by a read",
        path="storage/table.py",
        old="row.write_id == transaction.write_id",
        new="False",
        test="storage/tests/test_table.py::"
        "test_table_commit_settles_lost_confirmation",
    ),
    Mutation(
        promise="a planned stop waits for active requests",
        path="entry/app.py",
        old="while self._active_requests and self._clock.monotonic() < end:",
        new="while False:",
        test="entry/tests/test_chat.py::"
        "test_chat_drain_waits_for_the_last_answer",
    ),
    Mutation(
        promise="a slowly sent request body times out",
        path="entry/bodies.py",
        old="with gevent.Timeout(remaining, timeout_error):",
        new="with gevent.Timeout(None, timeout_error):",
        test="entry/tests/test_connections.py::"
        "test_caller_trickling_body_is_cut",
    ),
    Mutation(
        promise="all ranks together stay within the account limit",
        path="limits/slices.py",
        old="left = min(limit - total.drawn, ceiling - rank.drawn)",
        new="left = ceiling - rank.drawn",
        test="limits/tests/test_limits.py::"
        "test_limits_concurrent_draws_of_two_ranks",
    ),
    Mutation(
        promise="a draw is conditioned on the latest accepted limit",
        path="limits/service.py",
        old="conditions = (*transaction.conditions, condition)",
        new="conditions = transaction.conditions",
        test="limits/tests/test_limits.py::"
        "test_limits_draw_while_limit_is_lowered",
    ),
    Mutation(
        promise="unknown usage counts as spent",
        path="limits/slices.py",
        old="unused = 0 if used is None else reserved - used",
        new="unused = reserved - (used or 0)",
        test="limits/tests/test_limits.py::"
        "test_limits_unknown_use_counts_as_spent",
    ),
    Mutation(
        promise="retries stay within the daemon's retry budget",
        path="requests/attempts.py",
        old="return budget.try_acquire()",
        new="return True",
        test="requests/tests/test_flow.py::"
        "test_flow_overload_multiplies_nothing",
    ),
    Mutation(
        promise="a non-repeatable request is not retried",
        path="requests/attempts.py",
        old="if attempts.run != failures.RunStatus.NOT_RUN and not repeatable:",
        new="if False:",
        test="requests/tests/test_flow.py::"
        "test_flow_non_repeatable_is_never_run_twice",
    ),
    Mutation(
        promise="hints about deaths update the quarantine",
        path="requests/quarantine.py",
        old="if hint.deaths > record.count:",
        new="if False:",
        test="requests/tests/test_quarantine.py::"
        "test_quarantine_crashing_request_costs_two_replicas",
    ),
    Mutation(
        promise="audit entries have unique numbers",
        path="audit/trail.py",
        old="table_module.Condition(key=head_key, version=version),",
        new="",
        test="audit/tests/test_trail.py::"
        "test_trail_entries_at_once_do_not_overwrite_each_other",
    ),
    Mutation(
        promise="members are not reused until their absent head is released",
        path="fleet/planner.py",
        old="""if group.key in self._state.released:
            self._mark_all_free(group)
        else:""",
        new="""if True:
            self._mark_all_free(group)
        else:""",
        test="fleet/tests/test_planner.py::"
        "test_planner_waits_for_an_absent_head_to_be_found_gone",
    ),
    Mutation(
        promise="a head opens only when all members are ready",
        path="fleet/planner.py",
        old="is_ready = group.collect_states() == {model.MemberState.READY}",
        new="is_ready = True",
        test="fleet/tests/test_planner.py::"
        "test_planner_opens_head_only_when_each_member_is_ready",
    ),
    Mutation(
        promise="a connection with late bytes is not reused",
        path="transport/pool.py",
        old="if idle_time <= limit and candidate.is_still_idle():",
        new="if idle_time <= limit:",
        test="transport/tests/test_connection.py::"
        "test_connection_with_late_bytes_is_not_used_again",
    ),
    Mutation(
        promise="a catalog never reverts to an older version",
        path="catalog/holder.py",
        old="if catalog.version <= before:",
        new="if catalog.version == before:",
        test="platform/tests/test_configuration.py::"
        "test_catalog_never_goes_back",
    ),
    Mutation(
        promise="a rejection with an unread body closes the connection",
        path="entry/connections.py",
        old="if isinstance(body, bodies.RequestBody) "
        "and body.has_unread_bytes():",
        new="if False:",
        test="entry/tests/test_connections.py::"
        "test_refusal_before_the_body_ends_the_connection",
    ),
    Mutation(
        promise="retries stay within the fleet's retry budget",
        path="relay/budget.py",
        old="if len(self._retries) + 1 > SAFETY_FACTOR * allowed:",
        new="if False:",
        test="relay/tests/test_decisions.py::"
        "test_budget_bounds_repeats_in_any_window",
    ),
    Mutation(
        promise="members are not reused while their drained head still works",
        path="fleet/inventory.py",
        old="return self.vm.leaving or self.left_during_outage",
        new="return False",
        test="fleet/tests/test_controller.py::"
        "test_controller_waits_for_a_drained_head",
    ),
    Mutation(
        promise="a drain concealed by an outage of the list is waited for",
        path="fleet/inventory.py",
        old="self._evict(name, now, left_during_outage=True)",
        new="self._evict(name, now, left_during_outage=False)",
        test="fleet/tests/test_controller.py::"
        "test_controller_waits_for_a_head_that_an_outage_hid",
    ),
    Mutation(
        promise="a head that reports its status is not considered dead",
        path="fleet/controller.py",
        old="if status is not None:\n            # The head is only",
        new="if False:\n            # The head is only",
        test="fleet/tests/test_controller.py::"
        "test_controller_believes_the_report_of_a_head_that_obeys_late",
    ),
    Mutation(
        promise="a disconnected daemon considers no head dead",
        path="fleet/controller.py",
        old="if not any(\n            self._ask_member",
        new="if False and not any(\n            self._ask_member",
        test="fleet/tests/test_controller.py::"
        "test_controller_distrusts_its_own_links",
    ),
    Mutation(
        promise="a silent attempt goes on until another one has answered",
        path="relay/streams.py",
        old="        return False\n        if not replacement.has_ended():",
        new="        return True\n        if not replacement.has_ended():",
        test="relay/tests/test_silence.py::"
        "test_silent_stream_goes_on_without_another_upstream",
    ),
    Mutation(
        promise="a VM that is silent for a second does not end its group",
        path="fleet/controller.py",
        old="now - first >= SILENT_MEMBER_TIMEOUT",
        new="now >= first",
        test="fleet/tests/test_controller.py::"
        "test_controller_keeps_a_group_with_a_silent_vm",
    ),
    Mutation(
        promise="a draining daemon refuses what it may not finish",
        path="kernel/shutdown.py",
        old="and deadline > schedule.cutoff",
        new="and False",
        test="platform/tests/test_drain.py::"
        "test_request_that_may_outlive_a_draining_daemon_is_refused",
    ),
    Mutation(
        promise="a planned stop answers what upstreams still run",
        path="relay/attempt.py",
        old="left = context.compute_end(self._request) - now",
        new="left = self._request.deadline - now",
        test="platform/tests/test_late_requests.py::"
        "test_request_at_a_slow_upstream_gets_an_answer[1-unsafe]",
    ),
    Mutation(
        promise="a planned stop sends nothing that it may cut",
        path="relay/blocking.py",
        old="or not self._shutdown.may_cut(now, request.deadline)",
        new="or True",
        test="platform/tests/test_late_requests.py::"
        "test_waiting_request_is_refused_before_it_may_be_cut[unsafe]",
    ),
    Mutation(
        promise="a planned stop keeps a short grace period",
        path="kernel/shutdown.py",
        old="min(accept_duration, longest)",
        new="accept_duration",
        test="kernel/tests/test_shutdown.py::"
        "test_shutdown_times_lie_in_the_grace_period[3-3]",
    ),
    Mutation(
        promise="a drain waits for the longest request that it accepted",
        path="entry/app.py",
        old="self._clock.monotonic() + self._compute_longest_request()",
        new="self._clock.monotonic() + callers.MAX_DEADLINE",
        test="entry/tests/test_late_requests.py::"
        "test_drain_waits_for_the_longest_request",
    ),
    Mutation(
        promise="the other daemons' usage is capped at their equal shares",
        path="relay/placement.py",
        old="return min(usage.others, usage.total_slots - usage.equal_share)",
        new="return usage.others",
        test="relay/tests/test_waiting.py::"
        "test_waiting_keeps_an_equal_share_while_all_places_seem_taken",
    ),
    Mutation(
        promise="a daemon balances its requests by its own counts",
        path="relay/selection.py",
        old="+ others[backend.vm.failure_domain],",
        new="+ self._read_loads().running.get(backend.key[1], 0),",
        test="relay/tests/test_waiting.py::"
        "test_waiting_spreads_own_requests_by_own_counts",
    ),
    Mutation(
        promise="requests past their target time are dispatched last",
        path="admission/queue.py",
        old="        self._backlog.demote_late(now)\n",
        new="",
        test="admission/tests/test_queue.py::"
        "test_queue_late_work_goes_after_work_that_can_be_on_time",
    ),
    Mutation(
        promise="reported occupancy determines the other daemons' usage",
        path="relay/selection.py",
        old="if occupancy_mean is not None:",
        new="if False:",
        test="relay/tests/test_waiting.py::"
        "test_waiting_believes_what_answers_say_of_engines",
    ),
    Mutation(
        promise="healthy backends are not overloaded",
        path="relay/placement.py",
        old="if avoided and generator.random() * running >= room:",
        new="if not preferred:",
        test="relay/tests/test_placement.py::"
        "test_sound_backends_are_not_flooded_while_most_are_doubtful",
    ),
    Mutation(
        promise="silence before the start of an answer is not a stall",
        path="relay/backends.py",
        old="return self[key].answering > 0 and self",
        new="return self",
        test="relay/tests/test_decisions.py::"
        "test_silence_before_an_answer_begins_is_no_stall",
    ),
    Mutation(
        promise="gossip counters keep daemons alive in a large fleet",
        path="gossip/digest.py",
        old="            if counter > peer.counter:",
        new="            if False:",
        test="gossip/tests/test_digest.py::test_counter_says_that_a_d"
        "aemon_lives_and_nothing_else",
    ),
    Mutation(
        promise="a large update of the VM list is split",
        path="gossip/digest.py",
        old="if size >= TARGET_UPDATE_BYTES and",
        new="if False and",
        test="gossip/tests/test_digest.py::test_update_of_a_whole_fai"
        "lure_domain_is_split",
    ),
    Mutation(
        promise="the daemon with the largest VM reads the list",
        path="gossip/roles.py",
        old="rank = (-own.capacity, own.name)",
        new="rank = (0, own.name)",
        test="gossip/tests/test_digest.py::test_a_large_vm_reads_the_"
        "list_and_another_holds_the_duty",
    ),
    Mutation(
        promise="a lease holder that cannot renew resigns",
        path="leases/holder.py",
        old="        if self._clock.monotonic() - renewed < self._te"
        "rms.resign_after:",
        new="        if True:",
        test="leases/tests/test_lease.py::test_lease_holder_that_is_c"
        "ut_off_gives_its_epoch_up",
    ),
    Mutation(
        promise="concurrent model loads are limited",
        path="fleet/copies.py",
        old="available = self._engine.loads_at_once - running",
        new="available = self._input.load_limit",
        test="fleet/tests/test_planner.py::test_planner_runs_no_more_"
        "loads_than_go_side_by_side",
    ),
    Mutation(
        promise="a model in a VM's memory counts as a local copy",
        path="fleet/exchange.py",
        old="return model_name in vm.staged or vm.last_model == model_name",
        new="return model_name in vm.staged",
        test="fleet/tests/test_planner.py::test_planner_uses_what_vms"
        "_hold_in_memory",
    ),
    Mutation(
        promise="hosts prefetch the other model",
        path="fleet/planner.py",
        old="            self._stager.prefetch(usable, self._compute_supply)\n",
        new="",
        test="fleet/tests/test_planner.py::test_planner_copies_the_ot"
        "her_model_beside_the_one_in_memory",
    ),
    Mutation(
        promise="an unresponsive VM does not delay the others",
        path="fleet/sending.py",
        old="self._idle.wait(timeout.total_seconds())",
        new="self._idle.wait()",
        test="fleet/tests/test_controller.py::test_controller_goes_on"
        "_while_one_vm_does_not_answer",
    ),
    Mutation(
        promise="the lease is checked again after a probe",
        path="fleet/controller.py",
        old="        # The lease may have expired during the probe, or the "
        "evacuation begun.\n"
        "        if not self._may_send(fence) or self._is_evacuated(vm):",
        new="        if self._is_evacuated(vm):",
        test="fleet/tests/test_controller.py::test_controller_checks_"
        "the_lease_after_it_asked_a_vm",
    ),
    Mutation(
        promise="the clock includes time in which the VM was suspended",
        path="kernel/clock.py",
        old="time.clock_gettime(time.CLOCK_BOOTTIME)",
        new="time.clock_gettime(time.CLOCK_MONOTONIC)",
        test="kernel/tests/test_clock.py::test_clock_counts_the_time_"
        "in_which_the_vm_was_suspended",
    ),
    Mutation(
        promise="response heads of upstreams are bounded",
        path="transport/connection.py",
        old="if self._head_size > MAX_HEAD_BYTES:",
        new="if False:",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_whole_answer_costs_one_attempt[send_endless_line]",
    ),
    Mutation(
        promise="response framing of upstreams is bounded",
        path="transport/connection.py",
        old="if self._framing_size > MAX_FRAMING_BYTES + allowance:",
        new="if False:",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_whole_answer_costs_one_attempt[send_endless_trailer]",
    ),
    Mutation(
        promise="a deadline ends a call with continuous bytes",
        path="transport/connection.py",
        old="        if timeout <= ZERO:",
        new="        if False:",
        test="relay/tests/test_troubled.py::test_deadline_ends_a_call"
        "_whose_bytes_never_pause",
    ),
    Mutation(
        promise="a body whose peer is gone is not whole",
        path="transport/connection.py",
        old="if error.errno == errno.ETIMEDOUT:",
        new="if False:",
        test="transport/tests/test_connection.py::"
        "test_connection_lost_in_a_body_without_length_is_an_error",
    ),
    Mutation(
        promise="a plain service's answer that breaks off is not whole",
        path="upstreams/plain.py",
        old="raise storage_http.NoResponseError(str(error)) from error",
        new="break",
        test="entry/tests/test_cut_answers.py::"
        "test_plain_answer_that_broke_off_is_no_success",
    ),
    Mutation(
        promise="an engine that closes unanswered is asked once",
        path="storage/http.py",
        old="self.size = -1",
        new="pass",
        test="upstreams/tests/test_engine.py::"
        "test_engine_that_closes_unanswered_is_asked_once",
    ),
    Mutation(
        promise="a body with an unknown transfer coding is not whole",
        path="transport/connection.py",
        old='isinstance(value, list) or value.strip().lower() != "chunked"',
        new="False",
        test="platform/tests/test_cut_answers.py::"
        "test_answer_that_broke_off_is_no_success",
    ),
    Mutation(
        promise="an unterminated event is bounded",
        path="relay/streams.py",
        old="if idle_size + len(pending) > continuation.MAX_EVENT_BYTES and (",
        new="if False and (",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_stream_is_left_for_another[send_endless_event]",
    ),
    Mutation(
        promise="a stream that ends within an event is not complete",
        path="relay/streams.py",
        old="if pending.strip():",
        new="if False:",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_stream_that_may_not_resume",
    ),
    Mutation(
        promise="stream comments do not count as progress",
        path="relay/streams.py",
        old="if continuation.EVENT_ID.search(events):",
        new="if True:",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_stream_is_left_for_another[send_comments]",
    ),
    Mutation(
        promise="an answer must echo its request ID",
        path="platform/upstreams.py",
        old="is_matching = is_named or (echoed is None and status >= 300)",
        new="is_matching = is_named or echoed is None",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_whole_answer_costs_one_attempt[answer_without_id]",
    ),
    Mutation(
        promise="an unnamed refusal on a used connection is not believed",
        path="relay/attempt.py",
        old="if not reply.is_named and upstream.exchange_count > 1:",
        new="if False:",
        test="relay/tests/test_refusals.py::"
        "test_unnamed_refusal_on_a_used_connection_is_not_believed[50"
        "3]",
    ),
    Mutation(
        promise="a status alone does not promise that nothing ran",
        path="relay/attempt.py",
        old="if reply.status in NOT_RUN_STATUSES:",
        new="if False:",
        test="relay/tests/test_refusals.py::"
        "test_status_without_the_promise_is_no_promise[Repeat.ONCE-50"
        "3]",
    ),
    Mutation(
        promise="a refusal after a lost attempt does not say not run",
        path="relay/refusals.py",
        old="    if has_lost_attempt:\n        return build",
        new="    if False:\n        return build",
        test="relay/tests/test_refusals.py::"
        "test_refusal_after_a_lost_attempt_does_not_say_not_run[Repea"
        "t.SAFE-fail_without_answer]",
    ),
    Mutation(
        promise="no refusal is written into an answer",
        path="platform/listener.py",
        old="yield from _relay_body(answer)",
        new="yield from answer.body",
        test="platform/tests/test_bodies.py::"
        "test_error_within_a_body_ends_the_connection[RefusedError-ch"
        "unked]",
    ),
    Mutation(
        promise="an order never reuses a connection",
        path="platform/engine.py",
        old="                max_idle_time=pool.NEVER_IDLE,\n",
        new="",
        test="platform/tests/test_orders.py::"
        "test_copy_of_an_order_is_not_the_answer_to_the_next",
    ),
    Mutation(
        promise="an engine stream never reuses a connection to resume",
        path="upstreams/engine.py",
        old="is_single_use=True,\n            open_socket=self._paths.open",
        new="is_single_use=False,\n            open_socket=self._paths.open",
        test="upstreams/tests/test_engine.py::"
        "test_engine_copied_refusal_does_not_end_a_resumption",
    ),
    Mutation(
        promise="an engine stream never reuses a connection",
        path="upstreams/engine.py",
        old="is_single_use=True,\n"
        "            open_socket=self._open_for_dispatch",
        new="is_single_use=False,\n"
        "            open_socket=self._open_for_dispatch",
        test="upstreams/tests/test_engine.py::"
        "test_engine_copied_refusal_does_not_refuse_the_next_dispatch"
        "[503]",
    ),
    Mutation(
        promise="a stream goes on with an answer of its kind only",
        path="relay/streams.py",
        old="return continuation.is_continuation(self._first, reply)",
        new="return reply.status == 200",
        test="relay/tests/test_continuation.py::"
        "test_unfit_answer_is_not_joined_to_a_stream[other kind]",
    ),
    Mutation(
        promise="a stream goes on with later events only",
        path="relay/streams.py",
        old="self._check_events(attempt, events, has_events)",
        new="pass",
        test="relay/tests/test_continuation.py::"
        "test_unfit_answer_is_not_joined_to_a_stream[starts again]",
    ),
    Mutation(
        promise="an answer without a further event ends no stream",
        path="relay/streams.py",
        old="if is_continued and not has_events:",
        new="if False:",
        test="relay/tests/test_continuation.py::"
        "test_unfit_answer_is_not_joined_to_a_stream[nothing]",
    ),
    Mutation(
        promise="discarded responses to other requests are bounded",
        path="relay/attempt.py",
        old=(
            "unmatched >= upstream.exchange_count\n"
            "                or unmatched_bytes > MAX_UNMATCHED_BODY_BYTES\n"
        ),
        new="False\n",
        test="relay/tests/test_troubled.py::test_troubled_upstream_of"
        "_a_whole_answer_costs_one_attempt[answer_with_foreign_id]",
    ),
    Mutation(
        promise="a long body is not buffered whole",
        path="relay/attempt.py",
        old="""not self.parser.is_complete()
                and len(body) < BUFFERED_BODY_BYTES
""",
        new="not self.parser.is_complete()\n",
        test="relay/tests/test_troubled.py::test_endless_body_is_neve"
        "r_held_whole",
    ),
    Mutation(
        promise="probes of overloaded groups back off",
        path="relay/backends.py",
        old="pause = PROBE_INTERVAL * 2 ** "
        "max(0, state.probes_since_progress - 1)",
        new="pause = PROBE_INTERVAL",
        test="relay/tests/test_decisions.py::test_backend_whose_membe"
        "rs_answer_is_asked_less_and_less",
    ),
    Mutation(
        promise="the lease holder reads the list for all daemons",
        path="platform/servers.py",
        old="to_all=is_lease_holder,",
        new="to_all=False,",
        test="platform/tests/test_followers.py::test_holder_of_the_du"
        "ty_reads_for_all",
    ),
    Mutation(
        promise="a model without groups receives groups of another model",
        path="fleet/planner.py",
        old="            self._begin_reallocation(by_domain)\n",
        new="            pass\n",
        test="fleet/tests/test_exchange.py::"
        "test_exchange_gives_groups_up_for_a_model_without_any",
    ),
    Mutation(
        promise="reallocated VMs are reserved for their new model",
        path="fleet/planner.py",
        old="if self._reserved_models.get(domain, spec.name) != spec.name:",
        new="if False:",
        test="fleet/tests/test_exchange.py::"
        "test_exchange_keeps_the_vms_of_the_first_group_for_the_model",
    ),
    Mutation(
        promise="one daemon's probe of a stalled group suffices for all",
        path="relay/stalls.py",
        old="if self._states.is_stalled(key) "
        "or not self._states.is_silent(key):",
        new="if not self._states.is_silent(key):",
        test="relay/tests/test_troubled.py::"
        "test_daemons_do_not_all_ask_the_members_of_a_silent_group",
    ),
    Mutation(
        promise="a new model copy does not rebuild the backends",
        path="fleet/inventory.py",
        old="if before is None or not _has_same_routing(before, vm):",
        new="if True:",
        test="relay/tests/test_decisions.py::"
        "test_backends_are_not_made_anew_for_a_heartbeat_or_a_copy",
    ),
    Mutation(
        promise="a single late timer sheds no load",
        path="kernel/loop.py",
        old="min(lag, self._last_lag), lag",
        new="lag, lag",
        test="kernel/tests/test_loop.py::"
        "test_loop_sheds_nothing_after_one_pause",
    ),
    Mutation(
        promise="unknown model names create no queues",
        path="relay/waiting.py",
        old="if not self._works.is_configured(pool):",
        new="if False:",
        test="relay/tests/test_waiting.py::"
        "test_waiting_keeps_nothing_of_names_that_callers_make_up",
    ),
    Mutation(
        promise="a model at its target leaves VMs to models that lack groups",
        path="fleet/planner.py",
        old="if self._compute_supply(spec) >= 1.0:\n",
        new="if False:\n",
        test="fleet/tests/test_planner.py::"
        "test_planner_keeps_vms_for_the_model_that_lacks_groups",
    ),
    Mutation(
        promise="a culprit's deaths blame no other part",
        path="crashes/judgement.py",
        old="        unexplained = [\n"
        "            death for death in unexplained if death "
        "not in blame[key]\n"
        "        ]",
        new="        answers = {**answers, key: culprits[key].last_death}",
        test="crashes/tests/test_evidence.py::"
        "test_evidence_convicts_the_part_and_not_its_companions",
    ),
    Mutation(
        promise="a VM that is silent to one daemon is asked through a peer",
        path="platform/engine.py",
        old="if self._silent.must_take_peer(vm.name, started):",
        new="if False:",
        test="platform/tests/test_detours.py::"
        "test_vm_that_does_not_answer_directly_is_asked_through_a_peer",
    ),
    Mutation(
        promise="a replica that rejects gets no more before its next status",
        path="routing/rejections.py",
        old="self._rejected_at[name] >= reported_at",
        new="False",
        test="routing/tests/test_rejections.py::"
        "test_replica_that_rejects_gets_no_more_before_its_next_status",
    ),
    Mutation(
        promise="a replacement that asked no upstream uses no attempt",
        path="relay/streams.py",
        old="        self._attempts_begun -= 1\n"
        "        self._policy.give_retry",
        new="        self._policy.give_retry",
        test="relay/tests/test_replacement.py::"
        "test_replacement_that_asked_no_upstream_uses_no_attempt",
    ),
    Mutation(
        promise="silence from before the paths returned replaces no member",
        path="replicas/silence.py",
        old="if now - unjudged_at < formation.UNRESPONSIVE_AFTER:",
        new="if False:",
        test="replicas/tests/test_own_paths.py::"
        "test_member_that_is_read_last_after_a_cut_keeps_its_place",
    ),
    Mutation(
        promise="a VM gets no more than the bound in the second after its end",
        path="balancing/cold.py",
        old="TAIL = WINDOW",
        new="TAIL = 0 * WINDOW",
        test="relay/tests/test_warming.py::"
        "test_vm_that_becomes_cold_soon_after_its_end_gets_the_bound",
    ),
    Mutation(
        promise="sends before the news that a VM became cold use the turns",
        path="balancing/cold.py",
        old="if sent_at is not None:",
        new="if False:",
        test="balancing/tests/test_cold.py::"
        "test_sends_before_the_news_use_the_turns",
    ),
    Mutation(
        promise="a domain evacuated while a connection opens gets no dispatch",
        path="upstreams/engine.py",
        old="if self._is_evacuated(str(address)):",
        new="if False:",
        test="upstreams/tests/test_engine.py::"
        "test_engine_evacuated_while_connecting_gets_no_dispatch",
    ),
    Mutation(
        promise="an evacuation beyond the bound is refused",
        path="replicas/evacuations.py",
        old="return len(others) < MAX_DOMAINS",
        new="return True",
        test="admin/tests/test_evacuations.py::"
        "test_evacuation_beyond_the_bound_is_refused",
    ),
    Mutation(
        promise="a row beyond the bound ends no other evacuation",
        path="replicas/evacuations.py",
        old="key=lambda name: (name not in self._names, name),",
        new="",
        test="replicas/tests/test_evacuations.py::"
        "test_evacuations_beyond_the_bound_are_reported_once",
    ),
    Mutation(
        promise="orders to a domain that is not reached take a peer",
        path="platform/engine.py",
        old="if not self._detours.may_try(vm.failure_domain, now):",
        new="if True:",
        test="platform/tests/test_detours.py::"
        "test_orders_to_a_domain_that_is_not_reached_take_a_peer",
    ),
    Mutation(
        promise="a dead domain costs few calls of peers",
        path="paths/detours.py",
        old="if due is not None and now < due:",
        new="if False:",
        test="paths/tests/test_detours.py::"
        "test_dead_domain_costs_few_connections_through_peers",
    ),
    Mutation(
        promise="a detour ends with the cut",
        path="paths/detours.py",
        old="if due is None or now >= due:",
        new="if due is None:",
        test="platform/tests/test_detours.py::test_detour_ends_with_the_cut",
    ),
    Mutation(
        promise="the deaths of a failure domain convict no sound part",
        path="crashes/moments.py",
        old="weight += 1 if is_together else count",
        new="weight += count",
        test="crashes/tests/test_domain_death.py::"
        "test_domain_that_dies_convicts_no_part",
    ),
    Mutation(
        promise="a part that crashes many upstreams at once is convicted",
        path="crashes/moments.py",
        old="is_cause = not is_survived and "
        "count >= MIN_EXPLAINED_SHARE * size",
        new="is_cause = False",
        test="crashes/tests/test_domain_death.py::"
        "test_part_that_crashes_many_at_once_is_convicted",
    ),
    Mutation(
        promise="verdicts from the table are no single moment",
        path="crashes/verdicts.py",
        old="at=now - number * moments.MOMENT",
        new="at=now",
        test="crashes/tests/test_domain_death.py::"
        "test_verdicts_of_many_parts_are_known_after_a_restart",
    ),
    Mutation(
        promise="an answer refutes earlier blame",
        path="crashes/judgement.py",
        old="return answered is not None and answered >= death.at",
        new="return False",
        test="crashes/tests/test_evidence.py::"
        "test_evidence_of_an_answer_refutes_earlier_deaths_only",
    ),
    Mutation(
        promise="all daemons count a death once",
        path="crashes/evidence.py",
        old="merged = death if known is None else known.merge(death)",
        new="merged = death",
        test="crashes/tests/test_evidence.py::"
        "test_evidence_of_pieces_of_one_death_is_merged",
    ),
    Mutation(
        promise="an answer without a final status is not passed on",
        path="transport/connection.py",
        old="        http.check_status(self.get_code())\n",
        new="",
        test="relay/tests/test_troubled.py::"
        "test_answer_without_a_final_status_is_not_passed_on",
    ),
    Mutation(
        promise="a verdict does not end with the age of its first deaths",
        path="crashes/evidence.py",
        old="            and not self._is_needed(death, now)\n",
        new="",
        test="crashes/tests/test_tracker.py::"
        "test_content_that_goes_on_for_long_crashes_few_more_vms",
    ),
    Mutation(
        promise="a request is blamed after its caller has left",
        path="relay/attempt.py",
        old="        self._end_exposure(is_open=True)",
        new="        self._end_exposure(is_open=False)",
        test="relay/tests/test_crashing_part.py::"
        "test_upstream_that_crashes_after_the_end_of_an_attempt_is_noticed",
    ),
    Mutation(
        promise="a death that a peer reports blames what ran there",
        path="crashes/tracker.py",
        old="evidence.add_death_listener(self._record_reported)",
        new="pass",
        test="crashes/tests/test_exposures.py::"
        "test_death_that_a_peer_reports_blames_requests_of_callers_who_left",
    ),
    Mutation(
        promise="what was sent after a death is not blamed for it",
        path="crashes/exposures.py",
        old="if exposure.sent_at <= crashed_at:",
        new="if True:",
        test="crashes/tests/test_exposures.py::"
        "test_request_sent_after_the_death_is_not_blamed",
    ),
    Mutation(
        promise="a VM that answers has survived what ended before",
        path="crashes/exposures.py",
        old="alive_at is not None and alive_at - item.ended_at > RUN_GRACE",
        new="False",
        test="crashes/tests/test_exposures.py::"
        "test_vm_that_answers_later_has_survived_the_request",
    ),
    Mutation(
        promise="a queued request is not blamed like a running one",
        path="crashes/judgement.py",
        old="if is_part and not survivals and running >= "
        "MIN_DEATHS_UNANSWERED:",
        new="if is_part and not survivals:",
        test="crashes/tests/test_evidence.py::"
        "test_evidence_of_waiting_requests_alone_needs_three_deaths",
    ),
    Mutation(
        promise="few contents do not convict what they share",
        path="crashes/judgement.py",
        old="weight = min(weight, _count_causes(blamed, answers))",
        new="pass",
        test="crashes/tests/test_evidence.py::"
        "test_few_contents_that_crash_do_not_convict_what_they_share",
    ),
    Mutation(
        promise="a recurring trait keeps its place in each death",
        path="crashes/traits.py",
        old="return (survived, -counts.get(key, 0), -depth, key)",
        new="return (survived, 0, -depth, key)",
        test="crashes/tests/test_evidence.py::"
        "test_trait_that_recurs_keeps_its_place_among_new_ones",
    ),
    Mutation(
        promise="a broken connection is no death",
        path="crashes/tracker.py",
        old="            case liveness.Liveness.ALIVE:\n"
        "                self.record_life(vm)",
        new="            case liveness.Liveness.ALIVE:\n"
        "                self._record_death(vm, request)",
        test="crashes/tests/test_tracker.py::"
        "test_tracker_blames_nothing_for_a_cut_connection",
    ),
    Mutation(
        promise="a request that may have crashed a VM is not repeated",
        path="crashes/tracker.py",
        old="if any(self._evidence.is_suspect(key) for key in keys):",
        new="if False:",
        test="crashes/tests/test_tracker.py::"
        "test_tracker_repeats_no_request_that_may_have_crashed_a_vm",
    ),
    Mutation(
        promise="one daemon tries a culprit",
        path="crashes/tracker.py",
        old="if now < culprit.trial_due or not self._is_trial_owner("
        "culprit.key):",
        new="if now < culprit.trial_due:",
        test="crashes/tests/test_tracker.py::"
        "test_tracker_tries_a_culprit_once_and_at_one_daemon",
    ),
    Mutation(
        promise="a death is sent to the other daemons",
        path="crashes/tracker.py",
        old="self._send(self._evidence.encode_evidence(identity))",
        new="return",
        test="crashes/tests/test_tracker.py::"
        "test_tracker_tells_the_other_daemons",
    ),
    Mutation(
        promise="daemons with other evidence are sent it",
        path="gossip/evidence.py",
        old="        if source.get_fingerprint() == sender.evidence:\n",
        new="        if True:\n",
        test="gossip/tests/test_service.py::"
        "test_gossip_brings_evidence_to_a_daemon_that_starts",
    ),
    Mutation(
        promise="a quarantined part is refused at arrival",
        path="relay/flow.py",
        old="        if retry_after is not None:\n"
        "            raise refusals.build_quarantine_refusal(retry_after)",
        new="        if False:\n"
        "            raise refusals.build_quarantine_refusal(retry_after)",
        test="relay/tests/test_crashing_part.py::"
        "test_crashing_part_is_refused_without_a_send",
    ),
    Mutation(
        promise="a stream without framing needs an event",
        path="relay/streams.py",
        old="if not has_events and attempt.is_unframed():",
        new="if False:",
        test="relay/tests/test_troubled.py::"
        "test_stream_without_framing_or_events_is_no_success",
    ),
    Mutation(
        promise="a crashing message is refused",
        path="requests/suspects.py",
        old="        culprit = self._find_culprit(work)\n        if",
        new="        culprit = None\n        if",
        test="requests/tests/test_quarantine.py::"
        "test_quarantine_crashing_part_costs_two_replicas",
    ),
    Mutation(
        promise="a complete answer clears the parts of its prompt",
        path="requests/suspects.py",
        old="        self.evidence.record_answer(keys, attempt.answered_at)\n",
        new="",
        test="requests/tests/test_quarantine.py::"
        "test_quarantine_part_that_has_been_answered_is_not_blamed",
    ),
    Mutation(
        promise="a request that may have crashed a replica is not retried",
        path="requests/flow.py",
        old="            if not self._suspects.may_repeat(\n"
        "                work\n"
        "            ) or not",
        new="            if not",
        test="requests/tests/test_quarantine.py::"
        "test_quarantine_lost_request_with_a_part_is_not_retried",
    ),
    Mutation(
        promise="a position of an earlier era is not used",
        path="platform/store.py",
        old="if era != position.era:",
        new="if False:",
        test="platform/tests/test_store_eras.py::"
        "test_feed_that_spans_a_restore_is_lost",
    ),
    Mutation(
        promise="a write answered in another era is not confirmed",
        path="platform/store.py",
        old="if answer.is_stale or sent_era not in (None, answer.era)",
        new="if answer.is_stale",
        test="platform/tests/test_store_eras.py::"
        "test_write_that_meets_a_new_era_is_not_confirmed",
    ),
    Mutation(
        promise="a feed that a silent store may have lost is sent again",
        path="platform/followers.py",
        old="self._greenlet.kill(DoubtfulFeedError, block=False)",
        new="pass",
        test="platform/tests/test_configuration_feed.py::"
        "test_pending_feed_is_sent_again_after_a_failure",
    ),
    Mutation(
        promise="an older copy of the list makes no leaving VM ready",
        path="fleet/inventory.py",
        old="return vm.precedes(known)",
        new="return False",
        test="fleet/tests/test_inventory.py::"
        "test_older_copy_does_not_make_a_leaving_vm_ready",
    ),
    Mutation(
        promise="peers are told of a VM that writes its entry again",
        path="fleet/inventory.py",
        old="if before is None or vm.name in self._grace_deadlines:",
        new="if before is None:",
        test="platform/tests/test_followers.py::"
        "test_reader_passes_on_a_vm_that_returns",
    ),
    Mutation(
        promise="a peer's path is the proof of a cut",
        path="paths/reach.py",
        old="    is_cut_off = through_peer > 0",
        new="    is_cut_off = False",
        test="relay/tests/test_cut_off.py::"
        "test_request_is_served_through_a_peer",
    ),
    Mutation(
        promise="the direct path is used again after a cut",
        path="paths/reach.py",
        old="        is_reached = direct > through_peer",
        new="        is_reached = False",
        test="paths/tests/test_reach.py",
    ),
    Mutation(
        promise="a failed path is no failure of an upstream",
        path="paths/connections.py",
        old="                if (\n"
        "                    is_reached\n"
        "                    and not self._monitor.is_cut_off(service)\n",
        new="                if (\n                    True\n",
        test="relay/tests/test_cut_off.py::"
        "test_path_that_fails_is_no_failure_of_the_upstreams",
    ),
    Mutation(
        promise="peers are asked while no path was found",
        path="paths/monitor.py",
        old="gevent.spawn(self._try_peer, service, address)",
        new="gevent.spawn(bool)",
        test="relay/tests/test_cut_off.py::"
        "test_request_is_served_through_a_peer",
    ),
    Mutation(
        promise="a silent direct connection is replaced while cut off",
        path="paths/connections.py",
        old="return used.carrier is None and self._monitor.is_cut_off(service)",
        new="return False",
        test="relay/tests/test_cut_off.py::test_stream_goes_on_through_a_peer",
    ),
    Mutation(
        promise="a group is not stalled for a daemon without contact",
        path="paths/monitor.py",
        old="return is_contacted and not has_changed",
        new="return True",
        test="relay/tests/test_cut_off.py::"
        "test_group_is_not_stalled_because_the_path_has_failed",
    ),
    Mutation(
        promise="silence on a path that is not used any more is not believed",
        path="paths/monitor.py",
        old="return is_contacted and not has_changed",
        new="return is_contacted",
        test="paths/tests/test_monitor.py::"
        "test_contact_on_another_path_than_before_confirms_nothing",
    ),
    Mutation(
        promise="a further attempt takes no idle connection",
        path="relay/attempt.py",
        old="if not repeat.is_idempotent or excluded:",
        new="if not repeat.is_idempotent:",
        test="relay/tests/test_lost_connections.py::"
        "test_repeated_request_does_not_fail_with_an_idle_connection",
    ),
    Mutation(
        promise="upstreams are told the time that is left after the search",
        path="relay/attempt.py",
        old="        left = context.compute_end(request) - "
        "context.clock.monotonic()\n"
        "        if left <= MIN_TIME_LEFT:\n"
        '            raise outcomes.NotRunError("no time is left")\n'
        "        self._check_still_usable(self.backend)\n",
        new="        self._check_still_usable(self.backend)\n",
        test="relay/tests/test_cut_off.py::"
        "test_upstream_is_not_given_the_time_of_the_search",
    ),
    Mutation(
        promise="bytes after the last frame are odd",
        path="transport/frames.py",
        old="if self._is_invalid or self.is_ended:",
        new="if self._is_invalid:",
        test="transport/tests/test_frames.py::"
        "test_frames_that_are_odd_are_errors",
    ),
    Mutation(
        promise="the length of a frame is bounded",
        path="transport/frames.py",
        old="if self._remaining > MAX_FRAME_BYTES:",
        new="if False:",
        test="transport/tests/test_frames.py::"
        "test_frames_that_are_odd_are_errors",
    ),
    Mutation(
        promise="a tunnel that ends without its last frame was lost",
        path="transport/tunnel.py",
        old='raise ConnectionResetError("the tunnel was lost")',
        new='return b""',
        test="transport/tests/test_tunnel.py::"
        "test_answer_without_a_length_is_lost_with_its_carrier",
    ),
    Mutation(
        promise="a carrier examines its own path as its targets end unanswered",
        path="transport/tunnel.py",
        old="if end.is_unanswered:",
        new="if False:",
        test="transport/tests/test_tunnel.py::"
        "test_tunnel_lost_unanswered_is_reported_to_its_carrier",
    ),
    Mutation(
        promise="a peer that loses new connections is asked last",
        path="paths/connections.py",
        old="elif used.exchange_count <= 1:",
        new="elif False:",
        test="paths/tests/test_connections.py::"
        "test_connection_lost_unanswered_leads_to_another_peer",
    ),
    Mutation(
        promise="a carrier serves daemons only",
        path="transport/tunnel.py",
        old="if not self._is_daemon(host):",
        new="if False:",
        test="transport/tests/test_tunnel.py::"
        "test_handshake_of_unknown_peer_is_closed_at_once",
    ),
    Mutation(
        promise="a carrier connects to listed addresses only",
        path="transport/tunnel.py",
        old="if not self._is_upstream(target):",
        new="if False:",
        test="transport/tests/test_tunnel.py::"
        "test_handshake_for_unlisted_address_is_denied",
    ),
    Mutation(
        promise="the number of tunnels is bounded",
        path="transport/tunnel.py",
        old="or self._open_count >= self._max_tunnels:",
        new=":",
        test="transport/tests/test_tunnel.py::"
        "test_handshake_beyond_the_most_tunnels_is_denied",
    ),
    Mutation(
        promise="answers that are held draw on the budget of bodies",
        path="entry/memory.py",
        old="self._take(reservation, size * ANSWER_COPIES)",
        new="pass",
        test="entry/tests/test_memory.py::"
        "test_answers_draw_on_the_budget_of_bodies",
    ),
    Mutation(
        promise="fields of a chat request are bounded as they are decoded",
        path="entry/documents.py",
        old="if count > MAX_FIELDS:",
        new="if False:",
        test="entry/tests/test_documents.py::"
        "test_decoding_takes_less_than_the_bytes_of_the_body",
    ),
    Mutation(
        promise="framing of a chunked body is bounded between turns",
        path="entry/bodies.py",
        old="        if self._left < 0:\n",
        new="        if False:\n",
        test="entry/tests/test_body_budget.py::"
        "test_framing_without_end_is_refused",
    ),
    Mutation(
        promise="carried connections leave the carrier its memory",
        path="transport/carriage.py",
        old="        available // least.compute_bytes(),\n",
        new="        max_descriptors,\n",
        test="transport/tests/test_carriage.py::"
        "test_full_tunnels_stay_within_their_part_of_the_memory",
    ),
    Mutation(
        promise="an initiator that does not read loses its tunnel",
        path="transport/tunnel.py",
        old="        with _limit_time(INITIATOR_WRITE_TIMEOUT):\n"
        "            sock.sendall(frames.encode(data))",
        new="        sock.sendall(frames.encode(data))",
        test="transport/tests/test_tunnel.py::"
        "test_initiator_that_does_not_read_loses_its_tunnel",
    ),
    Mutation(
        promise="a connection with lost data ends",
        path="transport/connection.py",
        old="        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),\n",
        new="",
        test="transport/tests/test_silent_loss.py::"
        "test_silent_peer_ends_its_connection_with_and_without_data",
    ),
    Mutation(
        promise="a silently lost caller ends its request",
        path="entry/connections.py",
        old="        _limit_silence(sock, self.bounds.loss_timeout)\n",
        new="",
        test="entry/tests/test_connections.py::"
        "test_request_of_a_caller_lost_without_a_word_ends",
    ),
    Mutation(
        promise="an evacuated failure domain gets no request",
        path="relay/selection.py",
        old="            and not self._states.is_paused(backend.vm)\n"
        "            and not self.is_evacuated(backend)\n",
        new="            and not self._states.is_paused(backend.vm)\n",
        test="relay/tests/test_evacuation.py::"
        "test_freed_slot_of_an_evacuated_domain_is_not_assigned",
    ),
    Mutation(
        promise="an evacuation that begins before the send is obeyed",
        path="relay/attempt.py",
        old="        if self._context.dispatcher.is_evacuated(backend):\n",
        new="        if not backend:\n",
        test="relay/tests/test_evacuation.py::"
        "test_request_whose_domain_is_evacuated_before_the_send_goes_elsewhere",
    ),
    Mutation(
        promise="daemons together send a warming VM no more than its rate",
        path="balancing/cold.py",
        old="turns // size + (1 if rank < turns % size else 0)",
        new="max(1, turns // size)",
        test="balancing/tests/test_cold.py::"
        "test_sum_of_any_fleet_and_rate_is_at_most_the_rate",
    ),
    Mutation(
        promise="unknown daemons count in the order of daemons",
        path="balancing/cold.py",
        old="math.ceil((size - known) * (rank + 1) / (known + 1))",
        new="0",
        test="balancing/tests/test_cold.py::"
        "test_few_known_names_with_the_true_count_keep_the_bound",
    ),
    Mutation(
        promise="turns at warming VMs go to daemons with callers",
        path="balancing/cold.py",
        old="_compute_rank(view.own, others, view.busy, vm)",
        new="_compute_rank(view.own, others, frozenset(), vm)",
        test="balancing/tests/test_cold.py::"
        "test_turns_go_to_daemons_that_have_callers",
    ),
    Mutation(
        promise="a request to a warming backend takes a turn",
        path="relay/rounds.py",
        old="self._selector.warming.take_turn(candidate.backend)",
        new="pass",
        test="relay/tests/test_warming.py::"
        "test_second_attempt_takes_a_turn_too",
    ),
    Mutation(
        promise="a group warms while a member warms",
        path="relay/warming.py",
        old="key = vm.identity if member is None else member.key",
        new="key = vm.identity",
        test="relay/tests/test_warming.py::"
        "test_group_warms_while_a_member_warms",
    ),
    Mutation(
        promise="places of different dispatchers do not collide",
        path="balancing/scarcity.py",
        old="    first = position * len(places) // len(dispatchers)\n",
        new="    first = 0\n",
        test="balancing/tests/test_scarcity.py::"
        "test_places_of_all_dispatchers_add_up_to_the_slots",
    ),
    Mutation(
        promise="a dispatcher uses its own places first",
        path="relay/placement.py",
        old="if option.free_places > 0}",
        new="if False}",
        test="relay/tests/test_placement.py::"
        "test_own_place_is_used_before_others",
    ),
    Mutation(
        promise="a daemon with many callers uses idle places of others",
        path="relay/lending.py",
        old="        return self._loans.get(pool, loans.NO_LOAN)",
        new="        return loans.NO_LOAN",
        test="relay/tests/test_lending.py::"
        "test_daemon_with_many_callers_gets_a_loan",
    ),
    Mutation(
        promise="a rise of all demand is not taken for a daemon's own",
        path="balancing/loans.py",
        old="return min(samples[0][1], requests) if is_known else 0.0",
        new="return requests",
        test="balancing/tests/test_loans.py::"
        "test_rise_of_all_looks_like_no_excess",
    ),
    Mutation(
        promise="places are lent only while they are idle",
        path="balancing/loans.py",
        old="slots = min(wanted, idle * part)",
        new="slots = wanted",
        test="balancing/tests/test_loans.py::"
        "test_nobody_gets_more_in_an_overload_of_all",
    ),
    Mutation(
        promise="late work leaves slots to work in time",
        path="balancing/scarcity.py",
        old="rate = max(free - math.sqrt(slots), MIN_LATE_SHARE * slots)",
        new="rate = slots",
        test="balancing/tests/test_scarcity.py::"
        "test_late_work_gets_little_while_slots_are_scarce",
    ),
    Mutation(
        promise="what leaves a failure domain overfills no other",
        path="balancing/locality.py",
        old="max(0.0, load.slots * even_fill - load.demand)",
        new="load.slots",
        test="balancing/tests/test_locality.py::"
        "test_senders_together_do_not_overfill_a_receiver",
    ),
    Mutation(
        promise="what leaves a domain is its excess, also while demands change",
        path="balancing/locality.py",
        old="leaving_share = leaving / own.demand",
        new="leaving_share = min(1.0, 1.4 * leaving / own.demand)",
        test="balancing/tests/test_locality_patterns.py::"
        "test_full_domains_overfill_no_third_one",
    ),
    Mutation(
        promise="a domain with room keeps its requests, whatever the pattern",
        path="balancing/locality.py",
        old="        own.slots * even_fill,\n",
        new="",
        test="balancing/tests/test_locality_patterns.py::"
        "test_no_domain_sends_across_while_it_has_room",
    ),
    Mutation(
        promise="a preview of a replica has random draws of its own",
        path="routing/choice.py",
        old="        copied._random = generator\n",
        new="",
        test="admin/tests/test_preview.py::"
        "test_explained_replica_is_the_chosen_one_and_nothing_is_taken",
    ),
    Mutation(
        promise="a preview of a refusal takes no entitlement",
        path="admission/queue.py",
        old="{} if known is None else {work.account.name: copy.copy(known)}",
        new="self._entitlements",
        test="admin/tests/test_preview.py::"
        "test_predicted_refusal_is_the_one_that_a_push_gives",
    ),
    Mutation(
        promise="a daemon without a free own place borrows in any domain",
        path="relay/selection.py",
        old="        if is_borrowed:\n",
        new="        if False:\n",
        test="relay/tests/test_domains.py::"
        "test_a_borrowed_slot_is_sought_in_all_domains",
    ),
    Mutation(
        promise="daemons whose near places are slow fill no few others near",
        path="relay/placement.py",
        old="        candidates = preferred\n",
        new="        pass\n",
        test="relay/tests/test_domain_replay.py::"
        "test_shares_let_no_more_requests_wait_beside_free_slots",
    ),
    Mutation(
        promise="an explanation leaves the marks of backends as they are",
        path="relay/selection.py",
        old="            self._states.copy(),\n",
        new="            self._states,\n",
        test="relay/tests/test_explanation.py::"
        "test_an_explanation_changes_nothing",
    ),
    Mutation(
        promise="an explanation leaves the shares as they are",
        path="relay/domains.py",
        old="pool: copy.copy(flow) for pool, flow",
        new="pool: flow for pool, flow",
        test="relay/tests/test_explanation.py::"
        "test_an_explanation_changes_nothing",
    ),
    Mutation(
        promise="an explanation logs nothing",
        path="relay/domains.py",
        old="self.domain, self._clock, self._catalog, log=log_nothing\n",
        new="self.domain, self._clock, self._catalog\n",
        test="relay/tests/test_explanation.py::"
        "test_an_explanation_changes_nothing",
    ),
    Mutation(
        promise="an explanation has random draws of its own",
        path="relay/selection.py",
        old="            generator,\n            self._flows.copy(),\n",
        new="            self._generator,\n            self._flows.copy(),\n",
        test="relay/tests/test_explanation.py::"
        "test_an_explanation_changes_nothing",
    ),
    Mutation(
        promise="requests stay in their failure domain",
        path="relay/placement.py",
        old="if domain == option.backend.vm.failure_domain",
        new="if True",
        test="relay/tests/test_domains.py::test_request_stays_near",
    ),
    Mutation(
        promise="a daemon that peers read for makes no calls",
        path="platform/coverage.py",
        old="        return self._hears_updates() and not self._is_source()",
        new="        return False",
        test="platform/tests/test_coverage.py::"
        "test_daemons_that_others_rely_on_are_not_covered",
    ),
    Mutation(
        promise="peers that recover one by one end a feed once",
        path="platform/availability.py",
        old="        if since is None or self._has_answered_since(since):",
        new="        if since is None:",
        test="platform/tests/test_availability.py::"
        "test_peers_that_recover_one_by_one_end_the_feed_once",
    ),
    Mutation(
        promise="replicas of an evacuated domain are kept as they are",
        path="replicas/controller.py",
        old="        if self._is_evacuated(domain):\n",
        new="        if not domain:\n",
        test="replicas/tests/test_evacuations.py::"
        "test_evacuated_domain_is_neither_used_nor_repaired",
    ),
    Mutation(
        promise="bodies of requests stay within their part of the memory",
        path="entry/memory.py",
        old="        while self.used + added > limit:\n",
        new="        while False:\n",
        test="entry/tests/test_memory.py::test_budget_is_never_exceeded",
    ),
    Mutation(
        promise="a complete body does not give way to an incomplete one",
        path="entry/memory.py",
        old='        """Records that a body has arrived completely."""\n'
        "        self._incomplete.pop(reservation, None)\n",
        new='        """Records that a body has arrived completely."""\n',
        test="entry/tests/test_memory.py::test_complete_body_does_not_give_way",
    ),
    Mutation(
        promise="a connection keeps its place only with progress",
        path="entry/places.py",
        old="        if self._new_bytes >= PROGRESS_BYTES:\n",
        new="        if self._new_bytes:\n",
        test="entry/tests/test_places.py::"
        "test_connection_longest_without_progress_gives_way",
    ),
    Mutation(
        promise="a complete request keeps its place",
        path="entry/places.py",
        old='        """Records that a request is complete."""\n'
        "        self._incomplete.pop(place, None)\n",
        new='        """Records that a request is complete."""\n',
        test="entry/tests/test_places.py::"
        "test_complete_requests_keep_their_places",
    ),
    Mutation(
        promise="a body without progress gives its place to a caller",
        path="entry/connections.py",
        old="        if place is not None and not "
        "self.wsgi_input.has_unread_bytes():\n",
        new="        if place is not None:\n",
        test="entry/tests/test_body_budget.py::"
        "test_body_that_trickles_makes_room",
    ),
    Mutation(
        promise="all addresses of a daemon share the places of connections",
        path="platform/listener.py",
        old="                shared_places,\n",
        new="                None,\n",
        test="platform/tests/test_shared_places.py::"
        "test_addresses_share_the_places_of_connections",
    ),
    Mutation(
        promise="a daemon full of whole requests still says that it is ready",
        path="entry/places.py",
        old="        spare = self._spare if is_status else 0\n",
        new="        spare = 0\n",
        test="platform/tests/test_shared_places.py::"
        "test_addresses_share_the_places_of_connections",
    ),
    Mutation(
        promise="messages of peers are bounded",
        path="peers/server.py",
        old='    ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),\n',
        new="",
        test="peers/tests/test_bounds.py::test_large_request_is_refused",
    ),
    Mutation(
        promise="calls of peers are bounded",
        path="peers/server.py",
        old="            maximum_concurrent_rpcs=MAX_CALLS,\n",
        new="",
        test="peers/tests/test_bounds.py::test_calls_are_bounded",
    ),
    Mutation(
        promise="one peer does not take the calls of all",
        path="peers/server.py",
        old='    ("grpc.max_concurrent_streams", MAX_STREAMS),\n',
        new="",
        test="peers/tests/test_bounds.py::test_calls_are_bounded",
    ),
    Mutation(
        promise="operators' address and callers' share the places",
        path="daemon/assembly.py",
        old="        budget,\n        shared_places,\n    )\n"
        "    entry = app.EntryServer(\n",
        new="        budget,\n    )\n    entry = app.EntryServer(\n",
        test="standins/tests/test_trickling_clients.py::"
        "test_crowds_at_all_addresses_leave_descriptors[own-send_nothing]",
    ),
    Mutation(
        promise="long values of callers do not fill the log's queue",
        path="observe/output.py",
        old="        if len(line) > MAX_LINE_BYTES:\n            shortened",
        new="        if False:\n            shortened",
        test="observe/tests/test_output.py::"
        "test_lines_of_callers_bytes_are_bounded",
    ),
    Mutation(
        promise="connections of peers leave descriptors for callers",
        path="peers/server.py",
        old="            options=[*SERVER_OPTIONS, connections],\n",
        new="            options=SERVER_OPTIONS,\n",
        test="standins/tests/test_trickling_clients.py::"
        "test_silent_connections_of_peers_leave_descriptors",
    ),
    Mutation(
        promise="a finished request gives its memory back",
        path="entry/bodies.py",
        old="        self.release()\n        if self.has_unread_bytes():\n",
        new="        if self.has_unread_bytes():\n",
        test="entry/tests/test_body_budget.py::"
        "test_finished_request_gives_its_memory_back",
    ),
    Mutation(
        promise="callers told to come back do not take each other's room",
        path="balancing/returns.py",
        old="        self._cells[number][rank] += 1\n",
        new="",
        test="balancing/tests/test_returns.py::"
        "test_callers_refused_together_return_at_the_rate_of_room",
    ),
    Mutation(
        promise="refused callers come back after what waits",
        path="balancing/returns.py",
        old="MIN_SHARE * left) - self.waiting",
        new="MIN_SHARE * left)",
        test="balancing/tests/test_returns.py::"
        "test_backlog_is_served_before_callers_return",
    ),
    Mutation(
        promise="no refused caller is told to come back in vain",
        path="balancing/returns.py",
        old="        if number is None or number >= last:\n",
        new="        if number is None:\n",
        test="balancing/tests/test_returns.py::"
        "test_room_that_others_were_told_of_is_not_told_again",
    ),
    Mutation(
        promise="callers who come back find room",
        path="balancing/returns.py",
        old="        burst = min(seconds, PERSISTENCE "
        "* self.burst_age.total_seconds())\n",
        new="        return 10 * self.end_rate * seconds\n",
        test="admission/tests/test_returns.py::"
        "test_callers_who_come_back_find_room",
    ),
    Mutation(
        promise="a daemon that starts gets the list from a peer",
        path="platform/servers.py",
        old="            position = self._wait_for_list()\n",
        new="            position = None\n",
        test="platform/tests/test_servers.py::"
        "test_daemon_that_starts_gets_the_list_from_a_peer",
    ),
    Mutation(
        promise="a part of an answer is not taken for the list",
        path="gossip/list_history.py",
        old="    return reached == target\n",
        new="    return True\n",
        test="gossip/tests/test_list_history.py::"
        "test_answer_is_used_whole_in_any_order",
    ),
    Mutation(
        promise="a daemon does not answer for removals that it has not seen",
        path="gossip/list_history.py",
        old="        if version < self._floor:",
        new="        if False:",
        test="gossip/tests/test_list_history.py::"
        "test_history_does_not_answer_for_times_that_it_has_not_seen",
    ),
    Mutation(
        promise="no list is passed on after a restore",
        path="platform/servers.py",
        old="            not self._has_whole_list or self._has_warming_vms()",
        new="            self._has_warming_vms()",
        test="platform/tests/test_servers.py::"
        "test_list_is_not_passed_on_after_a_restore",
    ),
    Mutation(
        promise="a daemon answers few whole lists at a time",
        path="gossip/list_exchange.py",
        old="        return self._answered_bytes < MAX_ANSWER_BYTES",
        new="        return True",
        test="platform/tests/test_servers.py::"
        "test_daemon_answers_few_whole_lists_at_a_time",
    ),
    Mutation(
        promise="a daemon whose peers do not answer reads the list itself",
        path="gossip/list_start.py",
        old="            if self._asked_ready >= MAX_ASKED:",
        new="            if self._asked_ready >= 10 * MAX_ASKED:",
        test="gossip/tests/test_list_start.py::"
        "test_daemon_whose_peers_do_not_answer_reads_soon",
    ),
    Mutation(
        promise="what a failure domain sends to others is bounded",
        path="gossip/recipients.py",
        old="        if generator.random() * (len(near) + 1) < FAR_SENDERS:",
        new="        if True:",
        test="gossip/tests/test_digest.py::"
        "test_beats_of_a_large_fleet_stay_mostly_in_a_domain",
    ),
    Mutation(
        promise="other daemons pass on each update of the list",
        path="gossip/recipients.py",
        old="in generator.sample(capable, FANOUT)]",
        new="in capable[:FANOUT]]",
        test="gossip/tests/test_digest.py::"
        "test_other_daemons_pass_the_next_update_on",
    ),
    Mutation(
        promise="a failure domain hears at once that a daemon is ready",
        path="gossip/service.py",
        old="            if self._own.ready and not was_ready:",
        new="            if False:",
        test="gossip/tests/test_service.py::"
        "test_domain_hears_in_one_interval_that_a_daemon_is_ready",
    ),
    Mutation(
        promise="the least urgent kind keeps a small share",
        path="relay/blocking.py",
        old="DEMAND_FLOOR = 0.35\n",
        new="DEMAND_FLOOR = 0.0\n",
        test="relay/tests/test_fairness.py::"
        "test_least_urgent_kind_keeps_a_small_share",
    ),
    Mutation(
        promise="a less urgent kind is not served before a more urgent one",
        path="admission/queue.py",
        old="            if best is None or (priority, sent) < best:\n",
        new="            if best is None or (0, sent) < best:\n",
        test="relay/tests/test_fairness.py::"
        "test_less_urgent_kind_is_not_served_before_a_more_urgent_one",
    ),
    Mutation(
        promise="accounts share by tokens",
        path="admission/queue.py",
        old="            account_queue, work.tokens / work.account.weight\n",
        new="            account_queue, 0.0\n",
        test="relay/tests/test_fairness.py::"
        "test_accounts_share_by_tokens_and_none_starves",
    ),
    Mutation(
        promise="the order of one kind does not depend on sizes",
        path="admission/queue.py",
        old="key = (is_late, work.deadline, self._arrival_count)\n",
        new="key = (is_late, work.deadline + work.tokens * SECOND, "
        "self._arrival_count)\n",
        test="relay/tests/test_fairness.py::"
        "test_largest_requests_are_served_half_as_often_as_all",
    ),
    Mutation(
        promise="an order on its way is not planned again",
        path="fleet/planner.py",
        old="        if vm.name in self._input.pending:",
        new="        if False:",
        test="fleet/tests/test_sending.py::"
        "test_order_on_its_way_is_not_planned_again",
    ),
    Mutation(
        promise="orders that let groups serve go first",
        path="fleet/sending.py",
        old="(_rank(order), self._count, name, send)",
        new="(0, self._count, name, send)",
        test="fleet/tests/test_sending.py::"
        "test_orders_that_let_groups_serve_go_first",
    ),
    Mutation(
        promise="an answer is no word of a daemon that reads for others",
        path="platform/servers.py",
        old="        if not update.answer and self._gossip",
        new="        if self._gossip",
        test="platform/tests/test_servers.py::"
        "test_answer_of_a_peer_is_no_word_of_a_reader",
    ),
    Mutation(
        promise="a stream is refused before its caller gives it up",
        path="relay/works.py",
        old="            latest_start=latest_start,\n",
        new="",
        test="relay/tests/test_waiting.py::"
        "test_stream_is_refused_before_its_caller_gives_it_up",
    ),
    Mutation(
        promise="work whose caller has given up is not dispatched",
        path="admission/queue.py",
        old="    if work.latest_start is None:\n",
        new="    if True:\n",
        test="admission/tests/test_queue.py::"
        "test_queue_refuses_what_its_caller_gives_up",
    ),
    Mutation(
        promise="callers of a stream wait as long as the protocol says",
        path="platform/configuration.py",
        old="        MIN_STREAM_SILENCE,\n",
        new="",
        test="platform/tests/test_configuration.py::"
        "test_configuration_tells_when_callers_give_a_stream_up",
    ),
    Mutation(
        promise="the holder sends few orders itself",
        path="gossip/order_agents.py",
        old="if self._own.try_acquire(1.0, OWN_ORDERS_PER_SECOND, now):",
        new="if True:",
        test="gossip/tests/test_order_exchange.py::"
        "test_connections_of_the_holder_do_not_grow_with_the_fleet",
    ),
    Mutation(
        promise="an order is not lost with the message that asks for it",
        path="gossip/order_exchange.py",
        old="        self._count(Sender.AGAIN)\n"
        "        return self._client.send(order, fence, accepted)",
        new="        return orders.Outcome.UNKNOWN",
        test="gossip/tests/test_order_exchange.py::"
        "test_agent_without_answer_costs_no_order",
    ),
    Mutation(
        promise="an agent sends no order of an earlier holder",
        path="gossip/order_exchange.py",
        old="        if message.fence < self._highest_fence or self",
        new="        if self",
        test="gossip/tests/test_order_exchange.py::"
        "test_agent_sends_no_order_of_an_earlier_holder",
    ),
    Mutation(
        promise="a plain call is not sent to an evacuated domain",
        path="entry/plain.py",
        old="            if not self._is_withheld(backend, address)",
        new="            if True",
        test="entry/tests/test_plain.py::"
        "test_plain_call_is_refused_if_all_its_domains_are_evacuated",
    ),
    Mutation(
        promise="a plain call is held back if an evacuation begins meanwhile",
        path="upstreams/plain.py",
        old="    if is_evacuated():",
        new="    if False:",
        test="entry/tests/test_plain.py::"
        "test_plain_call_is_not_sent_if_the_evacuation_begins_meanwhile",
    ),
)
