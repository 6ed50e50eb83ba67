/* Shared types of the policy experiment. Times are in milliseconds unless the name says otherwise.
 */
#ifndef GG_POLICY_DEFS_H
#define GG_POLICY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "harness.h"

enum {
	POLICY_SERVERS = 10,
	POLICY_SLOTS = 8,
	POLICY_TIME_SCALE = 5, /* times are divided by this factor compared with production */
	POLICY_TYPE_BYTES = 32,
};

/* Load of a case and its deviations from steady load. */
struct policy_case {
	const char *name;
	int load_percent; /* of the capacity of all servers */
	bool bursts;	  /* half of the jobs arrive within a tenth of the time */
	bool stragglers;
	bool wrong_estimates;
	bool failing_server;
	bool cancel_half;
	bool deadlines;
};

struct policy_job {
	double arrival_ms;
	double cancel_after_ms; /* from the arrival; 0 if the job isn't cancelled */
	uint32_t tasks;
	double *run_ms; /* of each task, on a server with time factor 1 */
	char *body;
	double ideal_ms; /* run time of the longest task on the fastest server */
	double bound_ms; /* lower bound of the response time with all servers free */
	double work_ms;	 /* sum of run_ms */
};

struct policy_jobs {
	uint32_t count;
	struct policy_job *jobs;
	uint32_t tasks;
};

/* Outcome of a job under one policy. */
struct policy_result {
	double response_ms; /* from the planned arrival; unfinished jobs: to the end of the run */
	bool ended;
	bool done;
	bool not_run;
	char type[POLICY_TYPE_BYTES]; /* error type of a failed job */
};

enum policy {
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_TWO_CHOICES,
	POLICY_GREENGAGEFRONT,
	POLICY_COUNT,
};

/* Statistics of one policy in one case. A ratio is the response time over the ideal time. */
struct policy_summary {
	double ratio_mean;
	double ratio_p50;
	double ratio_p90;
	double ratio_p99;
	double response_ms_mean;
	double mean_over_bound; /* mean response time over its lower bound */
	uint32_t done;
	uint32_t unfinished;
	uint32_t cancelled;
	uint32_t failed;
	uint32_t refused;
	double refusal_p50_ms;
	double refusal_p99_ms;
	double wasted_per_task; /* messages per task; negative when not applicable */
};

/* Returns how many times longer a task takes on server INDEX than on the fastest one, from 1 to 4.
 */
double policy_time_factor(unsigned index);

/* Returns the capacity of all servers, in slots of a server with time factor 1. */
double policy_capacity(void);

/* Generates the random jobs of a case, which arrive within SECONDS. */
struct policy_jobs policy_generate_jobs(const struct policy_case *test_case, double seconds,
					uint32_t seed);
void policy_jobs_clear(struct policy_jobs *jobs);

/*
 * Computes the results of a reference schedule without processes: all run times and speeds are
 * known, messages cost nothing, and jobs are placed in order of arrival, each task on the slot
 * where it ends first. The schedule shows what is achievable but is not a bound. It ignores
 * cancellations and faults.
 */
void policy_run_offline(const struct policy_jobs *jobs, struct policy_result *results);

/* Returns the statistics of RESULTS, with wasted_per_task left negative. */
struct policy_summary policy_summarise(const struct policy_jobs *jobs,
				       const struct policy_result *results);

/* Runs JOBS under POLICY and stores one result for each job. Returns once every job has ended, or
 * DRAIN_SECONDS after the last arrival. */
void policy_run(struct harness *harness, enum policy policy, const struct policy_jobs *jobs,
		struct policy_result *results, double drain_seconds, uint32_t seed);

#endif
