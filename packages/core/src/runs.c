#include "runs.h"

#include <string.h>

#include "runs_state.h"

enum {
	PERMILLE = 1000,
	PERCENT = 100,
	/* A call that gets no answer is carried out at once, or seconds later. */
	LATE_CALL_MIN_US = 1000 * US_PER_MS,
	LEASE_MARGIN_US = 50 * US_PER_MS, /* time to stop a run whose lease expired */
	/* A run that has not ended this long after the request to stop it is held. A stop takes up
	 * to 50 ms. */
	HOLD_DELAY_US = 50 * US_PER_MS,
	/* A start that has got no answer for this long is held. A list takes a few ms. */
	START_HOLD_DELAY_US = 50 * US_PER_MS,
	BEHIND_REPORT_INTERVAL_US = 100 * US_PER_MS, /* between reports of the same slow run */
	BEHIND_MIN_ELAPSED_US = 120 * US_PER_MS, /* the speed of younger runs is not meaningful */
	STOP_RETRY_MAX_DOUBLINGS = 4,
	/* Share of the resources that is offered at once after an evacuation. */
	RETURN_PERCENT = 25
};

static const double speed_ewma_weight = 0.15; /* weight of one sample */
static const double behind_factor = 0.5; /* a run below this fraction of baseline_speed is behind */
static const double slow_factor = 0.5; /* a server below this fraction of baseline_speed is slow */
static const double run_time_ewma_weight = 0.05; /* weight of one ended run */
static const double speed_min = 0.02;
static const double speed_max = 20.0;

const char *run_outcome_name(enum run_outcome outcome)
{
	static const char *const names[RUN_OUTCOME_COUNT] = {
		[RUN_DONE] = "done",
		[RUN_FAILED] = "failed",
		[RUN_STOPPED] = "stopped",
		[RUN_EXPIRED] = "lease_expired",
		[RUN_LOST] = "server_lost",
		[RUN_NO_RESOURCES] = "no_room",
		[RUN_SERVER_UNAVAILABLE] = "server_leaving",
		[RUN_SUPERSEDED] = "superseded",
		[RUN_UNHEALTHY] = "server_unhealthy",
		[RUN_LATE] = "order_late",
		[RUN_INVALID] = "order_invalid",
		[RUN_UNANSWERED] = "order_unanswered",
		[RUN_BUSY] = "earlier_run_unsettled",
		[RUN_WITHDRAWN] = "withdrawn",
		[RUN_CRASHED] = "server_crashed",
	};

	return outcome > 0 && outcome < RUN_OUTCOME_COUNT ? names[outcome] : "unknown";
}

void runs_init(struct runs *runs, const struct runs_limits *limits,
	       const struct runs_callbacks *callbacks)
{
	*runs = (struct runs){
		.limits = *limits,
		.callbacks = *callbacks,
		.by_task = g_hash_table_new(g_str_hash, g_str_equal),
		.speed = 1.0,
		.baseline_speed = 1.0,
		.stop_by_us = INT64_MAX,
		.holds_version = 1,
	};
	table_init(&runs->table, sizeof(struct run));
	runs_ended_init(runs);
	health_init(&runs->health, &limits->health);
	runs->health.state = HEALTH_HEALTHY;
}

static void free_run_members(struct run *run)
{
	g_free(run->task);
	g_clear_pointer(&run->spec, g_bytes_unref);
}

void runs_free(struct runs *runs)
{
	uint32_t cursor = 0;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL)))
		free_run_members(run);
	table_free(&runs->table);
	runs_ended_free(runs);
	g_hash_table_destroy(runs->by_task);
	g_free(runs->last_failed_task);
}

void runs_server_present(struct runs *runs, const struct resources *total, bool leaving)
{
	runs->server_present = true;
	runs->total_resources = *total;
	runs->server_leaving = leaving;
}

void runs_set_evacuated(struct runs *runs, bool evacuated, int64_t now_us)
{
	if (evacuated == runs->evacuated)
		return;
	runs->evacuated = evacuated;
	if (evacuated) {
		runs_refuse_waiting(runs, now_us);
		return;
	}
	runs->returned_us = now_us;
	runs->return_cpu =
		MAX(runs->used_resources.cpu, runs->total_resources.cpu / PERCENT * RETURN_PERCENT);
}

bool runs_is_returning(const struct runs *runs, int64_t now_us)
{
	return runs->returned_us > 0 && now_us - runs->returned_us < RUNS_RETURN_US;
}

/* Returns whether two tasks belong to the same job, which the part of a name before the first dot
 * identifies. */
static bool same_job(const char *a, const char *b)
{
	size_t length = strcspn(a, ".");

	return strncmp(a, b, length) == 0 && b[length] == '.';
}

/* Returns the number of runs like RUN that the server can run at once. */
static uint32_t slot_count(const struct runs *runs, const struct run *run)
{
	return MAX(runs->total_resources.cpu / MAX(run->need.cpu, 1), 1);
}

/* Counts consecutive failures of one job once, because a job that can never succeed fails on any
 * server. */
static void record_failure(struct runs *runs, const struct run *run, int64_t now_us)
{
	if (runs->last_failed_task && same_job(run->task, runs->last_failed_task))
		return;
	g_free(runs->last_failed_task);
	runs->last_failed_task = g_strdup(run->task);
	health_record_result(&runs->health, false, slot_count(runs, run), now_us);
}

static void update_speed(struct runs *runs, double sample, int64_t now_us)
{
	/* After a pause, earlier samples say little about the present speed. */
	bool stale = runs->samples == 0 || now_us - runs->sampled_us > runs->limits.trial_us;

	sample = CLAMP(sample, speed_min, speed_max);
	runs->speed += (stale ? 1.0 : speed_ewma_weight) * (sample - runs->speed);
	if (sample > slow_factor * runs->baseline_speed || runs->samples == 0)
		runs->baseline_speed += (runs->samples == 0 ? 1.0 : speed_ewma_weight) *
					(sample - runs->baseline_speed);
	runs->samples++;
	runs->sampled_us = now_us;
}

static void record_outcome(struct runs *runs, const struct run *run, enum run_outcome outcome,
			   int64_t elapsed_us, int64_t now_us)
{
	if (outcome == RUN_FAILED) {
		record_failure(runs, run, now_us);
	} else if (outcome == RUN_DONE) {
		health_record_result(&runs->health, true, slot_count(runs, run), now_us);
		runs->run_us += (runs->run_us > 0 ? run_time_ewma_weight : 1.0) *
				((double)elapsed_us - runs->run_us);
		if (elapsed_us > 0 && run->estimate_us > 0)
			update_speed(runs, (double)run->estimate_us / (double)elapsed_us, now_us);
	}
}

static void release_resources(struct runs *runs, const struct resources *need)
{
	runs->used_resources.cpu -= need->cpu;
	runs->used_resources.memory_mb -= need->memory_mb;
	runs->used_resources.gpus -= need->gpus;
}

static void reserve_resources(struct runs *runs, const struct resources *need)
{
	runs->used_resources.cpu += need->cpu;
	runs->used_resources.memory_mb += need->memory_mb;
	runs->used_resources.gpus += need->gpus;
}

static void set_stop_by(struct runs *runs, struct run *run, int64_t stop_by_us)
{
	/* After a long suspension, the time may lie before the start of the clock. */
	stop_by_us = MAX(stop_by_us, 1);
	run->stop_by_us = run->stop_by_us > 0 ? MIN(run->stop_by_us, stop_by_us) : stop_by_us;
	runs->stop_by_us = MIN(runs->stop_by_us, run->stop_by_us);
}

static int64_t earliest_stop_by_us(const struct runs *runs)
{
	int64_t earliest_us = INT64_MAX;
	uint32_t cursor = 0;
	const struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL))) {
		if (run->stop_by_us > 0)
			earliest_us = MIN(earliest_us, run->stop_by_us);
	}
	return earliest_us;
}

void runs_end(struct runs *runs, struct handle handle, enum run_outcome outcome, int64_t now_us)
{
	struct run *run = table_get(&runs->table, handle);
	int64_t elapsed_us = now_us - run->ordered_us;
	struct run copy;

	record_outcome(runs, run, outcome, elapsed_us, now_us);
	if (run->phase == RUN_PHASE_WAITING)
		runs->waiting_cpu[run->priority] -= run->need.cpu;
	else
		release_resources(runs, &run->need);
	if (run->owner == RUN_NO_OWNER)
		runs->ownerless_runs--;
	if (run->unknown)
		runs->unknown_runs--;
	if (run->held)
		runs->holds_version++;
	g_hash_table_remove(runs->by_task, run->task);
	copy = *run;
	table_remove(&runs->table, handle);
	if (copy.stop_by_us > 0)
		runs->stop_by_us = earliest_stop_by_us(runs);
	if (copy.owner != RUN_NO_OWNER)
		runs->callbacks.run_ended(runs->callbacks.context, &copy, outcome, elapsed_us);
	free_run_members(&copy);
}

static bool is_being_stopped(const struct run *run)
{
	return run->phase == RUN_PHASE_STOPPING || run->phase == RUN_PHASE_STOP_ACKED;
}

static enum run_outcome outcome_of_server_end(const struct runs *runs, const struct run *run)
{
	if (run->phase == RUN_PHASE_WAITING)
		return RUN_SERVER_UNAVAILABLE;
	if (runs->server_leaving || !run->confirmed || is_being_stopped(run))
		return RUN_LOST;
	return RUN_CRASHED;
}

/* A run that was held only because its start was not answered is held no more. */
static void confirm(struct runs *runs, struct run *run, int64_t now_us)
{
	if (run->confirmed)
		return;
	run->confirmed_us = now_us;
	run->confirmed = true;
	if (run->held)
		runs->holds_version++;
	run->held = run->held && (run->stop_requested || !run->held_for_start);
	run->settle_by_us = 0;
}

bool runs_start_in_transit(const struct run *run)
{
	return run->phase != RUN_PHASE_WAITING && !run->confirmed && !run->unknown;
}

static void hold_run(struct runs *runs, struct run *run, int64_t waited_us)
{
	run->held_for_start = false;
	if (run->held)
		return;
	run->held = true;
	runs->holds_version++;
	runs->callbacks.run_held(runs->callbacks.context, run, waited_us);
}

static void send_stop(struct runs *runs, struct run *run, struct handle handle, int64_t now_us)
{
	runs_set_phase(run, RUN_PHASE_STOPPING, now_us);
	run->stop_sent_us = now_us;
	runs->callbacks.order_stop(runs->callbacks.context, run->task, run->attempt, handle);
}

/* Makes the epoch of later calls higher than EPOCH. */
static void raise_epoch(struct runs *runs, int64_t epoch)
{
	runs->epoch = MAX(runs->epoch, epoch + 1);
}

/* Withdraws a waiting run, or sends a stop for one that was ordered or confirmed. In the other
 * phases, a stop was sent already or will be sent when the next list arrives. */
static void request_stop(struct runs *runs, struct run *run, struct handle handle,
			 int64_t stop_by_us, int64_t now_us)
{
	set_stop_by(runs, run, stop_by_us);
	if (!run->stop_requested)
		run->stop_requested_us = now_us;
	run->stop_requested = true;
	if (run->phase == RUN_PHASE_WAITING)
		runs_end(runs, handle, RUN_WITHDRAWN, now_us);
	else if (run->phase == RUN_PHASE_ACTIVE || run->phase == RUN_PHASE_ORDERED)
		send_stop(runs, run, handle, now_us);
}

/* Makes the new process of the server answer for RUN. What the old one said of it is void. */
static void settle_with_new_process(struct runs *runs, struct run *run, struct handle handle,
				    int64_t now_us)
{
	if (run->settle_by_us == 0)
		run->settle_by_us = now_us + RUNS_TRANSIT_MAX_US;
	raise_epoch(runs, run->epoch);
	run->process_replaced = true;
	run->confirmed = false;
	if (run->held)
		runs->holds_version++;
	if (run->phase == RUN_PHASE_UNCONFIRMED || run->phase == RUN_PHASE_ACTIVE)
		runs_set_phase(run, RUN_PHASE_UNCONFIRMED, now_us);
	else if (run->phase != RUN_PHASE_ORDERED)
		send_stop(runs, run, handle, now_us);
}

/* Reports a run that may go on as ended. */
static void give_up_run(struct runs *runs, struct run *run, int64_t now_us)
{
	const struct run copy = *run;

	hold_run(runs, run, 0);
	run->given_up = true;
	run->owner = RUN_NO_OWNER;
	runs->ownerless_runs++;
	runs->callbacks.run_ended(runs->callbacks.context, &copy,
				  outcome_of_server_end(runs, &copy), now_us - copy.ordered_us);
}

void runs_server_suspected(struct runs *runs, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	if (runs->suspected)
		return;
	runs->suspected = true;
	runs->server_present = false;
	runs_refuse_waiting(runs, now_us);
	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (runs_start_in_transit(run))
			settle_with_new_process(runs, run, handle, now_us);
		else if (run->owner != RUN_NO_OWNER && !is_being_stopped(run))
			give_up_run(runs, run, now_us);
	}
	if (table_count(&runs->table) > 0)
		runs->callbacks.request_lists(runs->callbacks.context);
}

/* Stops the runs that were given up, for which their owners have no use, if a process has answered.
 * It is unknown for how long their owners have been gone. */
static void stop_given_up(struct runs *runs, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->given_up && !run->stop_requested)
			request_stop(runs, run, handle, now_us, now_us);
	}
}

void runs_server_replaced(struct runs *runs, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	runs->server_present = false;
	runs->suspected = false;
	runs->last_processed_end = 0;
	runs->answered_epoch = 0;
	runs->other_attempt_listed = false;
	runs_ended_clear(runs);
	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (runs_start_in_transit(run) ||
		    (run->confirmed && run->confirmed_us > runs->lists_us))
			settle_with_new_process(runs, run, handle, now_us);
		else
			runs_end(runs, handle, outcome_of_server_end(runs, run), now_us);
	}
	if (table_count(&runs->table) > 0)
		runs->callbacks.request_lists(runs->callbacks.context);
}

static struct run *add_run(struct runs *runs, const struct run_request *request,
			   struct handle *handle, int64_t now_us)
{
	struct run *run = table_add(&runs->table, handle);

	*run = (struct run){
		.task = g_strdup(request->task),
		.attempt = request->attempt,
		.owner = request->owner,
		.number = request->number,
		.order = request->order,
		.need = request->need,
		.estimate_us = request->estimate_us,
		.spec = request->spec ? g_bytes_ref(request->spec) : NULL,
		.priority = MIN(request->priority, PRIORITY_LEVELS - 1),
		.urgency_us = request->urgency_us,
		.start_by_us = request->start_by_us,
		.ordered_us = now_us,
		.phase_us = now_us,
	};
	g_hash_table_insert(runs->by_task, run->task,
			    GSIZE_TO_POINTER((gsize)handle_pack(*handle)));
	return run;
}

static void report_refusal(struct runs *runs, const struct run_request *request,
			   enum run_outcome outcome)
{
	const struct run run = {
		.task = (char *)request->task,
		.attempt = request->attempt,
		.owner = request->owner,
		.number = request->number,
	};

	runs->callbacks.run_ended(runs->callbacks.context, &run, outcome, 0);
}

void runs_set_phase(struct run *run, enum run_phase phase, int64_t now_us)
{
	run->phase = phase;
	run->phase_us = now_us;
}

static void order_start(struct runs *runs, struct run *run, struct handle handle, int64_t now_us)
{
	runs_set_phase(run, RUN_PHASE_ORDERED, now_us);
	run->epoch = runs->epoch;
	run->ordered_us = now_us;
	runs->callbacks.order_start(runs->callbacks.context, handle);
}

void runs_send_start(struct runs *runs, struct run *run, struct handle handle, int64_t now_us)
{
	reserve_resources(runs, &run->need);
	order_start(runs, run, handle, now_us);
}

void runs_start(struct runs *runs, const struct run_request *request, int64_t now_us)
{
	/* A server on trial takes one run at a time, of all owners together. */
	bool admits_run = !runs_on_trial(runs, now_us) || table_count(&runs->table) == 0;
	struct resources available = runs_free_resources(runs, now_us);
	struct handle handle;
	struct run *run;
	gpointer earlier;

	if (!runs_ready(runs)) {
		report_refusal(runs, request, RUN_SERVER_UNAVAILABLE);
	} else if (g_hash_table_lookup_extended(runs->by_task, request->task, NULL, &earlier)) {
		hold_run(runs, table_get(&runs->table, handle_unpack(GPOINTER_TO_SIZE(earlier))),
			 0);
		report_refusal(runs, request, RUN_BUSY);
	} else if (admits_run && runs_waiting_cpu(runs) == 0 && runs_may_lease(runs, now_us) &&
		   resources_fit(&request->need, &available)) {
		run = add_run(runs, request, &handle, now_us);
		runs_send_start(runs, run, handle, now_us);
	} else if (admits_run && runs_make_queue_space(runs, request, now_us)) {
		run = add_run(runs, request, &handle, now_us);
		runs_set_phase(run, RUN_PHASE_WAITING, now_us);
		runs->waiting_cpu[run->priority] += run->need.cpu;
	} else {
		report_refusal(runs, request, RUN_NO_RESOURCES);
	}
}

/* Repeats an unanswered stop when its delay has passed. The first delay is short because another
 * run of the task may wait for the stop. The delay then doubles because each stop sent to a hanging
 * server occupies a connection. */
static void retry_stop(struct runs *runs, struct run *run, struct handle handle, int64_t now_us)
{
	int64_t delay_us = runs->limits.stop_retry_us
			   << MIN(run->stop_retries, STOP_RETRY_MAX_DOUBLINGS);

	if (now_us - run->stop_sent_us < delay_us)
		return;
	run->stop_retries++;
	send_stop(runs, run, handle, now_us);
}

void runs_stop_by(struct runs *runs, uint32_t owner, uint64_t number, int64_t stop_by_us,
		  int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->owner == owner && run->number == number) {
			request_stop(runs, run, handle,
				     MIN(stop_by_us, now_us + runs->limits.stop_wait_us), now_us);
			return;
		}
	}
}

void runs_stop(struct runs *runs, uint32_t owner, uint64_t number, int64_t now_us)
{
	runs_stop_by(runs, owner, number, INT64_MAX, now_us);
}

/* Stops a run whose owner may have been gone for long, so that its client may send the job again at
 * any time. */
static void abandon_run(struct runs *runs, struct run *run, struct handle handle,
			int64_t stop_by_us, int64_t now_us)
{
	if (run->phase != RUN_PHASE_WAITING)
		hold_run(runs, run, 0);
	request_stop(runs, run, handle, stop_by_us, now_us);
}

void runs_stop_owned(struct runs *runs, uint32_t owner, int64_t stop_by_us, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->owner == owner)
			abandon_run(runs, run, handle, stop_by_us, now_us);
	}
}

void runs_owner_gone(struct runs *runs, uint32_t owner, int64_t stop_by_us, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->owner != owner)
			continue;
		run->owner = RUN_NO_OWNER;
		runs->ownerless_runs++;
		abandon_run(runs, run, handle, stop_by_us, now_us);
	}
}

void runs_start_answered(struct runs *runs, struct handle handle, enum start_answer answer,
			 int64_t now_us)
{
	static const enum run_outcome refusals[] = {
		[START_NO_RESOURCES] = RUN_NO_RESOURCES,
		[START_SUPERSEDED] = RUN_SUPERSEDED,
		[START_LATE] = RUN_LATE,
		[START_UNHEALTHY] = RUN_UNHEALTHY,
		[START_INVALID] = RUN_INVALID,
		[START_NOT_SENT] = RUN_UNANSWERED,
		[START_STALE] = RUN_UNANSWERED,
	};
	struct run *run = table_get(&runs->table, handle);

	if (answer == START_UNANSWERED)
		runs->unanswered_silently = true;
	if (!run)
		return; /* the run has ended already, for example because a list showed its end */
	if (answer == START_STALE && !run->stop_requested && !runs->evacuated &&
	    runs_may_lease(runs, now_us)) {
		order_start(runs, run, handle, now_us);
		return;
	}
	g_clear_pointer(&run->spec, g_bytes_unref);
	if (answer == START_UNANSWERED) {
		if (runs_start_in_transit(run) && run->settle_by_us == 0)
			run->settle_by_us = now_us + RUNS_TRANSIT_MAX_US;
		if (run->phase != RUN_PHASE_ORDERED)
			return;
		runs_set_phase(run, RUN_PHASE_UNCONFIRMED, now_us);
		runs->callbacks.request_lists(runs->callbacks.context);
	} else if (answer != START_STARTED) {
		if (answer == START_UNHEALTHY)
			record_failure(runs, run, now_us);
		runs_end(runs, handle, refusals[answer], now_us);
	} else if (run->phase == RUN_PHASE_ORDERED || run->phase == RUN_PHASE_UNCONFIRMED) {
		runs_set_phase(run, RUN_PHASE_ACTIVE, now_us);
		confirm(runs, run, now_us);
	}
}

void runs_stop_answered(struct runs *runs, struct handle handle, bool acknowledged, int64_t now_us)
{
	struct run *run = table_get(&runs->table, handle);

	if (!run || run->phase != RUN_PHASE_STOPPING)
		return;
	if (!acknowledged) {
		retry_stop(runs, run, handle, now_us);
		return;
	}
	runs_set_phase(run, RUN_PHASE_STOP_ACKED, now_us);
	runs->callbacks.request_lists(runs->callbacks.context);
}

static struct run *find_run(struct runs *runs, const struct run_list_row *row,
			    struct handle *handle)
{
	gpointer value;
	struct run *run;

	if (!g_hash_table_lookup_extended(runs->by_task, row->task, NULL, &value))
		return NULL;
	*handle = handle_unpack(GPOINTER_TO_SIZE(value));
	run = table_get(&runs->table, *handle);
	return run && run->attempt == row->attempt ? run : NULL;
}

static void apply_finished(struct runs *runs, const struct run_lists *list, int64_t now_us)
{
	for (size_t i = 0; i < list->finished_count; i++) {
		const struct run_list_row *row = &list->finished[i];
		struct handle handle;

		if (row->number <= runs->last_processed_end)
			continue;
		runs->last_processed_end = row->number;
		runs_ended_add(runs, row->task, row->attempt, now_us);
		if (find_run(runs, row, &handle))
			runs_end(runs, handle, row->outcome, now_us);
	}
}

/* Returns when a lease ends at the latest that is carried out by AT_US. */
static int64_t lease_expiry_us(const struct runs *runs, int64_t at_us)
{
	int64_t slack = runs->limits.lease_us * runs->limits.clock_drift_permille / PERMILLE;

	return at_us + runs->limits.lease_us + slack + LEASE_MARGIN_US;
}

static void extend_lease(struct runs *runs, int64_t now_us)
{
	runs->latest_lease_expiry_us =
		MAX(runs->latest_lease_expiry_us, lease_expiry_us(runs, now_us));
}

/* Stops a run that this agent did not order, for example one from before the agent restarted. */
static void stop_unknown_run(struct runs *runs, const struct run_list_row *row, int64_t now_us)
{
	const struct run_request request = {
		.task = row->task,
		.attempt = row->attempt,
		.owner = RUN_NO_OWNER,
		.need = {.cpu = row->cpu},
	};
	struct handle handle;
	struct run *run;

	if (g_hash_table_contains(runs->by_task, row->task)) {
		runs->callbacks.order_stop(runs->callbacks.context, row->task, row->attempt,
					   (struct handle){0});
		return;
	}
	run = add_run(runs, &request, &handle, now_us);
	run->unknown = true;
	/* It is unknown how long its owner has been gone. */
	set_stop_by(runs, run, now_us);
	/* The agent that ordered it may have sent a lease just before its end. */
	extend_lease(runs, now_us);
	run->stop_requested = true;
	run->stop_requested_us = now_us;
	runs->unknown_runs++;
	reserve_resources(runs, &run->need);
	runs->ownerless_runs++;
	hold_run(runs, run, 0);
	send_stop(runs, run, handle, now_us);
}

/* Compares the progress of a run with its estimate. A run that is far behind reveals a slow or
 * stalled server long before it ends. */
static void check_progress(struct runs *runs, struct run *run, int64_t now_us)
{
	int64_t elapsed_us = now_us - run->ordered_us;
	double rate;

	if (elapsed_us < BEHIND_MIN_ELAPSED_US || run->estimate_us <= 0)
		return;
	/* The percentage is rounded down, and a long task stays at 0 for a while. Adding 1 avoids
	 * too low a rate. */
	rate = (double)(run->percent + 1) / PERCENT * (double)run->estimate_us / (double)elapsed_us;
	if (rate >= behind_factor * runs->baseline_speed)
		return;
	if (now_us - run->behind_reported_us < BEHIND_REPORT_INTERVAL_US)
		return;
	run->behind_reported_us = now_us;
	update_speed(runs, rate, now_us);
	if (run->owner != RUN_NO_OWNER)
		runs->callbacks.run_behind(runs->callbacks.context, run, elapsed_us);
}

static void apply_running(struct runs *runs, const struct run_lists *list, GHashTable *listed,
			  int64_t asked_us, int64_t now_us)
{
	bool other_attempt = false;

	for (size_t i = 0; i < list->running_count; i++) {
		const struct run_list_row *row = &list->running[i];
		struct handle handle;
		struct run *run = find_run(runs, row, &handle);

		if (!run && runs_ended_contains(runs, row->task, row->attempt))
			continue; /* the list was overtaken by the one that showed the end */
		if (!run) {
			other_attempt |= g_hash_table_contains(runs->by_task, row->task);
			stop_unknown_run(runs, row, now_us);
			continue;
		}
		g_hash_table_add(listed, run);
		run->percent = row->percent;
		confirm(runs, run, now_us);
		if (run->phase == RUN_PHASE_UNCONFIRMED) {
			runs_set_phase(run, RUN_PHASE_ACTIVE, now_us);
			if (run->stop_requested)
				send_stop(runs, run, handle, now_us);
		}
		if (run->phase == RUN_PHASE_ACTIVE)
			check_progress(runs, run, now_us);
	}
	if (asked_us < runs->other_attempt_asked_us)
		return; /* overtaken */
	runs->other_attempt_listed = other_attempt;
	runs->other_attempt_asked_us = asked_us;
}

/* Returns the outcome of a run that was stopped and whose end the server has not listed. */
static enum run_outcome outcome_of_stop(const struct run *run)
{
	if (run->process_replaced || run->missed)
		return RUN_LOST; /* it may have run, here or in a process that has ended */
	return run->stop_requested ? RUN_STOPPED : RUN_UNANSWERED;
}

/* Returns whether the start of RUN, which is missing from a list requested with EPOCH, has got no
 * answer and can't be carried out any more. */
static bool start_is_void(const struct run *run, int64_t epoch)
{
	return runs_start_in_transit(run) && run->phase != RUN_PHASE_ORDERED && run->epoch < epoch;
}

/* Handles runs that are missing from a list requested at ASKED_US with EPOCH. */
static void apply_missing(struct runs *runs, GHashTable *listed, int64_t epoch, int64_t asked_us,
			  int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->phase == RUN_PHASE_WAITING || g_hash_table_contains(listed, run))
			continue;
		if (start_is_void(run, epoch)) {
			runs_end(runs, handle, run->process_replaced ? RUN_LOST : RUN_UNANSWERED,
				 now_us);
			continue;
		}
		if (run->phase_us > asked_us)
			continue;
		if (run->phase == RUN_PHASE_STOP_ACKED) {
			runs_end(runs, handle, outcome_of_stop(run), now_us);
		} else if (run->phase == RUN_PHASE_UNCONFIRMED || run->phase == RUN_PHASE_ACTIVE) {
			/* The start may be in transit, or the list may be wrong. */
			run->missed = run->phase == RUN_PHASE_ACTIVE;
			send_stop(runs, run, handle, now_us);
		}
	}
}

/* A call with a lease that got no answer may have been carried out just before NOW_US, and can't be
 * later. */
static void bound_unanswered_leases(struct runs *runs, int64_t now_us)
{
	extend_lease(runs, now_us);
	runs->unanswered_epoch = 0;
	runs->unanswered_silently = false;
}

/* Records that the server has answered a call with EPOCH. */
static void epoch_answered(struct runs *runs, int64_t epoch, int64_t now_us)
{
	runs->answered_epoch = MAX(runs->answered_epoch, epoch);
	if (runs->unanswered_epoch > 0 && runs->unanswered_epoch < runs->answered_epoch)
		bound_unanswered_leases(runs, now_us);
}

void runs_apply_lists(struct runs *runs, const struct run_lists *list, int64_t epoch,
		      int64_t asked_us, int64_t now_us)
{
	GHashTable *listed = g_hash_table_new(NULL, NULL);

	runs->lists_us = now_us;
	epoch_answered(runs, epoch, now_us);
	apply_finished(runs, list, now_us);
	runs->suspected = false;
	apply_running(runs, list, listed, asked_us, now_us);
	apply_missing(runs, listed, epoch, asked_us, now_us);
	stop_given_up(runs, now_us);
	g_hash_table_destroy(listed);
}

bool runs_may_lease(const struct runs *runs, int64_t now_us)
{
	return !runs->suspected && !runs->other_attempt_listed && now_us < runs->stop_by_us;
}

void runs_lease_sent(struct runs *runs, int64_t now_us)
{
	runs->pending_leases++;
	extend_lease(runs, now_us);
}

void runs_lease_ended(struct runs *runs, int64_t epoch, int64_t sent_us, enum lease_end end,
		      int64_t now_us)
{
	runs->pending_leases--;
	if (end == LEASE_ANSWERED)
		return;
	if (end == LEASE_UNANSWERED)
		runs->unanswered_silently = true;
	raise_epoch(runs, epoch);
	if (runs->unanswered_epoch == 0)
		runs->unanswered_since_us = sent_us;
	runs->unanswered_since_us = MIN(runs->unanswered_since_us, sent_us);
	runs->unanswered_epoch = MAX(runs->unanswered_epoch, epoch);
	runs->unanswered_us = MAX(runs->unanswered_us, sent_us);
	if (runs->unanswered_epoch < runs->answered_epoch)
		bound_unanswered_leases(runs, now_us);
}

void runs_paused(struct runs *runs, int64_t gap_us)
{
	uint32_t cursor = 0;
	struct run *run;

	runs->latest_lease_expiry_us += gap_us;
	runs->unanswered_since_us += gap_us;
	runs->unanswered_us += gap_us;
	while ((run = table_next(&runs->table, &cursor, NULL))) {
		if (run->settle_by_us > 0)
			run->settle_by_us += gap_us;
	}
}

/* Returns when all runs at the server have certainly ended without a new lease. */
static int64_t leases_end_us(const struct runs *runs)
{
	if (runs->pending_leases > 0)
		return INT64_MAX;
	if (runs->unanswered_epoch == 0)
		return runs->latest_lease_expiry_us;
	/* A server that refuses connections gets no more calls. The holds whose connections its end
	 * has broken come too late for a run that no other lease has kept. */
	if (runs->suspected && !runs->unanswered_silently &&
	    runs->unanswered_since_us + LATE_CALL_MIN_US > runs->latest_lease_expiry_us)
		return runs->latest_lease_expiry_us;
	return MAX(runs->latest_lease_expiry_us,
		   lease_expiry_us(runs, runs->unanswered_us + RUNS_TRANSIT_MAX_US));
}

static void check_start(struct runs *runs, struct run *run, int64_t now_us)
{
	int64_t waited_us = now_us - run->ordered_us;

	if (run->held || run->settle_by_us == 0 || waited_us < START_HOLD_DELAY_US)
		return;
	hold_run(runs, run, waited_us);
	run->held_for_start = true;
}

static void check_stop(struct runs *runs, struct run *run, struct handle handle, int64_t now_us)
{
	int64_t waited_us = now_us - run->stop_requested_us;

	if (run->stop_requested && waited_us >= HOLD_DELAY_US)
		hold_run(runs, run, waited_us);
	if (run->stop_requested && !run->stop_overdue && waited_us > runs->limits.stop_wait_us) {
		run->stop_overdue = true;
		runs->callbacks.stop_overdue(runs->callbacks.context, run, waited_us);
	}
	if (run->phase == RUN_PHASE_STOPPING)
		retry_stop(runs, run, handle, now_us);
}

void runs_tick(struct runs *runs, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run *run;
	int64_t end_us;

	health_tick(&runs->health, now_us);
	runs_refuse_waiting(runs, now_us);
	runs_ended_expire(runs, now_us);
	/* The end of a run extends no lease. */
	end_us = leases_end_us(runs);
	while ((run = table_next(&runs->table, &cursor, &handle))) {
		if (run->phase == RUN_PHASE_WAITING)
			continue;
		if (now_us > MAX(end_us, run->settle_by_us)) {
			runs_end(runs, handle, RUN_LOST, now_us);
			continue;
		}
		check_start(runs, run, now_us);
		check_stop(runs, run, handle, now_us);
	}
}

bool runs_ready(const struct runs *runs)
{
	return runs->server_present && !runs->suspected && !runs->server_leaving &&
	       !runs->evacuated && runs->health.state != HEALTH_QUARANTINED;
}

/* Returns the cpu that is offered, including what is in use. */
static uint32_t offered_cpu(const struct runs *runs, int64_t now_us)
{
	uint32_t total = runs->total_resources.cpu;
	int64_t missing = (int64_t)total - MIN(total, runs->return_cpu);

	if (!runs_is_returning(runs, now_us))
		return total;
	return (uint32_t)(total - missing +
			  missing * (now_us - runs->returned_us) / RUNS_RETURN_US);
}

struct resources runs_free_resources(const struct runs *runs, int64_t now_us)
{
	struct resources available = {0};
	uint32_t offered;

	if (!runs_ready(runs) || runs->unknown_runs > 0 || !runs_may_lease(runs, now_us))
		return available;
	offered = offered_cpu(runs, now_us);
	available.cpu = offered - MIN(offered, runs->used_resources.cpu);
	available.memory_mb = runs->total_resources.memory_mb -
			      MIN(runs->total_resources.memory_mb, runs->used_resources.memory_mb);
	available.gpus = runs->total_resources.gpus -
			 MIN(runs->total_resources.gpus, runs->used_resources.gpus);
	return available;
}

static bool is_slow(const struct runs *runs)
{
	return runs->samples > 0 && runs->speed < slow_factor * runs->baseline_speed;
}

bool runs_on_trial(const struct runs *runs, int64_t now_us)
{
	if (runs->health.state == HEALTH_TRIAL)
		return true;
	return is_slow(runs) && now_us - runs->sampled_us > runs->limits.trial_us;
}

double runs_speed(const struct runs *runs, int64_t now_us)
{
	if (runs_on_trial(runs, now_us) && runs->health.state != HEALTH_TRIAL)
		return runs->baseline_speed;
	return runs->speed;
}

uint64_t runs_settled_orders(const struct runs *runs, uint32_t owner, uint64_t handled)
{
	uint64_t settled = handled + 1;
	uint32_t cursor = 0;
	const struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL))) {
		if (run->owner == owner &&
		    (run->phase == RUN_PHASE_WAITING || runs_start_in_transit(run)))
			settled = MIN(settled, run->order);
	}
	return settled;
}

void runs_forget_orders(struct runs *runs, uint32_t owner)
{
	uint32_t cursor = 0;
	struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL))) {
		if (run->owner == owner)
			run->order = 0;
	}
}

uint32_t runs_count_owned(const struct runs *runs, uint32_t owner)
{
	uint32_t cursor = 0;
	uint32_t count = 0;
	const struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL)))
		count += run->owner == owner;
	return count;
}

void runs_foreach(struct runs *runs, void (*visit)(void *context, const struct run *run),
		  void *context)
{
	uint32_t cursor = 0;
	const struct run *run;

	while ((run = table_next(&runs->table, &cursor, NULL)))
		visit(context, run);
}
