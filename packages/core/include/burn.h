/* Service-level burn over several windows: response against ideal, failures, wasted messages. */
#ifndef GG_BURN_H
#define GG_BURN_H

#include <stdint.h>

enum {
	BURN_WINDOWS = 3
};

/* The objectives, from the configuration. */
struct burn_objectives {
	double ratio_target; /* a job is good when response / ideal is at most this */
	double objective;    /* share of jobs that must be good, for example 0.99 */
	double waste_target; /* wasted messages a task that are accepted */
};

/* What happened in one window. Failed jobs count in failed_jobs only, and mean_ratio is over the
 * others. A burn rate of 1 uses the error budget up exactly over the
 * objective's period. */
struct burn_window {
	int64_t seconds;
	uint64_t jobs;
	uint64_t slow_jobs;
	uint64_t failed_jobs;
	uint64_t tasks;
	uint64_t wasted_messages;
	double mean_ratio;
	double latency_burn;
	double failure_burn;
	double waste_burn;
};

struct burn; /* opaque */

struct burn *burn_new(const struct burn_objectives *objectives);
void burn_free(struct burn *burn);
void burn_set_objectives(struct burn *burn, const struct burn_objectives *objectives);

/* Records the end of a job. */
void burn_record_job(struct burn *burn, uint32_t tasks, int64_t response_us, int64_t ideal_us,
		     int failed, int64_t now_us);

/* Records messages between processes beyond one start and one result a task. */
void burn_record_wasted(struct burn *burn, uint64_t messages, int64_t now_us);

/* Fills OUT for windows of 5 min, 1 h and 6 h ending at NOW_US. */
void burn_report(struct burn *burn, int64_t now_us, struct burn_window out[BURN_WINDOWS]);

#endif
