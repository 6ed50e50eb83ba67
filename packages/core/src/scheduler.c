#include "scheduler_defs.h"

#include <string.h>

struct sched *sched_new(const struct sched_limits *limits, const char *local_zone, uint64_t seed)
{
	struct sched *sched = g_new0(struct sched, 1);

	sched->limits = *limits;
	sched->seed = seed;
	sched->wake_us = INT64_MAX;
	g_strlcpy(sched->local_zone, local_zone ? local_zone : "", sizeof(sched->local_zone));
	table_init(&sched->jobs, sizeof(struct job_row));
	rules_init(sched);
	place_init(sched);
	return sched;
}

void sched_free(struct sched *sched)
{
	uint32_t cursor = 0;
	struct job_row *job;

	if (!sched)
		return;
	while ((job = table_next(&sched->jobs, &cursor, NULL)))
		task_bits_free(sched, job);
	task_free_lists_clear(sched);
	place_free(sched);
	rules_free(sched);
	table_free(&sched->jobs);
	g_free(sched->deadline_heap);
	g_free(sched);
}

static bool job_has_ended(const struct job_row *job)
{
	return job->state != SCHED_JOB_QUEUED && job->state != SCHED_JOB_RUNNING;
}

static struct job_row *job_add(struct sched *sched, const struct sched_job_spec *spec,
			       struct class_row *class, struct team_row *team, int64_t now_us)
{
	struct handle handle;
	struct job_row *job = table_add(&sched->jobs, &handle);

	job->handle = handle;
	job->seq = ++sched->next_seq;
	job->class = class;
	job->bucket = queue_get_bucket(sched, class, team, spec->tasks);
	job->context = spec->context;
	job->bytes = spec->bytes;
	job->submitted_us = now_us;
	job->deadline_us = spec->deadline_us;
	job->tasks = spec->tasks;
	class->jobs++;
	team->jobs++;
	sched->unfinished_job_bytes += spec->bytes;
	task_bits_init(sched, job);
	deadline_add(sched, job);
	queue_add_job(sched, job);
	return job;
}

static bool name_fits(const char *name)
{
	return name && strlen(name) < NAME_BYTES;
}

enum status sched_submit(struct sched *sched, const struct sched_job_spec *spec, int64_t now_us,
			 struct handle *job, struct error *err)
{
	struct class_row *class;
	struct team_row *team;
	enum status status;

	if (spec->tasks == 0)
		return error_set(err, STATUS_INVALID_REQUEST, "job has no tasks");
	if (!name_fits(spec->class_name) || !name_fits(spec->team))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "names of class and team are required and limited to %d bytes",
				 NAME_BYTES - 1);
	class = rules_get_class(sched, spec->class_name);
	if (!class)
		return error_set(err, STATUS_NO_CAPACITY_MATCH, "class \"%s\" is not configured",
				 spec->class_name);
	team = rules_get_team(sched, spec->team);
	status = admit_check(sched, spec, class, team, now_us, err);
	if (status != STATUS_OK)
		return status;
	rules_apply_declared_run_us(sched, class, spec->declared_run_us);
	*job = job_add(sched, spec, class, team, now_us)->handle;
	return STATUS_OK;
}

/* Returns the class with the first job in queue order, or NULL. Skips classes that are at their
 * running limit or were already tried in this search. */
static struct class_row *next_class(const struct sched *sched)
{
	struct class_row *best = NULL;
	const struct queue_item *first = NULL;

	for (uint32_t i = 0; i < sched->class_list->len; i++) {
		struct class_row *class = sched->class_list->pdata[i];
		const struct queue_item *item;

		if (class->queued_tasks == 0 || class->failed_search_id == sched->search_id)
			continue;
		if (class->max_running > 0 && class->running_tasks >= class->max_running)
			continue;
		item = queue_head(class);
		if (!item || (best && queue_item_before(first, item)))
			continue;
		best = class;
		first = item;
	}
	return best;
}

/* Starts a task of JOB on SERVER. JOB must be the first job of its bucket. */
static void start_task(struct sched *sched, struct job_row *job, struct server_row *server,
		       int64_t now_us, struct sched_assignment *out)
{
	struct class_row *class = job->class;
	struct team_row *team = job->bucket->team;

	*out = (struct sched_assignment){
		.job = job->handle,
		.job_context = job->context,
		.task = task_take_next(job),
		.server = server->handle,
		.server_context = server->context,
	};
	job->state = SCHED_JOB_RUNNING;
	job->started_tasks++;
	job->running_tasks++;
	class->running_tasks++;
	class->wait_since_us = NO_TIME;
	team->running_tasks++;
	sched->running_tasks++;
	queue_task_started(sched, job);
	if (team->max_running > 0 && team->running_tasks >= team->max_running)
		queue_update_team(sched, team);
	server->credits--;
	server->running_tasks++;
	server->last_activity_us = now_us;
	place_update_server(sched, server);
}

bool sched_next_assignment(struct sched *sched, int64_t now_us, struct sched_assignment *out)
{
	struct class_row *class;

	sched->wake_us = INT64_MAX;
	sched->search_id++;
	while (sched->available_servers > 0 && (class = next_class(sched))) {
		struct job_row *job;
		struct server_row *server = place_choose_server(sched, class, now_us, &job);

		if (server) {
			start_task(sched, job, server, now_us, out);
			return true;
		}
		class->failed_search_id = sched->search_id;
	}
	return false;
}

int64_t sched_wakeup_us(const struct sched *sched)
{
	return sched->wake_us;
}

/* Ends a job and drops its queued tasks. Its outstanding tasks remain in the running counts. */
static void end_job(struct sched *sched, struct job_row *job, enum sched_job_state state)
{
	queue_remove_job(sched, job);
	deadline_remove(sched, job);
	sched->unfinished_job_bytes -= job->bytes;
	job->state = state;
}

static void free_if_released(struct sched *sched, struct job_row *job)
{
	if (!job->released || job->running_tasks > 0)
		return;
	job->class->jobs--;
	job->bucket->team->jobs--;
	task_bits_free(sched, job);
	job->seq = 0;
	table_remove(&sched->jobs, job->handle);
}

/* Removes an outstanding task from the running counts. Returns its job, or NULL when the task is
 * not outstanding. */
static struct job_row *remove_outstanding_task(struct sched *sched, struct handle handle,
					       uint32_t task, struct server_row *server)
{
	struct job_row *job = table_get(&sched->jobs, handle);
	struct team_row *team;

	if (!job || !task_clear_outstanding(job, task))
		return NULL;
	team = job->bucket->team;
	job->running_tasks--;
	job->class->running_tasks--;
	team->running_tasks--;
	sched->running_tasks--;
	if (team->max_running > 0 && team->running_tasks < team->max_running)
		queue_update_team(sched, team);
	if (server && server->running_tasks > 0)
		server->running_tasks--;
	return job;
}

/* Returns the state of a job, or SCHED_JOB_FAILED when it is unknown. */
static enum sched_job_state job_state(const struct sched *sched, struct handle handle)
{
	const struct job_row *job = table_get(&sched->jobs, handle);

	return job ? job->state : SCHED_JOB_FAILED;
}

enum sched_job_state sched_task_done(struct sched *sched, struct handle handle, uint32_t task,
				     struct handle server_handle, int64_t run_us, int64_t now_us)
{
	struct server_row *server = table_get(&sched->servers, server_handle);
	struct job_row *job = remove_outstanding_task(sched, handle, task, server);
	enum sched_job_state state;

	if (!job)
		return job_state(sched, handle);
	job->finished_tasks++;
	if (server) {
		server->finished_tasks++;
		server->last_activity_us = now_us;
		learn_result(&job->class->estimate, &server->estimate, &sched->server_mean, run_us);
		job->longest_us = MAX(job->longest_us, (double)run_us / server->estimate.factor);
		place_update_server(sched, server);
		queue_rekey_if_outdated(sched, job->class);
	}
	if (!job_has_ended(job) && job->finished_tasks == job->tasks)
		end_job(sched, job, SCHED_JOB_DONE);
	state = job->state;
	free_if_released(sched, job);
	return state;
}

enum sched_job_state sched_task_refused(struct sched *sched, struct handle handle, uint32_t task,
					struct handle server_handle, int64_t now_us)
{
	struct server_row *server = table_get(&sched->servers, server_handle);
	struct job_row *job = remove_outstanding_task(sched, handle, task, server);
	enum sched_job_state state;

	if (!job)
		return job_state(sched, handle);
	job->started_tasks--;
	if (server) {
		learn_failure(&server->estimate);
		place_update_server(sched, server);
	}
	if (!job_has_ended(job)) {
		task_requeue(job, task);
		queue_task_requeued(sched, job);
		job->state = job->started_tasks > 0 ? SCHED_JOB_RUNNING : SCHED_JOB_QUEUED;
	}
	state = job->state;
	free_if_released(sched, job);
	return state;
}

enum sched_job_state sched_task_failed(struct sched *sched, struct handle handle, uint32_t task,
				       struct handle server_handle, int64_t now_us)
{
	struct server_row *server = table_get(&sched->servers, server_handle);
	struct job_row *job = remove_outstanding_task(sched, handle, task, server);
	enum sched_job_state state;

	if (!job)
		return job_state(sched, handle);
	if (server) {
		server->failed_tasks++;
		learn_failure(&server->estimate);
		place_update_server(sched, server);
	}
	if (!job_has_ended(job))
		end_job(sched, job, SCHED_JOB_FAILED);
	state = job->state;
	free_if_released(sched, job);
	return state;
}

static bool end_unfinished_job(struct sched *sched, struct handle handle,
			       enum sched_job_state state)
{
	struct job_row *job = table_get(&sched->jobs, handle);

	if (!job || job_has_ended(job))
		return false;
	end_job(sched, job, state);
	return true;
}

bool sched_cancel(struct sched *sched, struct handle job, int64_t now_us)
{
	return end_unfinished_job(sched, job, SCHED_JOB_CANCELLED);
}

bool sched_fail(struct sched *sched, struct handle job, int64_t now_us)
{
	return end_unfinished_job(sched, job, SCHED_JOB_FAILED);
}

void sched_release(struct sched *sched, struct handle handle)
{
	struct job_row *job = table_get(&sched->jobs, handle);

	if (!job || !job_has_ended(job))
		return;
	job->released = true;
	free_if_released(sched, job);
}

static int64_t ideal_us(const struct job_row *job)
{
	double longest = job->longest_us > 0 ? job->longest_us : job->class->estimate.run_us;
	double factor = place_min_factor_estimate(job->class);

	return (int64_t)(longest * (factor > 0 ? factor : 1));
}

bool sched_job_view(const struct sched *sched, struct handle handle, struct sched_job_view *view)
{
	const struct job_row *job = table_get(&sched->jobs, handle);

	if (!job || job->released)
		return false;
	*view = (struct sched_job_view){
		.state = job->state,
		.tasks = job->tasks,
		.started = job->started_tasks,
		.running = job->running_tasks,
		.finished = job->finished_tasks,
		.submitted_us = job->submitted_us,
		.ideal_us = ideal_us(job),
	};
	return true;
}

bool sched_server_view(const struct sched *sched, struct handle handle,
		       struct sched_server_view *view)
{
	const struct server_row *server = table_get(&sched->servers, handle);

	if (!server)
		return false;
	*view = (struct sched_server_view){
		.speed_factor = learn_relative_factor(&server->estimate, &sched->server_mean),
		.running = server->running_tasks,
		.credits = server->credits,
		.finished = server->finished_tasks,
		.failed = server->failed_tasks,
	};
	return true;
}

uint64_t sched_queued_tasks(const struct sched *sched)
{
	return sched->queued_tasks;
}

uint64_t sched_running_tasks(const struct sched *sched)
{
	return sched->running_tasks;
}
