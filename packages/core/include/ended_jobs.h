/*
 * Jobs that ended a short time ago, here or at another entry.
 *
 * Load pattern: a client, or the network between, sends a request again seconds after its answer,
 * and it reaches any entry. It gets the same answer, and none of it runs a second time.
 */
#ifndef GG_ENDED_JOBS_H
#define GG_ENDED_JOBS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ended_job {
	uint64_t id;
	bool completed;	 /* else it failed for good */
	bool ended_here; /* it ended at this entry */
	int64_t ended_us;
	uint64_t sequence; /* rises with each job noted here */
};

struct ended_jobs {
	int64_t retention_us;
	uint32_t max_jobs;
	uint64_t last_sequence;
	GHashTable *by_id; /* uint64_t -> struct ended_job */
	GQueue by_age;	   /* struct ended_job *, the oldest first */
};

/* Jobs are kept for RETENTION_US; the oldest make room beyond MAX_JOBS of them. */
void ended_jobs_init(struct ended_jobs *ended, int64_t retention_us, uint32_t max_jobs);
void ended_jobs_free(struct ended_jobs *ended);

/* Notes the end of a job. The first end that was noted stands. */
void ended_jobs_record(struct ended_jobs *ended, uint64_t id, bool completed, bool ended_here,
		       int64_t now_us);

/* Returns the job, or NULL when it is not known or too old. */
const struct ended_job *ended_jobs_find(const struct ended_jobs *ended, uint64_t id,
					int64_t now_us);

/* Adds the ids of the jobs that ended here after SEQUENCE to COMPLETED and FAILED, arrays of
 * uint64_t. Returns the sequence up to which they were added. */
uint64_t ended_jobs_since(const struct ended_jobs *ended, uint64_t sequence, GArray *completed,
			  GArray *failed);

#endif
