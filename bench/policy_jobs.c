#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy_defs.h"

enum {
	MAX_TASKS = 290,
	/* Range of long tasks: 2 to 4 s in production. */
	LONG_MIN_MS = 400,
	LONG_MAX_MS = 800,
	STRAGGLER_FACTOR = 10,
	ESTIMATE_ERROR_FACTOR = 10,
	/* A deadline is DEADLINE_BASE_MS (5 s in production) plus DEADLINE_BOUND_FACTOR times the
	 * job's bound_ms. */
	DEADLINE_BASE_MS = 1000,
	DEADLINE_BOUND_FACTOR = 4,
};

static const double long_share = 0.005;
static const double straggler_share = 0.02;

/* Classes of tasks with run times in milliseconds, which are 50 ms to 1 s in production. */
static const struct {
	const char *name;
	double share;
	int min_run_ms;
	int max_run_ms;
} classes[] = {
	{"renewal", 0.5, 10, 60},
	{"quote", 0.3, 20, 100},
	{"booking", 0.2, 50, 200},
};

/* Ranges of tasks per job: many small jobs, few large ones. */
static const struct {
	double share;
	int min_tasks;
	int max_tasks;
} sizes[] = {{0.6, 1, 5}, {0.25, 6, 20}, {0.12, 21, 80}, {0.03, 81, MAX_TASKS}};

double policy_time_factor(unsigned index)
{
	return 1 + 3.0 * index / (POLICY_SERVERS - 1);
}

double policy_capacity(void)
{
	double sum = 0;

	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		sum += POLICY_SLOTS / policy_time_factor(i);
	return sum;
}

static uint32_t draw_size(GRand *random)
{
	double draw = g_rand_double(random);
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(sizes) && draw >= sizes[i].share)
		draw -= sizes[i++].share;
	return (uint32_t)g_rand_int_range(random, sizes[i].min_tasks, sizes[i].max_tasks + 1);
}

static size_t draw_class(GRand *random)
{
	double draw = g_rand_double(random);
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(classes) && draw >= classes[i].share)
		draw -= classes[i++].share;
	return i;
}

static double draw_run_ms(GRand *random, size_t class, bool stragglers)
{
	double run =
		g_rand_int_range(random, classes[class].min_run_ms, classes[class].max_run_ms + 1);

	if (g_rand_double(random) < long_share)
		return g_rand_int_range(random, LONG_MIN_MS, LONG_MAX_MS + 1);
	/* Draws a random number even in cases without stragglers, so that stragglers do not
	 * change the random numbers drawn later. */
	if (g_rand_double(random) < straggler_share && stragglers)
		run *= STRAGGLER_FACTOR;
	return run;
}

static char *build_job_body(const struct policy_case *test_case, const struct policy_job *job,
			    const char *class, int estimate_ms)
{
	json_t *tasks = json_array();
	json_t *body;
	char *text;

	for (uint32_t i = 0; i < job->tasks; i++)
		json_array_append_new(tasks, json_pack("{s:f}", "sleep_ms", job->run_ms[i]));
	body = json_pack("{s:s, s:s, s:i, s:o}", "class", class, "team", "passes", "run_ms",
			 estimate_ms, "tasks", tasks);
	if (test_case->deadlines)
		json_object_set_new(body, "deadline_ms",
				    json_integer(DEADLINE_BASE_MS +
						 (int)(DEADLINE_BOUND_FACTOR * job->bound_ms)));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Returns a lower bound of the time in which JOB can end with all servers free, which holds even
 * for preemptive schedules: for every k, the k longest tasks take at least their work divided by
 * the speed of the k fastest slots, and all tasks take at least their work divided by the whole
 * capacity.
 */
static double response_bound_ms(const struct policy_job *job)
{
	double *runs = g_memdup2(job->run_ms, job->tasks * sizeof(double));
	double bound = job->work_ms / policy_capacity();
	double work = 0;
	double speed = 0;
	uint32_t slots = MIN(job->tasks, POLICY_SERVERS * POLICY_SLOTS);

	qsort(runs, job->tasks, sizeof(*runs), compare_double);
	for (uint32_t k = 0; k < slots; k++) {
		work += runs[job->tasks - 1 - k];
		speed += 1 / policy_time_factor(k / POLICY_SLOTS);
		bound = MAX(bound, work / speed);
	}
	g_free(runs);
	return bound;
}

static struct policy_job draw_job(const struct policy_case *test_case, GRand *random)
{
	size_t class = draw_class(random);
	struct policy_job job = {.tasks = draw_size(random)};
	int estimate_ms = (classes[class].min_run_ms + classes[class].max_run_ms) / 2;
	double longest = 0;

	job.run_ms = g_new(double, job.tasks);
	for (uint32_t i = 0; i < job.tasks; i++) {
		job.run_ms[i] = draw_run_ms(random, class, test_case->stragglers);
		job.work_ms += job.run_ms[i];
		longest = MAX(longest, job.run_ms[i]);
	}
	job.ideal_ms = longest * policy_time_factor(0);
	job.bound_ms = response_bound_ms(&job);
	if (test_case->wrong_estimates)
		estimate_ms = g_rand_boolean(random) ? estimate_ms * ESTIMATE_ERROR_FACTOR
						     : MAX(estimate_ms / ESTIMATE_ERROR_FACTOR, 1);
	if (test_case->cancel_half && g_rand_boolean(random))
		job.cancel_after_ms = 1 + g_rand_double(random) * job.bound_ms;
	job.body = build_job_body(test_case, &job, classes[class].name, estimate_ms);
	return job;
}

static int compare_arrival(const void *a, const void *b)
{
	double x = ((const struct policy_job *)a)->arrival_ms;
	double y = ((const struct policy_job *)b)->arrival_ms;

	return (x > y) - (x < y);
}

/* Generates jobs until their work amounts to the load of the case. Arrivals are independent and
 * uniform, like those of a Poisson process with the same number of arrivals; bursts put half of
 * them into a tenth of the time. */
struct policy_jobs policy_generate_jobs(const struct policy_case *test_case, double seconds,
					uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GArray *array = g_array_new(FALSE, FALSE, sizeof(struct policy_job));
	double remaining_work_ms =
		test_case->load_percent / 100.0 * seconds * 1000 * policy_capacity();
	struct policy_jobs jobs = {0};

	while (remaining_work_ms > 0) {
		struct policy_job job = draw_job(test_case, random);
		double draw = g_rand_double(random);

		/* Two bursts, which begin at 0.2 and 0.6 of the time. */
		if (test_case->bursts && g_rand_boolean(random))
			draw = (g_rand_boolean(random) ? 0.2 : 0.6) + draw * 0.05;
		job.arrival_ms = draw * seconds * 1000;
		remaining_work_ms -= job.work_ms;
		jobs.tasks += job.tasks;
		g_array_append_val(array, job);
	}
	g_rand_free(random);
	jobs.count = array->len;
	jobs.jobs = (struct policy_job *)(void *)g_array_free(array, FALSE);
	qsort(jobs.jobs, jobs.count, sizeof(*jobs.jobs), compare_arrival);
	return jobs;
}

void policy_jobs_clear(struct policy_jobs *jobs)
{
	for (uint32_t i = 0; i < jobs->count; i++) {
		g_free(jobs->jobs[i].run_ms);
		free(jobs->jobs[i].body);
	}
	g_free(jobs->jobs);
}

/* Returns the mean response time if one preemptive machine with the capacity of all servers ran the
 * jobs by shortest remaining processing time (SRPT). No schedule on the real servers has a smaller
 * mean. */
static double srpt_mean_response_ms(const struct policy_jobs *jobs)
{
	double *remaining_ms = g_new(double, jobs->count);
	double now_ms = 0;
	double sum = 0;
	uint32_t arrived = 0;
	uint32_t ended = 0;

	for (uint32_t i = 0; i < jobs->count; i++)
		remaining_ms[i] = jobs->jobs[i].work_ms / policy_capacity();
	while (ended < jobs->count) {
		double next_arrival_ms =
			arrived < jobs->count ? jobs->jobs[arrived].arrival_ms : INFINITY;
		uint32_t best = UINT32_MAX;

		for (uint32_t i = 0; i < arrived; i++) {
			if (remaining_ms[i] > 0 &&
			    (best == UINT32_MAX || remaining_ms[i] < remaining_ms[best]))
				best = i;
		}
		if (best == UINT32_MAX || now_ms + remaining_ms[best] > next_arrival_ms) {
			if (best != UINT32_MAX)
				remaining_ms[best] -= next_arrival_ms - now_ms;
			now_ms = next_arrival_ms;
			arrived++;
			continue;
		}
		now_ms += remaining_ms[best];
		remaining_ms[best] = 0;
		sum += now_ms - jobs->jobs[best].arrival_ms;
		ended++;
	}
	g_free(remaining_ms);
	return sum / jobs->count;
}

static double quantile(const GArray *values, double q)
{
	return values->len > 0 ? g_array_index(values, double, (guint)(q * (values->len - 1))) : 0;
}

/* Adds a result to the counts. Returns whether the result enters the response time
 * statistics. */
static bool count_result(struct policy_summary *stats, const struct policy_result *result)
{
	if (result->done) {
		stats->done++;
		return true;
	}
	if (!result->ended) {
		stats->unfinished++;
		return true;
	}
	if (strcmp(result->type, "cancelled") == 0)
		stats->cancelled++;
	else if (result->not_run)
		stats->refused++;
	else
		stats->failed++;
	return false;
}

struct policy_summary policy_summarise(const struct policy_jobs *jobs,
				       const struct policy_result *results)
{
	struct policy_summary stats = {.wasted_messages_per_task = -1};
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *refusals = g_array_new(FALSE, FALSE, sizeof(double));
	double bound = 0;

	for (uint32_t i = 0; i < jobs->count; i++) {
		const struct policy_job *job = &jobs->jobs[i];
		double ratio = results[i].response_ms / job->ideal_ms;

		if (count_result(&stats, &results[i])) {
			g_array_append_val(ratios, ratio);
			stats.ratio_mean += ratio;
			stats.response_ms_mean += results[i].response_ms;
			bound += job->bound_ms;
		} else if (results[i].not_run) {
			g_array_append_val(refusals, results[i].response_ms);
		}
	}
	g_array_sort(ratios, compare_double);
	g_array_sort(refusals, compare_double);
	if (ratios->len > 0) {
		stats.ratio_mean /= ratios->len;
		stats.response_ms_mean /= ratios->len;
		bound /= ratios->len;
		if (ratios->len == jobs->count)
			bound = MAX(bound, srpt_mean_response_ms(jobs));
		stats.mean_to_bound_ratio = stats.response_ms_mean / bound;
	}
	stats.ratio_p50 = quantile(ratios, 0.5);
	stats.ratio_p90 = quantile(ratios, 0.9);
	stats.ratio_p99 = quantile(ratios, 0.99);
	stats.refusal_p50_ms = quantile(refusals, 0.5);
	stats.refusal_p99_ms = quantile(refusals, 0.99);
	g_array_free(ratios, TRUE);
	g_array_free(refusals, TRUE);
	return stats;
}

/* Places the tasks of one job on the slots, longest first. FREE_AT_MS holds the time at which each
 * slot becomes free. Returns the time at which the last task ends. */
static double schedule_offline(const struct policy_job *job, double *free_at_ms)
{
	double *runs = g_memdup2(job->run_ms, job->tasks * sizeof(double));
	double last_end_ms = 0;

	qsort(runs, job->tasks, sizeof(*runs), compare_double);
	for (uint32_t k = job->tasks; k-- > 0;) {
		double earliest_end_ms = INFINITY;
		unsigned best = 0;

		for (unsigned i = 0; i < POLICY_SERVERS * POLICY_SLOTS; i++) {
			double end = MAX(free_at_ms[i], job->arrival_ms) +
				     runs[k] * policy_time_factor(i / POLICY_SLOTS);

			if (end < earliest_end_ms) {
				earliest_end_ms = end;
				best = i;
			}
		}
		free_at_ms[best] = earliest_end_ms;
		last_end_ms = MAX(last_end_ms, earliest_end_ms);
	}
	g_free(runs);
	return last_end_ms;
}

void policy_run_offline(const struct policy_jobs *jobs, struct policy_result *results)
{
	double free_at_ms[POLICY_SERVERS * POLICY_SLOTS] = {0};

	for (uint32_t i = 0; i < jobs->count; i++) {
		const struct policy_job *job = &jobs->jobs[i];

		results[i] = (struct policy_result){.ended = true, .done = true};
		results[i].response_ms = schedule_offline(job, free_at_ms) - job->arrival_ms;
	}
}
