#include <string.h>

#include "dispatch.h"
#include "dispatch_state.h"
#include "placement.h"
#include "prng.h"

enum {
	/* A job that has progress is sorted as if it were more urgent by this much. The lead is
	 * about the objective of the shortest jobs, so that far more urgent jobs still come first.
	 */
	PROGRESS_LEAD_US = 200 * US_PER_MS,
	/* A job that has no progress and can no longer reach its planned end is sorted as if it
	 * were less urgent by this much, which puts it behind all others. So is a job whose queue
	 * has got its share of the room. */
	LATE_LAG_US = 60 * US_PER_SECOND,
	/* A task waits for room in its own zone only until this time before its latest start. It
	 * then competes for room everywhere, where several orders may be refused before one
	 * finds room. With 60 ms, jobs with little slack were late when most servers were full. */
	SPILL_LEAD_US = 100 * US_PER_MS
};

/* A task waits for room in its own zone for at most this share of its slack, so that jobs with much
 * slack don't use it up there. */
static const double spill_slack_share = 0.4;

int64_t dispatch_latest_start_us(const struct job *job, double fastest)
{
	if (fastest <= 0)
		fastest = 1.0;
	return job->planned_end_us - (int64_t)((double)job->longest_task_us / fastest);
}

/* Returns whether a task of JOB is done or has an unsettled run. */
static bool has_progress(const struct job *job)
{
	return job->done_tasks + job->unsettled_runs > 0;
}

/* Returns whether even the fastest server can no longer end JOB by its planned end. */
static bool cannot_meet_plan(const struct job *job, const struct fleet_totals *sum, int64_t now_us)
{
	return now_us > dispatch_latest_start_us(job, sum->max_speed);
}

/* Returns whether even the fastest server would end the job after its deadline, when its client
 * will have disconnected. */
static bool cannot_meet_deadline(const struct job *job, const struct fleet_totals *sum,
				 int64_t now_us)
{
	/* The longest task of a job that has progress may already be running or done, so only the
	 * expected run time of an average task is certain to remain. */
	int64_t run_us = has_progress(job) ? job->task_us : job->longest_task_us;

	return sum->max_speed > 0 &&
	       now_us + (int64_t)((double)run_us / sum->max_speed) > job->deadline_us;
}

/* A queued job with its sort key. */
struct queued_job {
	struct job *job;
	int64_t urgent_us; /* an earlier time is more urgent */
	bool moved_back;   /* see SHEDDING_MOVE_BACK */
};

/* Returns JOB as the shedding module sees it. */
static struct shedding_job shedding_view(const struct job *job, const struct fleet_totals *sum)
{
	return (struct shedding_job){
		.kind = &job->stats->kind,
		.arrived_us = job->arrived_us,
		.latest_start_us = dispatch_latest_start_us(job, sum->max_speed),
		.begun = has_progress(job) || job->may_have_run,
		.admitted = job->admitted,
	};
}

/* Returns whether JOB may only take free room that no other job takes. */
static bool is_moved_back(const struct policy *policy, const struct job *job,
			  const struct fleet_totals *sum, int64_t now_us)
{
	struct shedding_job view;

	if (!policy->shed_by_share)
		return false;
	view = shedding_view(job, sum);
	return shedding_decide(&view, now_us) == SHEDDING_MOVE_BACK;
}

/*
 * Returns the sort key of JOB: its latest start, adjusted for the following cases.
 *
 * Some jobs need a third of the total capacity at once, while all servers are full and most other
 * jobs are small. The room for all their tasks becomes free only over some time, so they must start
 * to take it that much earlier.
 *
 * Demand may exceed the capacity for seconds. If every job took some of the freed room, many jobs
 * would be started and few would end in time, and the runs of the others would be wasted. Therefore
 * jobs that have progress get room for their remaining tasks first.
 *
 * After a loss of many hosts, clients resend the lost jobs while other jobs have been waiting for
 * servers to return. Jobs that have no progress and can no longer reach their planned end go last,
 * so they only use room that no other job takes.
 *
 * Demand may exceed the capacity for seconds, and some kinds of jobs have several times the slack
 * of others. A kind with much slack would start only when its jobs can hardly be in time any more.
 * Therefore each job is to start early in its slack while room is divided (shedding.h).
 *
 * Each lower priority level makes the key later by PRIORITY_OFFSET_US, so a job of a lower priority
 * still comes first if it is more urgent by more than that.
 */
static int64_t urgency_us(const struct policy *policy, const struct job *job,
			  const struct fleet_totals *sum, int64_t now_us)
{
	double cpu = (double)job->task_count * job->need.cpu;
	const struct shedding_job view = shedding_view(job, sum);
	int64_t lead_us = 0;

	if (policy->room_lead && sum->cpu_release_rate > 0)
		lead_us = (int64_t)(cpu / sum->cpu_release_rate);
	if (policy->progress_lead && has_progress(job))
		lead_us += PROGRESS_LEAD_US;
	else if (policy->late_last && !has_progress(job) && cannot_meet_plan(job, sum, now_us))
		lead_us -= LATE_LAG_US;
	if (policy->priority_order)
		lead_us -= PRIORITY_OFFSET_US * job->priority;
	if (policy->shed_by_share && lead_us > -LATE_LAG_US)
		return shedding_start_by_us(&view) - lead_us;
	return view.latest_start_us - lead_us;
}

static int by_urgency(const void *a, const void *b)
{
	const struct queued_job *left = a;
	const struct queued_job *right = b;

	if (left->urgent_us != right->urgent_us)
		return left->urgent_us < right->urgent_us ? -1 : 1;
	return (left->job->arrived_us > right->job->arrived_us) -
	       (left->job->arrived_us < right->job->arrived_us);
}

/* Returns how long a run may wait at SERVER: until it can no longer end by the planned end of the
 * job, or, when that is out of reach already, until its answer would be useless. */
static int64_t start_within_us(const struct job *job, const struct fleet_server *server,
			       int64_t now_us)
{
	int64_t run_us = placement_run_us(server, job->longest_task_us);
	int64_t within_us = job->planned_end_us - run_us - now_us;

	return within_us > 0 ? within_us : job->useless_after_us - run_us - now_us;
}

/* Orders a run of the task INDEX of JOB. */
static void start_task(struct dispatch *dispatch, struct job *job, uint32_t index,
		       struct handle server_handle, int64_t urgent_us, int64_t now_us)
{
	struct fleet_server *server = fleet_get(&dispatch->fleet, server_handle);
	struct job_task *task = &job->tasks[index];
	struct run_row *run = table_add(&dispatch->runs, &task->run);
	struct run_order order;
	uint64_t number;

	*run = (struct run_row){.job = job->handle, .index = index, .server = server_handle};
	task->phase = TASK_SENT;
	task->attempt++;
	job->queued_tasks--;
	job->unsettled_runs++;
	if (job->order_count++ == 0)
		job->first_order_us = now_us;
	job->last_order_us = now_us;
	server->runs++;
	order = (struct run_order){
		.job = job->id,
		.spec = job->spec,
		.step = job->step,
		.index = index,
		.attempt = task->attempt,
		.run = handle_pack(task->run),
		.need = job->need,
		.estimate_us = job->task_us,
		.priority = job->priority,
		.start_within_us = start_within_us(job, server, now_us),
		.urgent_within_us = urgent_us - now_us,
	};
	number = dispatch->callbacks.start_run(dispatch->callbacks.context, server->link, &order);
	run->order = number;
	fleet_record_order(server, &job->need, job->priority, number);
}

/* Adds SERVER to the list of names for the log, unless the list already ends with it, and updates
 * the time of the oldest report. */
static void add_server_name(GString *names, const struct fleet_server *server, int64_t *oldest_us)
{
	*oldest_us = MIN(*oldest_us, server->reported_us);
	if (g_str_has_suffix(names->str, server->id))
		return;
	if (names->len > 0)
		g_string_append_c(names, ' ');
	g_string_append(names, server->id);
}

/* Summary of the servers of one service, computed on first use in a pump and updated when tasks are
 * placed. */
struct service_view {
	char *service;
	uint32_t partition;
	struct fleet_totals sum;
	struct placement_headroom headroom;
};

/* Returns the number of queued tasks of JOB that are held. */
static uint32_t count_held_tasks(const struct job *job, const struct held_indexes *indexes)
{
	uint32_t held = 0;

	for (uint32_t i = 0; indexes && i < job->task_count; i++)
		held += job->tasks[i].phase == TASK_QUEUED && task_holds_index(indexes, i);
	return held;
}

/* Returns the time from which tasks of JOB go to other zones that have little room. */
static int64_t spill_from_us(const struct job *job, const struct fleet_totals *sum)
{
	int64_t latest_start_us = dispatch_latest_start_us(job, sum->max_speed);
	int64_t slack_us = latest_start_us - job->arrived_us;

	return MIN(job->arrived_us + (int64_t)(spill_slack_share * (double)slack_us),
		   latest_start_us - SPILL_LEAD_US);
}

/* Starts the queued tasks of JOB for which there is room. */
static void place_tasks(struct dispatch *dispatch, const struct queued_job *item,
			struct service_view *view, bool behind_plan, int64_t now_us)
{
	struct job *job = item->job;
	struct handle *servers;
	/* If no server is known to be sound, only a trial can find one, even a late one. */
	bool any_end = behind_plan || view->sum.max_speed <= 0;
	const struct held_indexes *indexes = task_holds_of_job(&dispatch->holds, job->id);
	uint32_t held = count_held_tasks(job, indexes);
	const struct placement_request request = {
		.policy = &dispatch->policy,
		.service = job->service,
		.partition = job->stats->partition,
		.local_zone = dispatch->local_zone,
		.local_zone_servers = dispatch->local_zone_servers,
		.spill_from_us = spill_from_us(job, &view->sum),
		.need = job->need,
		.tasks = job->queued_tasks - held,
		.work_us = job->longest_task_us,
		.target_us = any_end ? job->deadline_us : job->planned_end_us,
		.priority = job->priority,
		.may_wait = dispatch->policy.wait_at_servers && !item->moved_back &&
			    now_us >= job->may_wait_from_us && (!behind_plan || has_progress(job)),
		.prefer_fast = behind_plan,
		.avoid_server = job->avoid_server,
	};
	int64_t oldest_us = now_us;
	uint32_t next = 0;
	uint32_t placed;
	GString *names;

	/* An earlier submission of a held task has run. */
	job->held = held > 0;
	job->may_have_run = job->may_have_run || job->held;
	if (request.tasks == 0 || now_us < job->start_from_us ||
	    now_us < dispatch->holds_awaited_until_us ||
	    !placement_may_place(&view->headroom, &request))
		return;
	servers = g_new(struct handle, job->queued_tasks);
	placed = placement_choose(&dispatch->fleet, &request, &view->sum, now_us,
				  &dispatch->random_state, servers);
	names = g_string_new(NULL);
	for (uint32_t i = 0; i < job->task_count && next < placed; i++) {
		if (job->tasks[i].phase != TASK_QUEUED || task_holds_index(indexes, i))
			continue;
		add_server_name(names, fleet_get(&dispatch->fleet, servers[next]), &oldest_us);
		start_task(dispatch, job, i, servers[next++], item->urgent_us, now_us);
	}
	g_free(servers);
	if (placed > 0) {
		dispatch->callbacks.tasks_placed(dispatch->callbacks.context, job->id, placed,
						 job->queued_tasks, names->str, now_us - oldest_us);
		placement_find_headroom(&dispatch->fleet, job->service, job->stats->partition,
					now_us, &view->headroom);
	}
	g_string_free(names, TRUE);
}

static void refuse_job(struct dispatch *dispatch, struct job *job, enum status status,
		       const char *reason, const struct admission_load *load, int64_t now_us)
{
	struct job_end end = {
		.status = status,
		.reason = reason,
		.expected_wait_us = admission_wait_us(load),
	};

	end.retry_after_s = admission_retry_after_s(load, prng_next(&dispatch->random_state) >> 33);
	dispatch_finish(dispatch, job, &end, now_us);
}

/* Returns the work that the other entries have queued at PRIORITY and at all higher priorities,
 * which have lower numbers, in core-microseconds. */
static double peer_backlog_ahead(const struct dispatch *dispatch, uint32_t priority)
{
	double core_us = 0;

	for (uint32_t i = 0; i <= priority; i++)
		core_us += dispatch->peer_backlog_core_us[i];
	return core_us;
}

/* Views computed so far in the current pump. */
struct views {
	const struct fleet *fleet;
	GHashTable *by_partition; /* service and partition -> struct service_view * */
	int64_t now_us;
};

static guint hash_view(gconstpointer key)
{
	const struct service_view *view = key;

	return g_str_hash(view->service) + view->partition;
}

static gboolean equal_views(gconstpointer a, gconstpointer b)
{
	const struct service_view *left = a;
	const struct service_view *right = b;

	return left->partition == right->partition && strcmp(left->service, right->service) == 0;
}

static void free_view(gpointer data)
{
	struct service_view *view = data;

	g_free(view->service);
	g_free(view);
}

static struct service_view *get_view(struct views *views, const struct job *job)
{
	uint32_t partition = job->stats->partition;
	struct service_view key = {.service = job->service, .partition = partition};
	struct service_view *view = g_hash_table_lookup(views->by_partition, &key);

	if (!view) {
		view = g_new(struct service_view, 1);
		*view = (struct service_view){.service = g_strdup(job->service),
					      .partition = partition};
		view->sum = fleet_compute_totals(views->fleet, job->service, partition);
		placement_find_headroom(views->fleet, job->service, partition, views->now_us,
					&view->headroom);
		g_hash_table_add(views->by_partition, view);
	}
	return view;
}

/* Refuses JOB if no server can run its tasks or the job can no longer end in time. AHEAD_CORE_US is
 * the work that this entry has queued ahead of JOB. Returns whether JOB remains queued. */
static bool admit_or_refuse(struct dispatch *dispatch, struct job *job,
			    const struct fleet_totals *sum, double ahead_core_us, int64_t now_us)
{
	const struct admission_load load = {
		.capacity = sum->speed_weighted_cpu / CPU_PER_CORE,
		.ahead_core_us = ahead_core_us + peer_backlog_ahead(dispatch, job->priority),
	};
	int64_t latest_start_us = dispatch_latest_start_us(job, sum->max_speed);
	struct shedding_job view = shedding_view(job, sum);

	view.wait_us = admission_wait_us(&load);
	view.found_no_room = true;
	if (cannot_meet_deadline(job, sum, now_us)) {
		refuse_job(dispatch, job, STATUS_DEADLINE_UNREACHABLE,
			   "the job cannot end before its deadline", &load, now_us);
		return false;
	}
	if (job->may_have_run || job->unsettled_runs > 0)
		return true; /* a task may have run, so the job continues until its deadline */
	if (now_us < dispatch->connecting_until_us &&
	    (sum->servers == 0 || now_us <= latest_start_us))
		return true; /* not all servers are known yet */
	if (sum->servers == 0)
		refuse_job(dispatch, job, STATUS_NO_CAPACITY_MATCH, "no backend server is ready",
			   &load, now_us);
	else if (!resources_fit(&job->need, &sum->min_total) &&
		 !fleet_any_server_fits(&dispatch->fleet, job->service, job->stats->partition,
					&job->need))
		refuse_job(dispatch, job, STATUS_NO_CAPACITY_MATCH,
			   "no backend server is large enough for a task", &load, now_us);
	else if (dispatch->policy.refuse_by_wait &&
		 now_us + admission_wait_us(&load) > latest_start_us)
		refuse_job(dispatch, job, STATUS_DEADLINE_UNREACHABLE,
			   "the job cannot start in time to meet its objective", &load, now_us);
	else if (dispatch->policy.shed_by_share &&
		 shedding_decide(&view, now_us) == SHEDDING_REFUSE)
		refuse_job(dispatch, job, STATUS_DEADLINE_UNREACHABLE,
			   "the queue has got its share of the scarce capacity", &load, now_us);
	else if (dispatch->policy.refuse_new && !job->admitted &&
		 admission_must_shed(job->stats->oldest_wait_share))
		refuse_job(dispatch, job, STATUS_DEADLINE_UNREACHABLE,
			   "earlier jobs of the queue have been waiting too long", &load, now_us);
	else
		return true;
	return false;
}

/* Returns whether an earlier job of the same id still has unsettled runs. */
static bool is_blocked(const struct dispatch *dispatch, const struct job *job)
{
	return dispatch_find(dispatch, job->predecessor) != NULL;
}

/* Returns the share of the time from the arrival of JOB to its latest start that has passed, or 0
 * if JOB does not wait for room. */
static double wait_share(const struct dispatch *dispatch, const struct job *job,
			 const struct fleet_totals *sum, int64_t now_us)
{
	int64_t slack_us = dispatch_latest_start_us(job, sum->max_speed) - job->arrived_us;

	if (!job->admitted || job->held || has_progress(job) || is_blocked(dispatch, job) ||
	    slack_us <= 0)
		return 0;
	return (double)(now_us - job->arrived_us) / (double)slack_us;
}

/* Returns the queued jobs, the most urgent first, and finds the longest wait in each queue. */
static GArray *sort_queue(struct dispatch *dispatch, struct views *views, int64_t now_us)
{
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(struct queued_job));

	for (guint i = 0; i < dispatch->queue->len; i++)
		dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]))
			->stats->oldest_wait_share = 0;
	for (guint i = 0; i < dispatch->queue->len; i++) {
		struct job *job =
			dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]));
		const struct fleet_totals *sum = &get_view(views, job)->sum;
		struct queued_job item = {
			.job = job,
			.urgent_us = urgency_us(&dispatch->policy, job, sum, now_us),
			.moved_back = is_moved_back(&dispatch->policy, job, sum, now_us),
		};
		double share = wait_share(dispatch, job, sum, now_us);

		job->stats->oldest_wait_share = MAX(job->stats->oldest_wait_share, share);
		if (item.moved_back)
			item.urgent_us += LATE_LAG_US;
		g_array_append_val(sorted, item);
	}
	g_array_sort(sorted, by_urgency);
	return sorted;
}

/* Starts the tasks of one job for which there is room, and refuses the job if no server can run the
 * remaining ones or they cannot end in time. Returns the work that remains queued, in
 * core-microseconds. */
static double pump_job(struct dispatch *dispatch, const struct queued_job *item,
		       struct service_view *view, double ahead_core_us, int64_t now_us)
{
	struct fleet_totals *sum = &view->sum;
	struct job *job = item->job;
	uint32_t queued = job->queued_tasks;
	double left_core_us;

	place_tasks(dispatch, item, view, cannot_meet_plan(job, sum, now_us), now_us);
	sum->free_cpu -= MIN(sum->free_cpu, (uint64_t)(queued - job->queued_tasks) * job->need.cpu);
	if (job->queued_tasks == 0) {
		dispatch_dequeue(dispatch, job);
		return 0;
	}
	left_core_us = job->queued_tasks * dispatch_task_core_us(job);
	if (!admit_or_refuse(dispatch, job, sum, ahead_core_us, now_us))
		return 0;
	job->admitted = true;
	return left_core_us;
}

/* Assigns the servers and the queues to partitions. */
static void assign_partitions(struct dispatch *dispatch, int64_t now_us)
{
	GHashTableIter iter;
	gpointer queue, value;

	if (dispatch->bulkhead.suspects->len == 0)
		return;
	bulkhead_update(&dispatch->bulkhead, &dispatch->fleet, now_us);
	g_hash_table_iter_init(&iter, dispatch->queue_stats);
	while (g_hash_table_iter_next(&iter, &queue, &value)) {
		struct queue_stats *stats = value;

		stats->partition = bulkhead_partition(&dispatch->bulkhead, queue, stats->service);
	}
}

/* Removes the first queue of ALL, an array of struct queue_stats *, and those that compete for the
 * same servers, and sets their shares. */
static void divide_among_rivals(GPtrArray *all)
{
	const struct queue_stats *first = all->pdata[0];
	GPtrArray *kinds = g_ptr_array_new();

	for (guint i = all->len; i-- > 0;) {
		struct queue_stats *stats = all->pdata[i];

		if (stats->partition != first->partition ||
		    strcmp(stats->service, first->service) != 0)
			continue;
		g_ptr_array_add(kinds, &stats->kind);
		g_ptr_array_remove_index_fast(all, i);
	}
	shedding_divide((struct shedding_kind *const *)kinds->pdata, kinds->len);
	g_ptr_array_free(kinds, TRUE);
}

/* Sets the share of each queue in the room of the servers that it competes for. */
static void divide_room(struct dispatch *dispatch, struct views *views, int64_t now_us)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, dispatch->queue_stats);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct queue_stats *stats = value;

		dispatch_kind(stats, now_us)->queued_core_us = 0;
		stats->kind.overdue_core_us = 0;
		if (stats->service)
			g_ptr_array_add(all, stats);
	}
	for (guint i = 0; i < dispatch->queue->len; i++) {
		struct job *job =
			dispatch_find(dispatch, dispatch_unpack(dispatch->queue->pdata[i]));

		const struct shedding_job view = shedding_view(job, &get_view(views, job)->sum);
		double core_us = job->queued_tasks * dispatch_task_core_us(job);

		job->stats->kind.queued_core_us += core_us;
		if (!view.begun && shedding_is_overdue(&view, now_us))
			job->stats->kind.overdue_core_us += core_us;
	}
	while (all->len > 0)
		divide_among_rivals(all);
	g_ptr_array_free(all, TRUE);
}

void dispatch_pump(struct dispatch *dispatch, int64_t now_us)
{
	struct views views = {.fleet = &dispatch->fleet, .now_us = now_us};
	double ahead_core_us = 0;
	GArray *sorted;

	if (!dispatch->pump_needed || dispatch->queue->len == 0)
		return;
	dispatch->pump_needed = false;
	fleet_normalize_speeds(&dispatch->fleet);
	assign_partitions(dispatch, now_us);
	views.by_partition = g_hash_table_new_full(hash_view, equal_views, free_view, NULL);
	if (dispatch->policy.shed_by_share)
		divide_room(dispatch, &views, now_us);
	sorted = sort_queue(dispatch, &views, now_us);
	for (guint i = 0; i < sorted->len; i++) {
		const struct queued_job *item = &g_array_index(sorted, struct queued_job, i);

		if (is_blocked(dispatch, item->job))
			continue;
		ahead_core_us += pump_job(dispatch, item, get_view(&views, item->job),
					  ahead_core_us, now_us);
	}
	g_array_free(sorted, TRUE);
	g_hash_table_destroy(views.by_partition);
	dispatch->pump_needed = false;
}
