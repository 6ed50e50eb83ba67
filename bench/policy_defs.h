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
	POLICY_TIME_SCALE = 5, /* all times are this many times shorter than in service */
	POLICY_TYPE_BYTES = 32,
};

/* How a case differs from steady load. */
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
	double cancel_after_ms; /* after the arrival, or 0 */
	uint32_t tasks;
	double *run_ms; /* of each task on a server of time factor 1 */
	char *body;
	double ideal_ms; /* longest task on the fastest server */
	double bound_ms; /* least time with all servers to itself */
	double work_ms;
};

struct policy_jobs {
	uint32_t count;
	struct policy_job *jobs;
	uint32_t tasks;
};

/* The end of a job under one policy. */
struct policy_result {
	double response_ms; /* from the planned arrival; so far for an unfinished job */
	bool ended;
	bool done;
	bool not_run;
	char type[POLICY_TYPE_BYTES]; /* of the failure */
};

enum policy {
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_TWO_CHOICES,
	POLICY_GREENGAGEFRONT, /* greengagefront */
	POLICY_COUNT,
};

/* Statistics of one policy in one case. */
struct policy_summary {
	double ratio_mean;
	double ratio_p50;
	double ratio_p90;
	double ratio_p99;
	double response_ms_mean;
	double mean_over_bound; /* mean response over the bound on the mean response */
	uint32_t done;
	uint32_t unfinished;
	uint32_t cancelled;
	uint32_t failed;
	uint32_t refused;
	double refusal_p50_ms;
	double refusal_p99_ms;
	double wasted_per_task; /* messages a task, below 0 when not applicable */
};

/* Time factor of server INDEX, from 1 to 4, and the work that all servers do at once. */
double policy_time_factor(unsigned index);
double policy_capacity(void);

/* Draws the jobs of a case that arrive within SECONDS. */
struct policy_jobs policy_generate_jobs(const struct policy_case *test_case, double seconds,
					uint32_t seed);
void policy_jobs_clear(struct policy_jobs *jobs);

/*
 * Fills the results of a reference that needs no processes: all run times and speeds are known, a
 * message costs nothing, and jobs are placed in the order of arrival, each task on the slot where
 * it ends first. It shows what a schedule can reach; it is no bound. Cancellations and faults are
 * left out.
 */
void policy_run_offline(const struct policy_jobs *jobs, struct policy_result *results);

struct policy_summary policy_summarise(const struct policy_jobs *jobs,
				       const struct policy_result *results);

/* Runs JOBS under POLICY and fills one result a job. Returns once every job has ended, or LIMIT
 * seconds after the last arrival. */
void policy_run(struct harness *harness, enum policy policy, const struct policy_jobs *jobs,
		struct policy_result *results, double drain_seconds, uint32_t seed);

#endif
