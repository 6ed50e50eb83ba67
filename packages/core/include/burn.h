/* Burn rates of the service-level objectives over several windows: response times, failures and
 * wasted messages. */
#ifndef GG_BURN_H
#define GG_BURN_H

#include <stdint.h>

enum {
	BURN_WINDOWS = 3
};

/* Service-level objectives, from the configuration. */
struct burn_objectives {
	double ratio_target; /* largest ratio of response time to ideal time at which a job counts
				as good */
	double objective;    /* required share of good jobs, for example 0.99 */
	double waste_target; /* accepted wasted messages per task */
};

/* Counts and burn rates of one window. A failed job counts in jobs and failed_jobs but never in
 * slow_jobs, and mean_ratio covers the jobs that did not fail. A burn rate of 1 uses up the error
 * budget exactly over the period of the objective. */
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

/* Records a job of TASKS tasks that ended at NOW_US. IDEAL_US is the time that its work takes
 * without waiting. */
void burn_record_job(struct burn *burn, uint32_t tasks, int64_t response_us, int64_t ideal_us,
		     int failed, int64_t now_us);

/* Records MESSAGES sent between processes beyond one start and one result per task. */
void burn_record_wasted(struct burn *burn, uint64_t messages, int64_t now_us);

/* Fills OUT with the windows of 5 min, 1 h and 6 h that end at NOW_US. */
void burn_report(struct burn *burn, int64_t now_us, struct burn_window out[BURN_WINDOWS]);

#endif
