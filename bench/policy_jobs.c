#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "policy_defs.h"

enum {
	MAX_TASKS = 290,
	LONG_LEAST = 400, /* 2 to 4 s in service */
	LONG_MOST = 800,
	STRAGGLER_FACTOR = 10,
	DECLARED_FACTOR = 10,
	DEADLINE_MS = 1000, /* 5 s in service, beyond four times the job's bound */
	DEADLINE_BOUNDS = 4,
};

static const double long_share = 0.005;
static const double straggler_share = 0.02;

/* Classes of tasks; the times are 50 ms to 1 s in service. */
static const struct {
	const char *name;
	double share;
	int least;
	int most;
} classes[] = {
	{"renewal", 0.5, 10, 60},
	{"quote", 0.3, 20, 100},
	{"booking", 0.2, 50, 200},
};

/* Sizes of jobs: many small, few large. */
static const struct {
	double share;
	int least;
	int most;
} sizes[] = {{0.6, 1, 5}, {0.25, 6, 20}, {0.12, 21, 80}, {0.03, 81, MAX_TASKS}};

double policy_factor(unsigned index)
{
	return 1 + 3.0 * index / (POLICY_SERVERS - 1);
}

double policy_capacity(void)
{
	double sum = 0;

	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		sum += POLICY_SLOTS / policy_factor(i);
	return sum;
}

static uint32_t draw_size(GRand *random)
{
	double draw = g_rand_double(random);
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(sizes) && draw >= sizes[i].share)
		draw -= sizes[i++].share;
	return (uint32_t)g_rand_int_range(random, sizes[i].least, sizes[i].most + 1);
}

static size_t draw_class(GRand *random)
{
	double draw = g_rand_double(random);
	size_t i = 0;

	while (i + 1 < G_N_ELEMENTS(classes) && draw >= classes[i].share)
		draw -= classes[i++].share;
	return i;
}

static double draw_run(GRand *random, size_t class, bool stragglers)
{
	double run = g_rand_int_range(random, classes[class].least, classes[class].most + 1);

	if (g_rand_double(random) < long_share)
		return g_rand_int_range(random, LONG_LEAST, LONG_MOST + 1);
	if (g_rand_double(random) < straggler_share && stragglers)
		run *= STRAGGLER_FACTOR;
	return run;
}

static char *write_body(const struct policy_case *which, const struct policy_job *job,
			const char *class, int declared)
{
	json_t *tasks = json_array();
	json_t *body;
	char *text;

	for (uint32_t i = 0; i < job->tasks; i++)
		json_array_append_new(tasks, json_pack("{s:f}", "sleep_ms", job->run[i]));
	body = json_pack("{s:s, s:s, s:i, s:o}", "class", class, "team", "passes", "run_ms",
			 declared, "tasks", tasks);
	if (which->deadlines)
		json_object_set_new(
			body, "deadline_ms",
			json_integer(DEADLINE_MS + (int)(DEADLINE_BOUNDS * job->bound)));
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
 * Returns the least time in which JOB can end with all servers to itself, even when its tasks could
 * be split over time: for every k, the k longest tasks take at least their work over the k fastest
 * slots; and all tasks take their work over the whole capacity.
 */
static double job_bound(const struct policy_job *job)
{
	double *runs = g_memdup2(job->run, job->tasks * sizeof(double));
	double bound = job->work / policy_capacity();
	double work = 0;
	double speed = 0;
	uint32_t slots = MIN(job->tasks, POLICY_SERVERS * POLICY_SLOTS);

	qsort(runs, job->tasks, sizeof(*runs), compare_double);
	for (uint32_t k = 0; k < slots; k++) {
		work += runs[job->tasks - 1 - k];
		speed += 1 / policy_factor(k / POLICY_SLOTS);
		bound = MAX(bound, work / speed);
	}
	g_free(runs);
	return bound;
}

static struct policy_job draw_job(const struct policy_case *which, GRand *random)
{
	size_t class = draw_class(random);
	struct policy_job job = {.tasks = draw_size(random)};
	int declared = (classes[class].least + classes[class].most) / 2;
	double longest = 0;

	job.run = g_new(double, job.tasks);
	for (uint32_t i = 0; i < job.tasks; i++) {
		job.run[i] = draw_run(random, class, which->stragglers);
		job.work += job.run[i];
		longest = MAX(longest, job.run[i]);
	}
	job.ideal = longest * policy_factor(0);
	job.bound = job_bound(&job);
	if (which->wrong_declared)
		declared = g_rand_boolean(random) ? declared * DECLARED_FACTOR
						  : MAX(declared / DECLARED_FACTOR, 1);
	if (which->cancel_half && g_rand_boolean(random))
		job.cancel = 1 + g_rand_double(random) * job.bound;
	job.body = write_body(which, &job, classes[class].name, declared);
	return job;
}

static int compare_arrival(const void *a, const void *b)
{
	double x = ((const struct policy_job *)a)->arrive;
	double y = ((const struct policy_job *)b)->arrive;

	return (x > y) - (x < y);
}

/* Jobs are drawn until their work makes the load. Their arrivals are independent and uniform, as in
 * a Poisson process of that many arrivals; bursts put half of them into a tenth of the time. */
struct policy_jobs policy_draw(const struct policy_case *which, double seconds, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	GArray *array = g_array_new(FALSE, FALSE, sizeof(struct policy_job));
	double left = which->load_percent / 100.0 * seconds * 1000 * policy_capacity();
	struct policy_jobs jobs = {0};

	while (left > 0) {
		struct policy_job job = draw_job(which, random);
		double draw = g_rand_double(random);

		/* Two bursts, at 0.2 and 0.6 of the time. */
		if (which->bursts && g_rand_boolean(random))
			draw = (g_rand_boolean(random) ? 0.2 : 0.6) + draw * 0.05;
		job.arrive = draw * seconds * 1000;
		left -= job.work;
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
		g_free(jobs->jobs[i].run);
		free(jobs->jobs[i].body);
	}
	g_free(jobs->jobs);
}

/* Returns the mean response when one preemptive machine of the whole capacity serves the job with
 * the least remaining work first. No schedule on the servers has a smaller mean. */
static double pooled_mean(const struct policy_jobs *jobs)
{
	double *left = g_new(double, jobs->count);
	double now = 0;
	double sum = 0;
	uint32_t arrived = 0;
	uint32_t ended = 0;

	for (uint32_t i = 0; i < jobs->count; i++)
		left[i] = jobs->jobs[i].work / policy_capacity();
	while (ended < jobs->count) {
		double next = arrived < jobs->count ? jobs->jobs[arrived].arrive : INFINITY;
		uint32_t best = UINT32_MAX;

		for (uint32_t i = 0; i < arrived; i++) {
			if (left[i] > 0 && (best == UINT32_MAX || left[i] < left[best]))
				best = i;
		}
		if (best == UINT32_MAX || now + left[best] > next) {
			if (best != UINT32_MAX)
				left[best] -= next - now;
			now = next;
			arrived++;
			continue;
		}
		now += left[best];
		left[best] = 0;
		sum += now - jobs->jobs[best].arrive;
		ended++;
	}
	g_free(left);
	return sum / jobs->count;
}

static double quantile(const GArray *values, double q)
{
	return values->len > 0 ? g_array_index(values, double, (guint)(q * (values->len - 1))) : 0;
}

/* Adds a result to the counts. Returns whether its response counts. */
static bool count_result(struct policy_summary *sum, const struct policy_result *result)
{
	if (result->done) {
		sum->done++;
		return true;
	}
	if (!result->ended) {
		sum->unfinished++;
		return true;
	}
	if (strcmp(result->type, "cancelled") == 0)
		sum->cancelled++;
	else if (result->not_run)
		sum->refused++;
	else
		sum->failed++;
	return false;
}

struct policy_summary policy_summarise(const struct policy_jobs *jobs,
				       const struct policy_result *results)
{
	struct policy_summary sum = {.waste = -1};
	GArray *ratios = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *refusals = g_array_new(FALSE, FALSE, sizeof(double));
	double bound = 0;

	for (uint32_t i = 0; i < jobs->count; i++) {
		const struct policy_job *job = &jobs->jobs[i];
		double ratio = results[i].response / job->ideal;

		if (count_result(&sum, &results[i])) {
			g_array_append_val(ratios, ratio);
			sum.mean += ratio;
			sum.mean_ms += results[i].response;
			bound += job->bound;
		} else if (results[i].not_run) {
			g_array_append_val(refusals, results[i].response);
		}
	}
	g_array_sort(ratios, compare_double);
	g_array_sort(refusals, compare_double);
	if (ratios->len > 0) {
		sum.mean /= ratios->len;
		sum.mean_ms /= ratios->len;
		bound /= ratios->len;
		if (ratios->len == jobs->count)
			bound = MAX(bound, pooled_mean(jobs));
		sum.over_bound = sum.mean_ms / bound;
	}
	sum.p50 = quantile(ratios, 0.5);
	sum.p90 = quantile(ratios, 0.9);
	sum.p99 = quantile(ratios, 0.99);
	sum.refusal_p50 = quantile(refusals, 0.5);
	sum.refusal_p99 = quantile(refusals, 0.99);
	g_array_free(ratios, TRUE);
	g_array_free(refusals, TRUE);
	return sum;
}

/* Places one job on the slots, the longest task first. Returns when the last task ends. */
static double place_offline(const struct policy_job *job, double *free_at)
{
	double *runs = g_memdup2(job->run, job->tasks * sizeof(double));
	double last = 0;

	qsort(runs, job->tasks, sizeof(*runs), compare_double);
	for (uint32_t k = job->tasks; k-- > 0;) {
		double best_end = INFINITY;
		unsigned best = 0;

		for (unsigned i = 0; i < POLICY_SERVERS * POLICY_SLOTS; i++) {
			double end = MAX(free_at[i], job->arrive) +
				     runs[k] * policy_factor(i / POLICY_SLOTS);

			if (end < best_end) {
				best_end = end;
				best = i;
			}
		}
		free_at[best] = best_end;
		last = MAX(last, best_end);
	}
	g_free(runs);
	return last;
}

void policy_run_offline(const struct policy_jobs *jobs, struct policy_result *results)
{
	double free_at[POLICY_SERVERS * POLICY_SLOTS] = {0};

	for (uint32_t i = 0; i < jobs->count; i++) {
		const struct policy_job *job = &jobs->jobs[i];

		results[i] = (struct policy_result){.ended = true, .done = true};
		results[i].response = place_offline(job, free_at) - job->arrive;
	}
}
