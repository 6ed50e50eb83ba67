#include "scheduler_defs.h"

#include <string.h>

enum {
	MILLI = 1000,
	PROBE_INTERVAL = 16 /* every 16th job that would be refused because of the learned run time
			    of an idle class is admitted, so that the run time is measured again */
};

static uint64_t class_effective_slots_milli(const struct class_row *class)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < class->pools->len; i++)
		sum += ((const struct server_pool *)class->pools->pdata[i])->effective_slots_milli;
	return sum;
}

/* Returns the fraction of the work of OTHER that is expected to run in the pools marked in the
 * current admission check. */
static double shared_fraction(const struct sched *sched, const struct class_row *other)
{
	uint64_t total = 0;
	uint64_t shared = 0;

	for (uint32_t i = 0; i < other->pools->len; i++) {
		const struct server_pool *pool = other->pools->pdata[i];

		total += pool->effective_slots_milli;
		if (pool->marked_by_search == sched->search_id)
			shared += pool->effective_slots_milli;
	}
	return total > 0 ? (double)shared / (double)total : 0;
}

/* Returns the number of queued tasks of CLASS that belong to jobs in the same power-of-two size bin
 * as a job of TASKS tasks or in a smaller bin. Larger jobs start later unless they have aged. */
static uint64_t tasks_ahead(const struct class_row *class, uint32_t tasks)
{
	unsigned int last_bin = SIZE_BINS - 1 - (unsigned int)__builtin_clz(tasks);
	uint64_t sum = 0;

	for (unsigned int i = 0; i <= last_bin; i++)
		sum += class->queued_by_size[i];
	return sum;
}

/* Returns the expected work that is queued ahead of a job of TASKS tasks, in microseconds on a
 * server of factor 1. */
static double work_ahead_us(struct sched *sched, const struct class_row *class, uint32_t tasks)
{
	double work = 0;

	sched->search_id++;
	for (uint32_t i = 0; i < class->pools->len; i++)
		((struct server_pool *)class->pools->pdata[i])->marked_by_search = sched->search_id;
	for (uint32_t i = 0; i < sched->class_list->len; i++) {
		const struct class_row *other = sched->class_list->pdata[i];

		if (other->queued_tasks == 0)
			continue;
		work += (double)tasks_ahead(other, tasks) * other->estimate.run_us *
			shared_fraction(sched, other);
	}
	return work;
}

/* Returns the expected time from now until the job finishes, or 0 when there is no estimate because
 * no server is open. */
static double expected_response_us(struct sched *sched, struct class_row *class,
				   const struct sched_job_spec *spec)
{
	double effective_slots = (double)class_effective_slots_milli(class) / MILLI;
	double run_us = class->estimate.run_us;
	double fastest_run_us;

	if (effective_slots <= 0)
		return 0;
	if (class->estimate.samples == 0 && spec->declared_run_us > 0)
		run_us = (double)spec->declared_run_us;
	fastest_run_us = run_us * place_min_factor_estimate(class);
	return work_ahead_us(sched, class, spec->tasks) / effective_slots +
	       MAX(fastest_run_us, spec->tasks * run_us / effective_slots);
}

static enum status check_deadline(struct sched *sched, const struct sched_job_spec *spec,
				  struct class_row *class, int64_t now_us, struct error *err)
{
	double response_us;

	if (spec->deadline_us == 0)
		return STATUS_OK;
	response_us = expected_response_us(sched, class, spec);
	if ((double)now_us + response_us <= (double)spec->deadline_us && spec->deadline_us > now_us)
		return STATUS_OK;
	/* Only results correct a wrong learned run time, so every PROBE_INTERVAL-th job that would
	 * be refused is admitted when its class has no queued or running task. */
	if (spec->deadline_us > now_us && class->estimate.samples > 0 && class->queued_tasks == 0 &&
	    class->running_tasks == 0 && ++class->idle_deadline_misses % PROBE_INTERVAL == 0)
		return STATUS_OK;
	return error_set(err, STATUS_DEADLINE_UNREACHABLE,
			 "expected response time is %.0f ms but the deadline is in %.0f ms",
			 response_us / US_PER_MS, (double)(spec->deadline_us - now_us) / US_PER_MS);
}

/* Checks a job against the eligible servers, the team quota, the queue limits and the deadline. */
enum status admit_check(struct sched *sched, const struct sched_job_spec *spec,
			struct class_row *class, const struct team_row *team, int64_t now_us,
			struct error *err)
{
	if (class->pools->len == 0)
		return error_set(err, STATUS_NO_CAPACITY_MATCH,
				 "no known server may run class \"%s\"", class->name);
	if (team->max_queued > 0 && team->queued_tasks + spec->tasks > team->max_queued)
		return error_set(err, STATUS_QUOTA_EXCEEDED,
				 "team \"%s\" exceeds its limit of %" G_GUINT64_FORMAT
				 " queued tasks",
				 team->name, team->max_queued);
	if (sched->queued_tasks + spec->tasks > sched->limits.max_queued_tasks)
		return error_set(err, STATUS_QUEUE_FULL,
				 "job exceeds the queue limit; %" G_GUINT64_FORMAT
				 " tasks are queued",
				 sched->queued_tasks);
	if (sched->unfinished_job_bytes + spec->bytes > sched->limits.max_queued_bytes)
		return error_set(
			err, STATUS_QUEUE_FULL,
			"job exceeds the byte limit; unfinished jobs hold %" G_GUINT64_FORMAT
			" bytes",
			sched->unfinished_job_bytes);
	return check_deadline(sched, spec, class, now_us, err);
}
