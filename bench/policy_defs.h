/* Types and functions of the policy benchmark. Times are in milliseconds unless the name
 * says otherwise. */
#ifndef GG_POLICY_DEFS_H
#define GG_POLICY_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "harness.h"

enum {
	POLICY_SERVERS = 10,
	POLICY_SLOTS = 8,
	POLICY_TIME_SCALE = 5, /* all times are production times divided by this */
	POLICY_TYPE_BYTES = 32,
};

/* One case: its load and how it differs from a steady load. */
struct policy_case {
	const char *name;
	int load_percent;     /* of the capacity of all servers */
	bool bursts;	      /* half of the jobs arrive within a tenth of the time */
	bool stragglers;      /* some tasks take ten times longer */
	bool wrong_estimates; /* declared run times are ten times too high or too low */
	bool failing_server;  /* one server fails all tasks */
	bool cancel_half;     /* half of the jobs, chosen at random, are to be cancelled */
	bool deadlines;	      /* jobs carry a deadline */
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
	bool ended;	    /* has any outcome */
	bool done;	    /* ended successfully */
	bool not_run;	    /* the error says that no task was run */
	char type[POLICY_TYPE_BYTES]; /* error type of a failed job */
};

enum policy {
	POLICY_RANDOM,
	POLICY_ROUND_ROBIN,
	POLICY_TWO_CHOICES,
	POLICY_GREENGAGEFRONT,
	POLICY_COUNT,
};

/* Statistics of one policy in one case. A ratio is the response time divided by ideal_ms. */
struct policy_summary {
	double ratio_mean;
	double ratio_p50;
	double ratio_p90;
	double ratio_p99;
	double response_ms_mean;
	double mean_to_bound_ratio; /* mean response time divided by its lower bound */
	uint32_t done;
	uint32_t unfinished;
	uint32_t cancelled;
	uint32_t failed;
	uint32_t refused; /* not_run and not cancelled */
	double refusal_p50_ms;
	double refusal_p99_ms;
	double wasted_messages_per_task; /* per started task; negative if not measured */
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

/* Returns the statistics of RESULTS, with wasted_messages_per_task left negative. */
struct policy_summary policy_summarise(const struct policy_jobs *jobs,
				       const struct policy_result *results);

/* Runs JOBS under POLICY and stores one result for each job. Returns once every job has ended, or
 * DRAIN_SECONDS after the last arrival. */
void policy_run(struct harness *harness, enum policy policy, const struct policy_jobs *jobs,
		struct policy_result *results, double drain_seconds, uint32_t seed);

#endif
