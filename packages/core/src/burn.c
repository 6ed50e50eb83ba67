#include "burn.h"

#include <glib.h>

#include "core_defs.h"

enum {
	BUCKET_S = 10,
	LONGEST_WINDOW_S = 21600,
	BUCKET_COUNT = LONGEST_WINDOW_S / BUCKET_S
};

static const int64_t window_seconds[BURN_WINDOWS] = {300, 3600, LONGEST_WINDOW_S};

/* Lower bound of an error budget, which keeps burn rates finite. */
static const double min_budget = 1e-6;

/* Counts of one interval of BUCKET_S seconds. */
struct bucket {
	int64_t index; /* start of the interval / BUCKET_S; if it is not the expected one, the
			  counts are stale */
	uint64_t jobs;
	uint64_t slow_jobs;
	uint64_t failed_jobs;
	uint64_t tasks;
	uint64_t wasted_messages;
	double ratio_sum;
};

struct burn {
	struct burn_objectives objectives;
	struct bucket buckets[BUCKET_COUNT];
};

struct burn *burn_new(const struct burn_objectives *objectives)
{
	struct burn *burn = g_new0(struct burn, 1);

	burn->objectives = *objectives;
	for (int i = 0; i < BUCKET_COUNT; i++)
		burn->buckets[i].index = -1;
	return burn;
}

void burn_free(struct burn *burn)
{
	g_free(burn);
}

void burn_set_objectives(struct burn *burn, const struct burn_objectives *objectives)
{
	burn->objectives = *objectives;
}

static struct bucket *bucket_at(struct burn *burn, int64_t now_us)
{
	int64_t index = now_us / ((int64_t)BUCKET_S * US_PER_SECOND);
	struct bucket *bucket = &burn->buckets[index % BUCKET_COUNT];

	if (bucket->index != index)
		*bucket = (struct bucket){.index = index};
	return bucket;
}

void burn_record_job(struct burn *burn, uint32_t tasks, int64_t response_us, int64_t ideal_us,
		     int failed, int64_t now_us)
{
	struct bucket *bucket = bucket_at(burn, now_us);
	double ratio = (double)response_us / (double)MAX(ideal_us, 1);

	bucket->jobs++;
	bucket->tasks += tasks;
	if (failed) {
		bucket->failed_jobs++;
		return;
	}
	bucket->ratio_sum += ratio;
	if (ratio > burn->objectives.ratio_target)
		bucket->slow_jobs++;
}

void burn_record_wasted(struct burn *burn, uint64_t messages, int64_t now_us)
{
	bucket_at(burn, now_us)->wasted_messages += messages;
}

static void add_bucket(struct burn_window *window, const struct bucket *bucket)
{
	window->jobs += bucket->jobs;
	window->slow_jobs += bucket->slow_jobs;
	window->failed_jobs += bucket->failed_jobs;
	window->tasks += bucket->tasks;
	window->wasted_messages += bucket->wasted_messages;
	window->mean_ratio += bucket->ratio_sum; /* the sum until compute_burn_rates divides it */
}

static void compute_burn_rates(struct burn_window *window, const struct burn_objectives *objectives)
{
	double budget = MAX(1 - objectives->objective, min_budget);
	double waste_budget = MAX(objectives->waste_target, min_budget);
	uint64_t answered = window->jobs - window->failed_jobs;

	if (answered > 0)
		window->mean_ratio /= (double)answered;
	if (window->jobs > 0) {
		double jobs = (double)window->jobs;

		window->latency_burn = (double)window->slow_jobs / jobs / budget;
		window->failure_burn = (double)window->failed_jobs / jobs / budget;
	}
	window->waste_burn =
		(double)window->wasted_messages / (double)MAX(window->tasks, 1) / waste_budget;
}

void burn_report(struct burn *burn, int64_t now_us, struct burn_window out[BURN_WINDOWS])
{
	int64_t newest = now_us / ((int64_t)BUCKET_S * US_PER_SECOND);

	for (int w = 0; w < BURN_WINDOWS; w++) {
		int64_t oldest = newest - window_seconds[w] / BUCKET_S + 1;

		out[w] = (struct burn_window){.seconds = window_seconds[w]};
		for (int i = 0; i < BUCKET_COUNT; i++) {
			const struct bucket *bucket = &burn->buckets[i];

			if (bucket->index >= oldest && bucket->index <= newest)
				add_bucket(&out[w], bucket);
		}
		compute_burn_rates(&out[w], &burn->objectives);
	}
}
