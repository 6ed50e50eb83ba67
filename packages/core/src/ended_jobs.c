#include "ended_jobs.h"

void ended_jobs_init(struct ended_jobs *ended, int64_t retention_us, uint32_t max_jobs)
{
	*ended = (struct ended_jobs){
		.retention_us = retention_us,
		.max_jobs = max_jobs,
		.by_id = g_hash_table_new(g_int64_hash, g_int64_equal),
	};
	g_queue_init(&ended->by_age);
}

void ended_jobs_free(struct ended_jobs *ended)
{
	g_hash_table_destroy(ended->by_id);
	g_queue_clear_full(&ended->by_age, g_free);
}

static void remove_job(struct ended_jobs *ended, struct ended_job *job)
{
	g_queue_remove(&ended->by_age, job);
	g_hash_table_remove(ended->by_id, &job->id);
	g_free(job);
}

static bool has_expired(const struct ended_jobs *ended, const struct ended_job *job, int64_t now_us)
{
	return now_us - job->ended_us > ended->retention_us;
}

void ended_jobs_record(struct ended_jobs *ended, uint64_t id, bool completed, bool ended_here,
		       int64_t now_us)
{
	struct ended_job *job;

	while ((job = g_queue_peek_head(&ended->by_age)) &&
	       (has_expired(ended, job, now_us) || ended->by_age.length >= ended->max_jobs))
		remove_job(ended, job);
	job = g_hash_table_lookup(ended->by_id, &id);
	if (job && (job->ended_here || !ended_here))
		return;
	if (job)
		remove_job(ended, job);
	job = g_new(struct ended_job, 1);
	*job = (struct ended_job){
		.id = id,
		.completed = completed,
		.ended_here = ended_here,
		.ended_us = now_us,
		.sequence = ++ended->last_sequence,
	};
	g_hash_table_insert(ended->by_id, &job->id, job);
	g_queue_push_tail(&ended->by_age, job);
}

const struct ended_job *ended_jobs_find(const struct ended_jobs *ended, uint64_t id, int64_t now_us)
{
	const struct ended_job *job = g_hash_table_lookup(ended->by_id, &id);

	return job && !has_expired(ended, job, now_us) ? job : NULL;
}

uint64_t ended_jobs_since(const struct ended_jobs *ended, uint64_t sequence, GArray *completed,
			  GArray *failed)
{
	for (const GList *item = ended->by_age.tail; item; item = item->prev) {
		const struct ended_job *job = item->data;

		if (job->sequence <= sequence)
			break;
		if (job->ended_here)
			g_array_append_val(job->completed ? completed : failed, job->id);
	}
	return ended->last_sequence;
}
