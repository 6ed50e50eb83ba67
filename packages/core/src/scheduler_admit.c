#include "scheduler_defs.h"

#include <string.h>

enum {
	MILLI = 1000,
	PROBE_INTERVAL = 16 /* refusals of an idle class by its learned run time, of which one is
			    admitted to learn whether it still holds */
};

static uint64_t class_effective_slots_milli(const struct class_row *class)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < class->pools->len; i++)
		sum += ((const struct pool *)class->pools->pdata[i])->effective_slots_milli;
	return sum;
}

/* Returns the share of the work of OTHER that falls on the pools marked with the current pass. */
static double shared_fraction(const struct sched *sched, const struct class_row *other)
{
	uint64_t total = 0;
	uint64_t shared = 0;

	for (uint32_t i = 0; i < other->pools->len; i++) {
		const struct pool *pool = other->pools->pdata[i];

		total += pool->effective_slots_milli;
		if (pool->generation == sched->generation)
			shared += pool->effective_slots_milli;
	}
	return total > 0 ? (double)shared / (double)total : 0;
}

/* Returns the queued tasks of jobs of at most TASKS tasks, to the next power of two. Larger jobs go
 * later unless they have aged. */
static uint64_t tasks_ahead(const struct class_row *class, uint32_t tasks)
{
	unsigned int last_bin = SIZE_BINS - 1 - (unsigned int)__builtin_clz(tasks);
	uint64_t sum = 0;

	for (unsigned int i = 0; i <= last_bin; i++)
		sum += class->queued_by_size[i];
	return sum;
}

/* Returns the expected work ahead of a job of TASKS tasks, in microseconds on a server of factor
 * 1. */
static double work_ahead_us(struct sched *sched, const struct class_row *class, uint32_t tasks)
{
	double work = 0;

	sched->generation++;
	for (uint32_t i = 0; i < class->pools->len; i++)
		((struct pool *)class->pools->pdata[i])->generation = sched->generation;
	for (uint32_t i = 0; i < sched->class_list->len; i++) {
		const struct class_row *other = sched->class_list->pdata[i];

		if (other->queued == 0)
			continue;
		work += (double)tasks_ahead(other, tasks) * other->learned.run_us *
			shared_fraction(sched, other);
	}
	return work;
}

/* Returns the expected time until a job would be finished, or 0 when no server is open to tell. */
static double expected_response_us(struct sched *sched, struct class_row *class,
				   const struct sched_job_spec *spec)
{
	double parallel = (double)class_effective_slots_milli(class) / MILLI;
	double run = class->learned.run_us;
	double longest;

	if (parallel <= 0)
		return 0;
	if (class->learned.samples == 0 && spec->declared_run_us > 0)
		run = (double)spec->declared_run_us;
	longest = run * place_fastest_factor(class);
	return work_ahead_us(sched, class, spec->tasks) / parallel +
	       MAX(longest, spec->tasks * run / parallel);
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
	/* Without results of the class its learned run time would never be corrected. */
	if (spec->deadline_us > now_us && class->learned.samples > 0 && class->queued == 0 &&
	    class->running == 0 && ++class->deadline_refusals % PROBE_INTERVAL == 0)
		return STATUS_OK;
	return error_set(err, STATUS_DEADLINE_UNREACHABLE,
			 "expected response time %.0f ms, deadline in %.0f ms",
			 response_us / US_PER_MS, (double)(spec->deadline_us - now_us) / US_PER_MS);
}

/* Checks a job against capacity, team quota, queue bounds and its deadline. */
enum status admit_check(struct sched *sched, const struct sched_job_spec *spec,
			struct class_row *class, const struct team_row *team, int64_t now_us,
			struct error *err)
{
	if (class->pools->len == 0)
		return error_set(err, STATUS_NO_CAPACITY_MATCH,
				 "no announced server may run class \"%s\"", class->name);
	if (team->max_queued > 0 && team->queued + spec->tasks > team->max_queued)
		return error_set(err, STATUS_QUOTA_EXCEEDED,
				 "team \"%s\" may queue %" G_GUINT64_FORMAT " tasks", team->name,
				 team->max_queued);
	if (sched->queued + spec->tasks > sched->limits.max_queued_tasks)
		return error_set(err, STATUS_QUEUE_FULL, "queue holds %" G_GUINT64_FORMAT " tasks",
				 sched->queued);
	if (sched->bytes + spec->bytes > sched->limits.max_queued_bytes)
		return error_set(err, STATUS_QUEUE_FULL, "queue holds %" G_GUINT64_FORMAT " bytes",
				 sched->bytes);
	return check_deadline(sched, spec, class, now_us, err);
}
