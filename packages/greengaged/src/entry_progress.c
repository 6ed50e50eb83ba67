#include "entry_progress.h"

#include <string.h>

#include "event.h"

enum {
	MAX_EXPIRED_PER_CALL = 64
};

static void cancel_wait_timer(struct board *board, struct request *request)
{
	timer_cancel(&board->timers, request->timer);
	request->timer = (struct handle){0};
}

static void reply_answer(struct board *board, struct request *request, struct job *job)
{
	entry_jobs_mark_fetched(&board->jobs, job);
	entry_request_finish(request, 200, job->answer);
}

static void reply_state(struct request *request, const struct job *job)
{
	entry_request_finish_json(request, 202,
				  json_pack("{s:s, s:s}", "job", job->key, "state",
					    job->started ? "running" : "queued"));
}

/* Called when a request has waited for the time that its client asked for. Removes it from the
 * waiters of its job and replies with the state of the job. */
static void handle_wait_timeout(void *context, int64_t now_us)
{
	struct request *request = context;
	struct job *job = entry_jobs_get(&request->board->jobs, request->job);
	struct request **link = &job->waiters;

	while (*link != request)
		link = &(*link)->next;
	*link = request->next;
	reply_state(request, job);
}

void entry_progress_reply_when_ended(struct board *board, struct request *request, struct job *job)
{
	if (job->state != JOB_ACTIVE) {
		reply_answer(board, request, job);
		return;
	}
	if (request->route.wait_ms == 0) {
		reply_state(request, job);
		return;
	}
	request->job = job->self;
	request->next = job->waiters;
	job->waiters = request;
	request->timer =
		timer_subscribe(&board->timers, board->now_us + request->route.wait_ms * US_PER_MS,
				0, handle_wait_timeout, request);
}

static void answer_waiters(struct board *board, struct job *job)
{
	struct request *request = job->waiters;

	job->waiters = NULL;
	while (request) {
		struct request *next = request->next;

		cancel_wait_timer(board, request);
		reply_answer(board, request, job);
		request = next;
	}
}

static void record_job_end(struct board *board, struct job *job, const struct sched_job_view *view)
{
	int64_t response_us = board->now_us - job->admitted_us;

	board->last_job_ended_us = board->now_us;
	histogram_record(&metric_job_latency_us, (uint64_t)response_us);
	if (job->state == JOB_CANCELLED) {
		metric_add(METRIC_JOBS_CANCELLED, 1);
		return;
	}
	metric_add(job->state == JOB_DONE ? METRIC_JOBS_DONE : METRIC_JOBS_FAILED, 1);
	burn_record_job(board->burn, view->tasks, response_us, view->ideal_us,
			job->state == JOB_FAILED, board->now_us);
}

/* Ends JOB in the store and the scheduler, records it in the statistics and answers its waiters.
 * ERR is NULL if STATE is JOB_DONE. */
static void end_job(struct board *board, struct job *job, enum job_state state, struct error *err)
{
	struct sched_job_view view = {0};
	bool known = sched_job_view(board->sched, job->sched_job, &view);

	if (state == JOB_DONE) {
		entry_jobs_complete(&board->jobs, job, board->now_us);
	} else {
		err->outcome = known && view.started == 0 && view.running == 0 ? OUTCOME_NOT_RUN
									       : OUTCOME_UNKNOWN;
		entry_jobs_end_with_error(&board->jobs, job, state, err, board->now_us);
	}
	sched_release(board->sched, job->sched_job);
	record_job_end(board, job, &view);
	if (state == JOB_FAILED)
		event_log(EVENT_JOB_FAILED, EV_S("key", job->key),
			  EV_S("status", status_name(err->status)),
			  EV_S("outcome", outcome_name(err->outcome)),
			  EV_S("reason", err->message));
	else if (state == JOB_CANCELLED)
		event_log(EVENT_JOB_CANCELLED, EV_S("key", job->key),
			  EV_S("outcome", outcome_name(err->outcome)));
	answer_waiters(board, job);
}

static enum status submit_to_scheduler(struct board *board, struct job *job, struct error *err)
{
	const struct job_body *body = job->body;
	struct sched_job_spec spec = {
		.class_name = body->class_name,
		.team = body->team,
		.tasks = body->task_count,
		.bytes = body->length,
		.declared_run_us = body->run_ms * US_PER_MS,
		.deadline_us =
			body->deadline_ms ? board->now_us + body->deadline_ms * US_PER_MS : 0,
	};
	struct handle sched_job;
	enum status status = sched_submit(board->sched, &spec, board->now_us, &sched_job, err);

	if (status == STATUS_OK)
		entry_jobs_set_sched_job(&board->jobs, job, sched_job);
	return status;
}

struct job *entry_progress_admit(struct board *board, struct request *request,
				 const struct ident *digest, struct error *err)
{
	struct job *job;

	if (!entry_jobs_make_room(&board->jobs)) {
		error_set(err, STATUS_QUEUE_FULL, "limits.jobs jobs are held and none has ended");
		return NULL;
	}
	job = entry_jobs_add(&board->jobs, request->body, request->route.key, digest);
	if (submit_to_scheduler(board, job, err) != STATUS_OK) {
		entry_jobs_discard(&board->jobs, job);
		return NULL;
	}
	request->body = NULL;
	job->admitted_us = board->now_us;
	metric_add(METRIC_JOBS_ADMITTED, 1);
	return job;
}

void entry_progress_task_done(struct board *board, struct handle sched_job, uint32_t task,
			      struct handle server, int64_t run_us, uint8_t *data, uint32_t length)
{
	struct job *job = entry_jobs_find_by_sched_job(&board->jobs, sched_job);
	enum sched_job_state state;

	if (job)
		entry_jobs_store_result(job, task, data, length);
	else
		free(data);
	state = sched_task_done(board->sched, sched_job, task, server, run_us, board->now_us);
	metric_add(METRIC_TASKS_DONE, 1);
	histogram_record(&metric_task_run_us, (uint64_t)run_us);
	if (job && job->state == JOB_ACTIVE && state == SCHED_JOB_DONE)
		end_job(board, job, JOB_DONE, NULL);
}

void entry_progress_task_refused(struct board *board, struct handle sched_job, uint32_t task,
				 struct handle server)
{
	sched_task_refused(board->sched, sched_job, task, server, board->now_us);
	metric_add(METRIC_TASKS_REFUSED, 1);
	/* The start and its refusal count as one wasted message each. */
	metric_add(METRIC_MESSAGES_WASTED, 2);
}

void entry_progress_task_failed(struct board *board, struct handle sched_job, uint32_t task,
				struct handle server, enum status status, const char *reason)
{
	struct job *job = entry_jobs_find_by_sched_job(&board->jobs, sched_job);
	struct error err;

	sched_task_failed(board->sched, sched_job, task, server, board->now_us);
	metric_add(METRIC_TASKS_FAILED, 1);
	if (!job || job->state != JOB_ACTIVE)
		return;
	error_set(&err, status, "task %u: %s", task, reason);
	end_job(board, job, JOB_FAILED, &err);
}

void entry_progress_cancel(struct board *board, struct job *job)
{
	struct error err;

	if (job->state != JOB_ACTIVE)
		return;
	sched_cancel(board->sched, job->sched_job, board->now_us);
	error_set(&err, STATUS_CANCELLED, "cancelled by the client");
	end_job(board, job, JOB_CANCELLED, &err);
}

static void fail_job(struct board *board, struct job *job, enum status status, const char *reason)
{
	struct error err;

	sched_fail(board->sched, job->sched_job, board->now_us);
	error_set(&err, status, "%s", reason);
	end_job(board, job, JOB_FAILED, &err);
}

void entry_progress_fail_all(struct board *board, enum status status, const char *reason)
{
	uint32_t cursor = 0;
	struct job *job;

	while ((job = table_next(&board->jobs.jobs, &cursor, NULL))) {
		if (job->state == JOB_ACTIVE)
			fail_job(board, job, status, reason);
	}
}

void entry_progress_fail_overdue(struct board *board)
{
	struct handle expired[MAX_EXPIRED_PER_CALL];
	uint32_t count;

	do {
		count = sched_take_expired(board->sched, board->now_us, expired,
					   MAX_EXPIRED_PER_CALL);
		for (uint32_t i = 0; i < count; i++) {
			struct job *job = entry_jobs_find_by_sched_job(&board->jobs, expired[i]);

			if (job && job->state == JOB_ACTIVE)
				fail_job(board, job, STATUS_DEADLINE_PASSED,
					 "the deadline passed before the job ended");
		}
	} while (count == MAX_EXPIRED_PER_CALL);
}
