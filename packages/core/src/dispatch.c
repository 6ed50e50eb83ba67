#include "dispatch.h"

#include <math.h>
#include <string.h>

#include "dispatch_state.h"
#include "drain.h"

enum {
	USELESS_FACTOR = 3, /* an answer is useless after this multiple of the objective */
	MOVE_DELAY_US = 60 * US_PER_MS, /* time to stop a run and start it elsewhere */
	MAX_MOVES = 2,
	/* A task is given up once this many servers have crashed under it. Each further run may
	 * take down another server and all other runs there. */
	MAX_CRASHES = 2,
	/* A task is not started again by its submission after this many runs that ended with their
	 * server or may have done so. The answer of a start may be lost with each of them, so that
	 * none counts as a crash. */
	MAX_LOSSES = 4,
	/* A crash is early in a run if it comes within this share of the expected run time, or
	 * within this time. A task that crashes servers does so early as a rule, while the other
	 * runs on them are hit at any time. */
	EARLY_CRASH_PERCENT = 25,
	EARLY_CRASH_US = 30 * US_PER_MS,
	/* The end of the connection of a client that has left follows its request within a round
	 * trip. */
	LATE_REQUEST_WAIT_US = 20 * US_PER_MS,
	/* An agent whose connection has failed dials again after 50 ms, and gives the attempt up
	 * after 200 ms. */
	RECONNECT_GRACE_US = 250 * US_PER_MS,
	DEMAND_DECAY_US =
		5 * US_PER_SECOND, /* time in which the demand of a queue decays to 37 % */
	/* Delay before tasks refused for lack of room are sent to full servers again. On a full
	 * server with ten evenly staggered runs of 200 ms, one ends every 20 ms, so the next one
	 * ends after 10 ms on average; the delay is half of that. */
	NO_ROOM_BACKOFF_US = 5 * US_PER_MS
};

/* Share of the objective within which a job is planned to end. The rest is a margin, as predictions
 * are inexact and a job that starts late misses its objective. */
static const double planned_share = 0.85;
/* A run is moved only if its expected remaining time is at least this many times the sum of
 * MOVE_DELAY_US and the run time on the fastest server. */
static const double move_gain_min = 1.3;

struct queue_stats *dispatch_queue_stats(struct dispatch *dispatch, const char *queue)
{
	struct queue_stats *stats = g_hash_table_lookup(dispatch->queue_stats, queue);

	if (!stats) {
		stats = g_new0(struct queue_stats, 1);
		run_time_model_init(&stats->run_times);
		g_hash_table_insert(dispatch->queue_stats, g_strdup(queue), stats);
	}
	return stats;
}

static void free_queue_stats(gpointer data)
{
	struct queue_stats *stats = data;

	g_free(stats->service);
	g_free(stats);
}

void dispatch_init(struct dispatch *dispatch, const struct dispatch_limits *limits,
		   const struct dispatch_callbacks *callbacks, uint64_t seed)
{
	*dispatch = (struct dispatch){
		.limits = *limits,
		.callbacks = *callbacks,
		.by_id = g_hash_table_new(g_str_hash, g_str_equal),
		.queue = g_ptr_array_new(),
		.queue_stats =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_queue_stats),
		.random_state = seed,
		.drain_end_us = INT64_MAX,
	};
	policy_init(&dispatch->policy);
	fleet_init(&dispatch->fleet);
	bulkhead_init(&dispatch->bulkhead);
	crash_history_init(&dispatch->crashes, limits->crash_retention_us,
			   limits->max_crashed_tasks);
	task_holds_init(&dispatch->holds);
	table_init(&dispatch->jobs, sizeof(struct job *));
	table_init(&dispatch->runs, sizeof(struct run_row));
}

static void free_job(struct job *job)
{
	g_free(job->id);
	g_free(job->queue);
	g_free(job->service);
	g_bytes_unref(job->spec);
	g_free(job);
}

void dispatch_free(struct dispatch *dispatch)
{
	uint32_t cursor = 0;
	struct job **row;

	while ((row = table_next(&dispatch->jobs, &cursor, NULL)))
		free_job(*row);
	table_free(&dispatch->jobs);
	table_free(&dispatch->runs);
	fleet_free(&dispatch->fleet);
	crash_history_free(&dispatch->crashes);
	task_holds_free(&dispatch->holds);
	bulkhead_free(&dispatch->bulkhead);
	g_hash_table_destroy(dispatch->by_id);
	g_hash_table_destroy(dispatch->queue_stats);
	g_ptr_array_free(dispatch->queue, TRUE);
}

struct job *dispatch_find(const struct dispatch *dispatch, struct handle handle)
{
	struct job **row = table_get(&dispatch->jobs, handle);

	return row ? *row : NULL;
}

static struct job *find_job_by_id(const struct dispatch *dispatch, const char *id)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(dispatch->by_id, id, NULL, &value))
		return NULL;
	return dispatch_find(dispatch, dispatch_unpack(value));
}

void dispatch_enqueue(struct dispatch *dispatch, struct job *job)
{
	if (!job->in_queue)
		g_ptr_array_add(dispatch->queue, dispatch_pack(job->handle));
	job->in_queue = true;
	dispatch->pump_needed = true;
}

void dispatch_dequeue(struct dispatch *dispatch, struct job *job)
{
	if (job->in_queue)
		g_ptr_array_remove_fast(dispatch->queue, dispatch_pack(job->handle));
	job->in_queue = false;
}

/* Forgets a finished job under its id, which stands for its predecessor again if that still has
 * unsettled runs. */
static void forget_id(struct dispatch *dispatch, const struct job *job)
{
	struct job *predecessor = dispatch_find(dispatch, job->predecessor);
	gpointer value;

	if (!g_hash_table_lookup_extended(dispatch->by_id, job->id, NULL, &value) ||
	    value != dispatch_pack(job->handle))
		return;
	if (predecessor)
		g_hash_table_replace(dispatch->by_id, predecessor->id,
				     dispatch_pack(predecessor->handle));
	else
		g_hash_table_remove(dispatch->by_id, job->id);
}

/* Frees a finished job once it has no unsettled runs. */
static void free_if_settled(struct dispatch *dispatch, struct job *job)
{
	if (!job->finished || job->unsettled_runs > 0)
		return;
	forget_id(dispatch, job);
	table_remove(&dispatch->jobs, job->handle);
	free_job(job);
	dispatch->pump_needed = true;
}

static void stop_run(struct dispatch *dispatch, struct handle handle, struct run_row *run,
		     int64_t now_us)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, run->server);

	if (run->stop_requested_us > 0)
		return;
	run->stop_requested_us = now_us;
	if (server && server->link)
		dispatch->callbacks.stop_run(dispatch->callbacks.context, server->link,
					     handle_pack(handle));
}

static void stop_runs(struct dispatch *dispatch, struct job *job, int64_t now_us)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		struct run_row *run;

		if (job->tasks[i].phase != TASK_SENT)
			continue;
		run = table_get(&dispatch->runs, job->tasks[i].run);
		if (run)
			stop_run(dispatch, job->tasks[i].run, run, now_us);
	}
}

void dispatch_finish(struct dispatch *dispatch, struct job *job, struct job_end *end,
		     int64_t now_us)
{
	void *context = job->context;

	job->finished = true;
	dispatch_dequeue(dispatch, job);
	/* Jobs that end for other reasons than too little room, for example because no server is
	 * known after a restart, say nothing of the capacity. */
	if (end->status == STATUS_DEADLINE_UNREACHABLE)
		dispatch_kind(job->stats, now_us)->lost_core_us +=
			job->queued_tasks * dispatch_task_core_us(job);
	stop_runs(dispatch, job, now_us);
	end->elapsed_us = now_us - job->arrived_us;
	end->objective_us = job->objective_at_us - job->arrived_us;
	if (job->order_count > 0) {
		end->first_order_us = job->first_order_us - job->arrived_us;
		end->last_order_us = job->last_order_us - job->arrived_us;
	}
	end->tasks = job->task_count;
	end->runs = job->order_count;
	/* An unsettled run may have started, so it is unknown whether a task has run; also one of
	 * an earlier submission, here or at another entry. */
	if (job->may_have_run || job->unsettled_runs > 0 ||
	    dispatch_find(dispatch, job->predecessor) ||
	    task_holds_of_job(&dispatch->holds, job->id))
		end->outcome = OUTCOME_UNKNOWN;
	dispatch->callbacks.job_finished(dispatch->callbacks.context, job->id, context, end);
	free_if_settled(dispatch, job);
}

static void end_job(struct dispatch *dispatch, struct job *job, enum status status,
		    const char *reason, int64_t now_us)
{
	struct job_end end = {.status = status, .reason = reason, .retry_after_s = 1};

	dispatch_finish(dispatch, job, &end, now_us);
}

struct shedding_kind *dispatch_kind(struct queue_stats *stats, int64_t now_us)
{
	double decay = exp(-(double)(now_us - stats->kind_us) / (double)SHEDDING_MEMORY_US);

	stats->kind.offered_core_us *= decay;
	stats->kind.lost_core_us *= decay;
	stats->kind_us = now_us;
	return &stats->kind;
}

static double demand_at(const struct queue_stats *stats, int64_t now_us)
{
	return stats->demand_core_us *
	       exp(-(double)(now_us - stats->demand_us) / (double)DEMAND_DECAY_US);
}

static void record_demand(const struct job *job, int64_t now_us)
{
	struct queue_stats *stats = job->stats;

	stats->demand_core_us =
		demand_at(stats, now_us) + job->task_count * dispatch_task_core_us(job);
	stats->demand_us = now_us;
	dispatch_kind(stats, now_us)->offered_core_us +=
		job->task_count * dispatch_task_core_us(job);
	stats->kind.priority = job->priority;
	if (g_strcmp0(stats->service, job->service) != 0) {
		g_free(stats->service);
		stats->service = g_strdup(job->service);
	}
}

/* Makes QUEUE a suspect. SHARE is its share of the work as another entry knows it, or 0. */
static void suspect_queue(struct dispatch *dispatch, const char *queue, double share,
			  bool seen_here, int64_t now_us)
{
	const struct queue_stats *stats = g_hash_table_lookup(dispatch->queue_stats, queue);
	GHashTableIter iter;
	gpointer value;
	double total = 0;

	if (!stats || !stats->service || !dispatch->policy.separate_suspects)
		return;
	g_hash_table_iter_init(&iter, dispatch->queue_stats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct queue_stats *other = value;

		if (g_strcmp0(other->service, stats->service) == 0)
			total += demand_at(other, now_us);
	}
	bulkhead_suspect(&dispatch->bulkhead, queue, stats->service,
			 seen_here && total > 0 ? demand_at(stats, now_us) / total : share,
			 seen_here, now_us);
	dispatch->pump_needed = true;
}

void dispatch_suspect_reported(struct dispatch *dispatch, const char *queue, double share,
			       int64_t now_us)
{
	suspect_queue(dispatch, queue, share, false, now_us);
}

static struct job *new_job(struct dispatch *dispatch, const struct job_request *request,
			   int64_t now_us)
{
	struct job *job =
		g_malloc0(sizeof(*job) + (size_t)request->tasks * sizeof(struct job_task));
	int64_t objective_us;
	struct job **row;

	job->stats = dispatch_queue_stats(dispatch, request->queue);
	job->task_us = run_time_model_predict(&job->stats->run_times, request->estimate_us);
	job->longest_task_us = run_time_model_longest(job->task_us, request->tasks);
	objective_us =
		(int64_t)(request->stretch * (double)job->longest_task_us) + request->slack_us;
	job->id = g_strdup(request->id);
	job->queue = g_strdup(request->queue);
	job->service = g_strdup(request->service);
	job->spec = g_bytes_ref(request->spec);
	job->step = request->step;
	job->need = request->need;
	job->estimate_us = request->estimate_us;
	job->arrived_us = request->arrived_us;
	job->deadline_us = MIN(request->deadline_us, dispatch->drain_end_us);
	job->objective_at_us = MIN(request->arrived_us + objective_us, job->deadline_us);
	job->planned_end_us =
		MIN(request->arrived_us + (int64_t)(planned_share * (double)objective_us),
		    job->deadline_us);
	job->useless_after_us =
		MIN(request->arrived_us + USELESS_FACTOR * objective_us, job->deadline_us);
	job->priority = MIN(request->priority, PRIORITY_LEVELS - 1);
	job->max_attempts = MAX(request->max_attempts, 1);
	job->task_count = request->tasks;
	job->queued_tasks = request->tasks;
	job->context = request->context;
	if (now_us < dispatch->late_requests_until_us)
		job->start_from_us = now_us + LATE_REQUEST_WAIT_US;
	row = table_add(&dispatch->jobs, &job->handle);
	*row = job;
	record_demand(job, now_us);
	return job;
}

/* Returns whether as many servers as allowed have crashed under a task of JOB, in an earlier
 * submission or at another entry. */
static bool crashed_before(const struct dispatch *dispatch, const struct job *job, int64_t now_us)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		if (crash_history_count(&dispatch->crashes, job->id, i, now_us) >= MAX_CRASHES)
			return true;
	}
	return false;
}

/* Returns whether JOB, which has just arrived, can be expected to end before this process does. */
static bool can_end_in_drain(struct dispatch *dispatch, const struct job *job, int64_t now_us)
{
	const struct queue_stats *stats = job->stats;
	double ahead_core_us[PRIORITY_LEVELS];
	struct admission_load load = {0};
	struct fleet_totals sum;

	if (dispatch->drain_end_us == INT64_MAX)
		return true;
	if (now_us >= dispatch->drain_end_us)
		return false;
	fleet_normalize_speeds(&dispatch->fleet);
	sum = fleet_compute_totals(&dispatch->fleet, job->service, stats->partition);
	load.capacity = sum.speed_weighted_cpu / CPU_PER_CORE;
	dispatch_backlog(dispatch, ahead_core_us);
	for (uint32_t i = 0; i <= job->priority; i++)
		load.ahead_core_us += ahead_core_us[i] + dispatch->peer_backlog_core_us[i];
	return drain_can_end(&dispatch->fleet,
			     &(struct drain_request){
				     .service = job->service,
				     .partition = stats->partition,
				     .need = job->need,
				     .tasks = job->task_count,
				     .run_us = (int64_t)((double)job->longest_task_us *
							 run_time_model_margin(&stats->run_times)),
				     .wait_us = admission_wait_us(&load),
			     },
			     now_us, dispatch->drain_end_us);
}

/* Ends JOB because this process is about to end. */
static void end_draining(struct dispatch *dispatch, struct job *job, int64_t now_us)
{
	end_job(dispatch, job, STATUS_DRAINING, "the entry is shutting down", now_us);
}

void dispatch_submit(struct dispatch *dispatch, const struct job_request *request, int64_t now_us)
{
	struct job *earlier = find_job_by_id(dispatch, request->id);
	struct job *job;

	if (earlier && !earlier->finished) {
		end_job(dispatch, earlier, STATUS_CANCELLED, "the client sent the job again",
			now_us);
		earlier = find_job_by_id(dispatch, request->id);
	}
	job = new_job(dispatch, request, now_us);
	if (earlier)
		job->predecessor = earlier->handle;
	g_hash_table_replace(dispatch->by_id, job->id, dispatch_pack(job->handle));
	if (!can_end_in_drain(dispatch, job, now_us))
		end_draining(dispatch, job, now_us);
	else if (dispatch->cut_off)
		end_job(dispatch, job, STATUS_LOG_UNAVAILABLE,
			"the entry is cut off from the platform", now_us);
	else if (table_count(&dispatch->jobs) > dispatch->limits.max_jobs)
		end_job(dispatch, job, STATUS_QUEUE_FULL, "too many unfinished jobs", now_us);
	else if (crashed_before(dispatch, job, now_us))
		end_job(dispatch, job, STATUS_TASK_FAILED,
			"backend servers crashed while they ran a task", now_us);
	else
		dispatch_enqueue(dispatch, job);
}

bool dispatch_end_job(struct dispatch *dispatch, const char *id, enum status status,
		      const char *reason, int64_t now_us)
{
	struct job *job = find_job_by_id(dispatch, id);

	if (!job || job->finished)
		return false;
	end_job(dispatch, job, status, reason, now_us);
	return true;
}

struct handle dispatch_server_add(struct dispatch *dispatch, void *link)
{
	return fleet_add(&dispatch->fleet, link);
}

void dispatch_server_report(struct dispatch *dispatch, struct handle handle,
			    const struct fleet_report *report, int64_t now_us)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, handle);

	if (!server)
		return;
	if (fleet_apply_report(&dispatch->fleet, server, report, now_us))
		dispatch->pump_needed = true;
}

void dispatch_server_evacuated(struct dispatch *dispatch, struct handle handle, bool evacuated)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, handle);

	if (server && fleet_set_evacuated(&dispatch->fleet, server, evacuated))
		dispatch->pump_needed = true;
}

void dispatch_server_disconnected(struct dispatch *dispatch, struct handle handle, int64_t now_us)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, handle);

	if (!server)
		return;
	server->link = NULL;
	server->ready = server->reported_ready = false;
	dispatch->fleet.speeds_stale = true;
	server->reported_us = now_us;
	if (server->runs == 0)
		fleet_remove(&dispatch->fleet, handle);
}

/* Ends the runs at SERVER with OUTCOME, except those whose numbers are in KNOWN, which may be NULL.
 */
static void end_runs_at(struct dispatch *dispatch, struct handle server, GHashTable *known,
			enum run_outcome outcome, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct run_row *run;

	while ((run = table_next(&dispatch->runs, &cursor, &handle))) {
		uint64_t number = handle_pack(handle);

		if (!handle_equal(run->server, server))
			continue;
		if (known && g_hash_table_contains(known, &number))
			continue;
		dispatch_run_ended(dispatch, number, outcome, 0, now_us);
	}
}

void dispatch_server_reconnected(struct dispatch *dispatch, struct handle handle, void *link,
				 const uint64_t *runs, size_t count, int64_t now_us)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, handle);
	GHashTable *known = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint32_t cursor = 0;
	struct handle run_handle;
	struct run_row *run;

	server->link = link;
	server->settled_orders = 0;
	/* The agent numbers the orders of each connection from 1, so its reports no longer refer to
	 * the numbers of earlier orders. */
	g_queue_clear_full(&server->orders, g_free);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(known, (gpointer)&runs[i]);
	/* An order that the agent does not know was lost with the connection and certainly not
	 * executed. */
	end_runs_at(dispatch, handle, known, RUN_UNANSWERED, now_us);
	/* A stop request may have been lost with the connection as well, so all are sent again. */
	while ((run = table_next(&dispatch->runs, &cursor, &run_handle))) {
		if (!handle_equal(run->server, handle))
			continue;
		run->order = 0;
		if (run->stop_requested_us > 0)
			dispatch->callbacks.stop_run(dispatch->callbacks.context, link,
						     handle_pack(run_handle));
	}
	g_hash_table_destroy(known);
}

void dispatch_server_settled(struct dispatch *dispatch, struct handle handle, int64_t now_us)
{
	end_runs_at(dispatch, handle, NULL, RUN_LOST, now_us);
	fleet_remove(&dispatch->fleet, handle);
}

/* Returns whether a run with OUTCOME was certainly not started. Relies on the order of
 * enum run_outcome. */
static bool never_ran(enum run_outcome outcome)
{
	return outcome >= RUN_NO_RESOURCES && outcome != RUN_CRASHED;
}

static void learn_run_time(const struct dispatch *dispatch, const struct job *job,
			   const struct fleet_server *server, int64_t elapsed_us)
{
	if (dispatch->policy.predict_run_times && server && server->speed_known && elapsed_us > 0)
		run_time_model_record(&job->stats->run_times, job->estimate_us,
				      (int64_t)((double)elapsed_us * server->speed));
}

static void requeue(struct dispatch *dispatch, struct job *job, struct job_task *task)
{
	task->phase = TASK_QUEUED;
	job->queued_tasks++;
	dispatch_enqueue(dispatch, job);
}

static void give_up(struct dispatch *dispatch, struct job *job, const struct crash_record *record,
		    int64_t now_us)
{
	struct job_end end = {
		.status = STATUS_TASK_FAILED,
		.reason = "backend servers crashed while they ran a task",
		.crashed_task = record,
	};

	if (record->early == record->servers->len)
		suspect_queue(dispatch, job->queue, 0, true, now_us);
	dispatch_finish(dispatch, job, &end, now_us);
}

static bool is_early(const struct job *job, int64_t elapsed_us)
{
	return elapsed_us <= MAX(job->task_us * EARLY_CRASH_PERCENT / 100, EARLY_CRASH_US);
}

static void handle_task_end(struct dispatch *dispatch, struct job *job, struct job_task *task,
			    enum run_outcome outcome, int64_t now_us)
{
	if (outcome == RUN_DONE) {
		task->phase = TASK_DONE;
		if (++job->done_tasks == job->task_count)
			end_job(dispatch, job, STATUS_OK, "all tasks are done", now_us);
		return;
	}
	if (outcome == RUN_FAILED && ++task->failures >= job->max_attempts) {
		end_job(dispatch, job, STATUS_TASK_FAILED,
			"a task reached its maximum number of failures", now_us);
		return;
	}
	if ((outcome == RUN_LOST || outcome == RUN_CRASHED) && ++task->losses >= MAX_LOSSES) {
		end_job(dispatch, job, STATUS_SERVER_UNREACHABLE,
			"backend servers were lost while they may have run a task", now_us);
		return;
	}
	if (outcome == RUN_INVALID) {
		end_job(dispatch, job, STATUS_SERVER_REFUSED,
			"the backend server rejected the task", now_us);
		return;
	}
	if (outcome == RUN_NO_RESOURCES)
		job->may_wait_from_us = now_us + NO_ROOM_BACKOFF_US;
	requeue(dispatch, job, task);
}

static bool should_have_stopped(const struct run_row *run, int64_t since_us)
{
	return run->stop_requested_us > 0 && run->stop_requested_us <= since_us;
}

void dispatch_foreach_unsettled(const struct dispatch *dispatch, struct handle handle,
				int64_t stop_since_us,
				void (*visit)(void *context, const char *job, uint32_t step,
					      uint32_t index, bool start),
				void *context)
{
	const struct fleet_server *server = fleet_get(&dispatch->fleet, handle);
	uint32_t cursor = 0;
	const struct run_row *run;

	if (!server || server->runs == 0)
		return;
	while ((run = table_next(&dispatch->runs, &cursor, NULL))) {
		const struct job *job;

		if (!handle_equal(run->server, handle) ||
		    (stop_since_us != INT64_MAX && !should_have_stopped(run, stop_since_us)))
			continue;
		job = dispatch_find(dispatch, run->job);
		visit(context, job->id, job->step, run->index,
		      run->order >= server->settled_orders);
	}
}

bool dispatch_has_overdue_stops(const struct dispatch *dispatch, int64_t since_us)
{
	uint32_t cursor = 0;
	const struct run_row *run;

	while ((run = table_next(&dispatch->runs, &cursor, NULL))) {
		if (should_have_stopped(run, since_us))
			return true;
	}
	return false;
}

bool dispatch_run_is_on(const struct dispatch *dispatch, uint64_t number, struct handle server)
{
	const struct run_row *run = table_get(&dispatch->runs, handle_unpack(number));

	return run && handle_equal(run->server, server);
}

void dispatch_run_ended(struct dispatch *dispatch, uint64_t number, enum run_outcome outcome,
			int64_t elapsed_us, int64_t now_us)
{
	struct handle handle = handle_unpack(number);
	struct run_row *row = table_get(&dispatch->runs, handle);
	struct fleet_server *server;
	struct run_row run;
	struct job *job;
	struct job_task *task;
	const struct crash_record *crash = NULL;
	char server_id[NAME_BYTES] = "";

	if (!row)
		return; /* the end of the run was already reported over an earlier connection */
	run = *row;
	table_remove(&dispatch->runs, handle);
	server = fleet_get(&dispatch->fleet, run.server);
	if (server) {
		g_strlcpy(server_id, server->id, sizeof(server_id));
		server->runs--;
		if (!server->link && server->runs == 0)
			fleet_remove(&dispatch->fleet, run.server);
	}
	dispatch->pump_needed = true;
	job = dispatch_find(dispatch, run.job);
	task = &job->tasks[run.index];
	job->unsettled_runs--;
	if (!never_ran(outcome) || outcome == RUN_BUSY)
		job->may_have_run = true;
	server = fleet_get(&dispatch->fleet, run.server);
	dispatch->callbacks.run_ended(dispatch->callbacks.context, job->id, run.index,
				      task->attempt, server_id, outcome, elapsed_us);
	if (outcome == RUN_DONE)
		learn_run_time(dispatch, job, server, elapsed_us);
	else if (outcome == RUN_FAILED || outcome == RUN_UNHEALTHY || run.restart_elsewhere)
		job->avoid_server = run.server;
	/* While a queue has servers of its own, each crash there is by one of its tasks. */
	if (outcome == RUN_CRASHED && job->stats->partition != BULKHEAD_SHARED)
		suspect_queue(dispatch, job->queue, 0, true, now_us);
	if (outcome == RUN_CRASHED)
		crash = crash_history_add(&dispatch->crashes, job->id, run.index, server_id,
					  is_early(job, elapsed_us), now_us);
	if (job->finished)
		free_if_settled(dispatch, job);
	else if (crash && crash->servers->len >= MAX_CRASHES)
		give_up(dispatch, job, crash, now_us);
	else
		handle_task_end(dispatch, job, task, outcome, now_us);
}

void dispatch_run_behind_estimate(struct dispatch *dispatch, uint64_t number, uint32_t percent,
				  int64_t elapsed_us, int64_t now_us)
{
	struct handle handle = handle_unpack(number);
	struct run_row *run = table_get(&dispatch->runs, handle);
	struct job *job = run ? dispatch_find(dispatch, run->job) : NULL;
	struct fleet_totals sum;
	int64_t here_us, elsewhere_us;

	if (!dispatch->policy.move_runs || !job || job->finished || run->stop_requested_us > 0 ||
	    job->tasks[run->index].moves >= MAX_MOVES)
		return;
	fleet_normalize_speeds(&dispatch->fleet);
	sum = fleet_compute_totals(&dispatch->fleet, job->service, job->stats->partition);
	if (sum.max_speed <= 0)
		return;
	/* PERCENT is rounded down: the task may be almost one percentage point further. Adding 1
	 * to the divisor allows for that, which gives a low estimate of the remaining time, and
	 * avoids a division by zero. 100 is treated as 99, because the run has not ended. */
	here_us = elapsed_us * (100 - MIN(percent, 99)) / (MIN(percent, 99) + 1);
	/* Being behind the estimate only matters if the job would miss its objective here. */
	if (now_us + here_us <= job->objective_at_us)
		return;
	elsewhere_us = MOVE_DELAY_US + (int64_t)((double)job->task_us / sum.max_speed);
	if (now_us + MIN(here_us, elsewhere_us) > job->deadline_us) {
		end_job(dispatch, job, STATUS_DEADLINE_UNREACHABLE,
			"a task is stalled, and neither it nor another run can end before the "
			"deadline",
			now_us);
		return;
	}
	if ((double)elsewhere_us * move_gain_min > (double)here_us)
		return;
	/* Without free room the task would return to the queue. That is worthwhile only if the run
	 * would end here too late for its answer to be of use. */
	if (sum.free_cpu < job->need.cpu && now_us + here_us <= job->useless_after_us)
		return;
	run->restart_elsewhere = true;
	job->tasks[run->index].moves++;
	stop_run(dispatch, handle, run, now_us);
}

void dispatch_set_peer_backlog(struct dispatch *dispatch, const double core_us[PRIORITY_LEVELS])
{
	memcpy(dispatch->peer_backlog_core_us, core_us, sizeof(dispatch->peer_backlog_core_us));
}

void dispatch_holds_changed(struct dispatch *dispatch)
{
	dispatch->pump_needed = true;
}

void dispatch_await_holds(struct dispatch *dispatch, int64_t until_us)
{
	dispatch->holds_awaited_until_us = until_us;
}

void dispatch_holds_known(struct dispatch *dispatch)
{
	dispatch->holds_awaited_until_us = 0;
	dispatch->pump_needed = true;
}

/* Returns whether the server of RUN has not been heard since SINCE_US or longer. */
static bool is_at_lost_host(const struct dispatch *dispatch, const struct run_row *run,
			    int64_t since_us)
{
	const struct fleet_server *server = fleet_get(&dispatch->fleet, run->server);

	return server && !server->link && server->reported_us <= since_us;
}

/* Returns whether a run of JOB, which has ended, may go on at a host that has not been heard since
 * SINCE_US or longer. */
static bool has_run_at_lost_host(const struct dispatch *dispatch, const struct job *job,
				 int64_t since_us)
{
	for (uint32_t i = 0; i < job->task_count; i++) {
		const struct run_row *run;

		if (job->tasks[i].phase != TASK_SENT)
			continue;
		run = table_get(&dispatch->runs, job->tasks[i].run);
		if (run && is_at_lost_host(dispatch, run, since_us))
			return true;
	}
	return false;
}

static bool is_queued(const void *context, uint32_t index)
{
	const struct job *job = context;

	return index < job->task_count && job->tasks[index].phase == TASK_QUEUED;
}

/*
 * Returns whether a task of JOB can't start because an earlier submission's run may go on at a host
 * that is not heard.
 *
 * Load pattern: a host is suspended or cut off for seconds, or removed, and the clients of its jobs
 * send them again. Nobody knows when their tasks may start, so their clients are told at once.
 */
static bool awaits_lost_host(const struct dispatch *dispatch, const struct job *job, int64_t now_us)
{
	const struct job *predecessor = dispatch_find(dispatch, job->predecessor);
	int64_t since_us = now_us - RECONNECT_GRACE_US;

	if (predecessor && has_run_at_lost_host(dispatch, predecessor, since_us))
		return true;
	return job->held &&
	       task_holds_await_lost_agent(&dispatch->holds, job->id, since_us, is_queued, job);
}

void dispatch_tick(struct dispatch *dispatch, int64_t now_us)
{
	uint32_t cursor = 0;
	struct handle handle;
	struct fleet_server *server;
	struct job **row;

	while ((row = table_next(&dispatch->jobs, &cursor, NULL))) {
		if ((*row)->finished)
			continue;
		if (now_us >= dispatch->drain_end_us)
			end_draining(dispatch, *row, now_us);
		else if (now_us >= (*row)->deadline_us)
			end_job(dispatch, *row, STATUS_DEADLINE_PASSED, "the deadline has passed",
				now_us);
		else if (awaits_lost_host(dispatch, *row, now_us))
			end_job(dispatch, *row, STATUS_AGENT_LOST,
				"an earlier run of a task may go on at a host that does not answer",
				now_us);
	}
	cursor = 0;
	while ((server = table_next(&dispatch->fleet.servers, &cursor, &handle))) {
		if (!server->link && now_us - server->reported_us > dispatch->limits.host_return_us)
			dispatch_server_settled(dispatch, handle, now_us);
	}
	if (task_holds_expire(&dispatch->holds, now_us))
		dispatch_holds_changed(dispatch);
}

void dispatch_await_agents(struct dispatch *dispatch, int64_t now_us)
{
	dispatch->connecting_until_us = now_us + dispatch->limits.connect_time_us;
}

void dispatch_set_cut_off(struct dispatch *dispatch, bool cut_off)
{
	dispatch->cut_off = cut_off;
}

void dispatch_expect_late_requests(struct dispatch *dispatch, int64_t until_us)
{
	dispatch->late_requests_until_us = until_us;
}

void dispatch_abort_all(struct dispatch *dispatch, const char *reason, int64_t now_us)
{
	uint32_t cursor = 0;
	struct job **row;

	while ((row = table_next(&dispatch->jobs, &cursor, NULL))) {
		if (!(*row)->finished) {
			/* An agent may have started and settled a run meanwhile, so the outcome is
			 * reported as unknown. */
			(*row)->may_have_run = true;
			end_job(dispatch, *row, STATUS_INTERNAL, reason, now_us);
		}
	}
}

void dispatch_drain(struct dispatch *dispatch, int64_t end_us, int64_t now_us)
{
	uint32_t cursor = 0;
	struct job **row;

	dispatch->drain_end_us = MIN(dispatch->drain_end_us, end_us);
	/* A queued job that cannot end by then is refused as soon as that is known. */
	while ((row = table_next(&dispatch->jobs, &cursor, NULL))) {
		(*row)->deadline_us = MIN((*row)->deadline_us, end_us);
		(*row)->useless_after_us = MIN((*row)->useless_after_us, end_us);
	}
	dispatch->pump_needed = true;
	dispatch_tick(dispatch, now_us);
}

bool dispatch_has_stopping_runs(const struct dispatch *dispatch)
{
	uint32_t cursor = 0;
	const struct run_row *run;

	while ((run = table_next(&dispatch->runs, &cursor, NULL))) {
		const struct fleet_server *server = fleet_get(&dispatch->fleet, run->server);

		if (run->stop_requested_us > 0 && server && server->link)
			return true;
	}
	return false;
}

/* Returns whether JOB is unfinished and none of its tasks can have been started. */
static bool is_pending(const struct job *job)
{
	return !job->finished && !job->may_have_run && job->unsettled_runs == 0;
}

uint32_t dispatch_pending_jobs(const struct dispatch *dispatch, const char *queue)
{
	uint32_t pending = 0;

	for (guint i = 0; i < dispatch->queue->len; i++) {
		const struct job *job =
			dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]));

		pending += is_pending(job) && strcmp(job->queue, queue) == 0;
	}
	return pending;
}

void dispatch_count_pending_by_queue(const struct dispatch *dispatch, GHashTable *counts)
{
	for (guint i = 0; i < dispatch->queue->len; i++) {
		const struct job *job =
			dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]));
		guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, job->queue));

		if (is_pending(job))
			g_hash_table_insert(counts, job->queue, GUINT_TO_POINTER(count + 1));
	}
}

bool dispatch_job_unfinished(const struct dispatch *dispatch, const char *id, bool *started)
{
	const struct job *job = find_job_by_id(dispatch, id);

	if (!job || job->finished)
		return false;
	*started = job->may_have_run || job->unsettled_runs > 0;
	return true;
}

void dispatch_backlog(const struct dispatch *dispatch, double core_us[PRIORITY_LEVELS])
{
	memset(core_us, 0, PRIORITY_LEVELS * sizeof(double));
	for (guint i = 0; i < dispatch->queue->len; i++) {
		const struct job *job =
			dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]));

		core_us[job->priority] += job->queued_tasks * dispatch_task_core_us(job);
	}
}

uint32_t dispatch_job_count(const struct dispatch *dispatch)
{
	uint32_t cursor = 0;
	uint32_t count = 0;
	struct job **row;

	while ((row = table_next(&dispatch->jobs, &cursor, NULL)))
		count += !(*row)->finished;
	return count;
}
