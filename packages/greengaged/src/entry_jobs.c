#include "entry_jobs.h"

#include <stdlib.h>
#include <string.h>

void entry_jobs_init(struct job_store *store, const struct job_limits *limits)
{
	memset(store, 0, sizeof(*store));
	store->limits = *limits;
	table_init(&store->jobs, sizeof(struct job));
}

static void free_results(struct job *job)
{
	if (!job->results)
		return;
	for (uint32_t i = 0; i < job->body->task_count; i++)
		free(job->results[i].data);
	g_free(job->results);
	job->results = NULL;
}

static void free_content(struct job *job)
{
	free_results(job);
	entry_body_free(job->body);
	job->body = NULL;
}

static void remove_job(struct job_store *store, struct job *job)
{
	free_content(job);
	if (job->answer)
		g_bytes_unref(job->answer);
	g_free(job->key);
	table_remove(&store->jobs, job->self);
}

void entry_jobs_free(struct job_store *store)
{
	uint32_t cursor = 0;
	struct job *job;

	while ((job = table_next(&store->jobs, &cursor, NULL)))
		remove_job(store, job);
	table_free(&store->jobs);
	g_free(store->jobs_by_sched);
}

/* Removes the job that ended first. Returns false if no job has ended. */
static bool remove_oldest_ended(struct job_store *store)
{
	struct job *job = entry_jobs_get(store, store->oldest_ended);

	if (!job)
		return false;
	store->oldest_ended = job->next_ended;
	if (handle_is_none(job->next_ended))
		store->newest_ended = (struct handle){0};
	store->answer_bytes -= g_bytes_get_size(job->answer);
	store->removed_answers++;
	if (!job->fetched)
		store->unfetched_answers--;
	remove_job(store, job);
	return true;
}

bool entry_jobs_make_room(struct job_store *store)
{
	while (table_count(&store->jobs) >= store->limits.max_jobs) {
		if (!remove_oldest_ended(store))
			return false;
	}
	return true;
}

struct job *entry_jobs_add(struct job_store *store, struct job_body *body, const char *key,
			   const struct ident *digest)
{
	struct handle self;
	struct job *job = table_add(&store->jobs, &self);

	job->self = self;
	job->body = body;
	job->body_digest = body->digest;
	job->digest = *digest;
	job->key = g_strdup(key);
	store->active_jobs++;
	return job;
}

struct job_body *entry_jobs_discard(struct job_store *store, struct job *job)
{
	struct job_body *body = job->body;

	job->body = NULL;
	store->active_jobs--;
	remove_job(store, job);
	return body;
}

void entry_jobs_set_sched_job(struct job_store *store, struct job *job, struct handle sched_job)
{
	uint32_t capacity = store->jobs_by_sched_capacity;

	if (sched_job.index >= capacity) {
		uint32_t new_capacity = MAX(sched_job.index + 1, 2 * capacity);

		store->jobs_by_sched = g_renew(struct handle, store->jobs_by_sched, new_capacity);
		memset(store->jobs_by_sched + capacity, 0,
		       (new_capacity - capacity) * sizeof(*store->jobs_by_sched));
		store->jobs_by_sched_capacity = new_capacity;
	}
	store->jobs_by_sched[sched_job.index] = job->self;
	job->sched_job = sched_job;
}

struct job *entry_jobs_find_by_sched_job(const struct job_store *store, struct handle sched_job)
{
	struct job *job;

	if (sched_job.index >= store->jobs_by_sched_capacity)
		return NULL;
	job = entry_jobs_get(store, store->jobs_by_sched[sched_job.index]);
	return job && handle_equal(job->sched_job, sched_job) ? job : NULL;
}

struct job *entry_jobs_get(const struct job_store *store, struct handle handle)
{
	return table_get(&store->jobs, handle);
}

bool entry_jobs_store_result(struct job *job, uint32_t task, uint8_t *data, uint32_t length)
{
	if (job->state != JOB_ACTIVE || task >= job->body->task_count ||
	    (job->results && job->results[task].data)) {
		free(data);
		return false;
	}
	if (!job->results)
		job->results = g_new0(struct job_result, job->body->task_count);
	job->results[task].data = data;
	job->results[task].length = length;
	return true;
}

static void end_job(struct job_store *store, struct job *job, enum job_state state, GBytes *answer,
		    int64_t now_us)
{
	struct job *newest = entry_jobs_get(store, store->newest_ended);

	free_content(job);
	job->state = state;
	job->answer = answer;
	job->ended_us = now_us;
	if (newest)
		newest->next_ended = job->self;
	else
		store->oldest_ended = job->self;
	store->newest_ended = job->self;
	store->active_jobs--;
	store->unfetched_answers++;
	store->answer_bytes += g_bytes_get_size(answer);
}

/* Returns the answer of a job that is done. The key is not escaped, as entry_route_parse rejects
 * keys with characters that JSON would escape. */
static GBytes *join_results(const struct job *job)
{
	uint32_t count = job->body->task_count;
	size_t length = 64 + strlen(job->key);
	GString *text;

	for (uint32_t i = 0; i < count; i++)
		length += job->results[i].length + 1;
	text = g_string_sized_new(length);
	g_string_printf(text, "{\"job\":\"%s\",\"state\":\"done\",\"results\":[", job->key);
	for (uint32_t i = 0; i < count; i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		g_string_append_len(text, (const char *)job->results[i].data,
				    job->results[i].length);
	}
	g_string_append(text, "]}");
	return g_string_free_to_bytes(text);
}

void entry_jobs_complete(struct job_store *store, struct job *job, int64_t now_us)
{
	end_job(store, job, JOB_DONE, join_results(job), now_us);
}

void entry_jobs_end_with_error(struct job_store *store, struct job *job, enum job_state state,
			       const struct error *err, int64_t now_us)
{
	json_t *answer = json_pack("{s:s, s:s, s:o}", "job", job->key, "state",
				   state == JOB_FAILED ? "failed" : "cancelled", "error",
				   entry_request_error_json(err));

	end_job(store, job, state, entry_request_json_body(answer), now_us);
}

void entry_jobs_mark_fetched(struct job_store *store, struct job *job)
{
	if (job->fetched || job->state == JOB_ACTIVE)
		return;
	job->fetched = true;
	store->unfetched_answers--;
}

void entry_jobs_expire(struct job_store *store, int64_t now_us)
{
	struct job *oldest;

	while ((oldest = entry_jobs_get(store, store->oldest_ended))) {
		if (now_us - oldest->ended_us < store->limits.retention_us &&
		    store->answer_bytes <= store->limits.max_answer_bytes)
			return;
		remove_oldest_ended(store);
	}
}

const char *entry_jobs_task_value(const struct job *job, uint32_t task, uint32_t *length)
{
	*length = job->body->tasks[task].length;
	return job->body->text + job->body->tasks[task].offset;
}
