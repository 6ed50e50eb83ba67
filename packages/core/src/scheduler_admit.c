#include "scheduler_defs.h"

#include <string.h>

enum {
	MILLI = 1000,
	PROBE_INTERVAL = 16 /* of this many refusals of an idle class by its learned run time, one
			    is replaced by an admission, to measure the run time again */
};

static uint64_t class_effective_slots_milli(const struct class_row *class)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < class->pools->len; i++)
		sum += ((const struct pool *)class->pools->pdata[i])->effective_slots_milli;
	return sum;
}

/* Returns the fraction of the work of OTHER that is expected to run in the pools marked with the
 * current generation. */
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

/* Returns the number of queued tasks in jobs of at most TASKS tasks, rounded up to the end of its
 * power-of-two bin. Larger jobs start later unless they have aged. */
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

/* Returns the expected time from now until the job finishes, or 0 when there is no estimate because
 * no server is open. */
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
	/* A wrong learned run time is only corrected by results, so a class without any running or
	 * queued task is admitted now and then. */
	if (spec->deadline_us > now_us && class->learned.samples > 0 && class->queued == 0 &&
	    class->running == 0 && ++class->deadline_refusals % PROBE_INTERVAL == 0)
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
	if (team->max_queued > 0 && team->queued + spec->tasks > team->max_queued)
		return error_set(err, STATUS_QUOTA_EXCEEDED,
				 "team \"%s\" exceeds its limit of %" G_GUINT64_FORMAT
				 " queued tasks",
				 team->name, team->max_queued);
	if (sched->queued + spec->tasks > sched->limits.max_queued_tasks)
		return error_set(err, STATUS_QUEUE_FULL,
				 "job exceeds the queue limit; %" G_GUINT64_FORMAT
				 " tasks are queued",
				 sched->queued);
	if (sched->bytes + spec->bytes > sched->limits.max_queued_bytes)
		return error_set(
			err, STATUS_QUEUE_FULL,
			"job exceeds the byte limit; unfinished jobs hold %" G_GUINT64_FORMAT
			" bytes",
			sched->bytes);
	return check_deadline(sched, spec, class, now_us, err);
}
