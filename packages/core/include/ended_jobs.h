/*
 * Jobs that ended recently, at this entry or at another one.
 *
 * A client, or the network in between, may repeat a request seconds after its answer, and the
 * repeated request may reach any entry. The repetition gets the same answer, and no task runs a
 * second time.
 */
#ifndef GG_ENDED_JOBS_H
#define GG_ENDED_JOBS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ended_job {
	uint64_t id;
	bool completed;	 /* false: the job failed permanently */
	bool ended_here; /* false: another entry reported its end */
	int64_t ended_us;
	uint64_t sequence; /* position in the order of recording, from 1 */
};

struct ended_jobs {
	int64_t retention_us;
	uint32_t max_jobs;
	uint64_t last_sequence;
	GHashTable *by_id; /* uint64_t -> struct ended_job */
	GQueue by_age;	   /* struct ended_job *, oldest first */
};

/* Initializes ENDED to keep jobs for RETENTION_US. The oldest are removed when there are more than
 * MAX_JOBS. */
void ended_jobs_init(struct ended_jobs *ended, int64_t retention_us, uint32_t max_jobs);
void ended_jobs_free(struct ended_jobs *ended);

/* Records the end of a job. A job that is already recorded is left unchanged, unless only another
 * entry has reported its end and it has now ended at this one. */
void ended_jobs_record(struct ended_jobs *ended, uint64_t id, bool completed, bool ended_here,
		       int64_t now_us);

/* Returns the job, or NULL when it is unknown or older than the retention time. */
const struct ended_job *ended_jobs_find(const struct ended_jobs *ended, uint64_t id,
					int64_t now_us);

/* Appends the ids of the jobs that ended at this entry and were recorded after SEQUENCE to the
 * arrays COMPLETED and FAILED of uint64_t. Returns the last sequence number covered, to be passed
 * to the next call. */
uint64_t ended_jobs_since(const struct ended_jobs *ended, uint64_t sequence, GArray *completed,
			  GArray *failed);

#endif
