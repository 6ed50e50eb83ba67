/* Job store: holds the tasks, results and answers of the jobs that this entry owns. */
#ifndef GG_ENTRY_JOBS_H
#define GG_ENTRY_JOBS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "entry_body.h"
#include "entry_request.h"
#include "session.h"
#include "table.h"

enum job_state {
	JOB_ACTIVE,
	JOB_DONE,
	JOB_FAILED,
	JOB_CANCELLED,
};

/* A task's result as JSON text, allocated with malloc. */
struct job_result {
	uint8_t *data;
	uint32_t length;
};

struct job {
	struct handle self;
	struct handle sched_job; /* handle in the scheduler; released when the job ends */
	enum job_state state;
	struct ident digest; /* of the session token, if any, and the key */
	struct ident body_digest;
	struct job_body *body; /* NULL after the job has ended */
	char *key;
	struct job_result *results; /* in task order; allocated when the first result arrives */
	struct request *waiters;    /* requests that wait for the answer */
	GBytes *answer;		    /* NULL until the job ends */
	int64_t admitted_us;
	int64_t ended_us;
	bool started; /* a task was assigned to an agent */
	bool fetched; /* the answer was delivered at least once */
	struct handle deadline_timer;
	struct handle next_ended; /* next in the list of ended jobs, which is ordered by end time */
};

struct job_limits {
	uint32_t max_jobs;
	uint64_t max_answer_bytes;
	int64_t retention_us; /* how long answers are kept */
};

struct job_store {
	struct job_limits limits;
	struct table jobs;
	struct handle *jobs_by_sched; /* indexed by the index of the scheduler handle */
	uint32_t jobs_by_sched_capacity;
	struct handle oldest_ended;
	struct handle newest_ended;
	uint32_t active_jobs;
	uint32_t unfetched_answers; /* kept answers that were never delivered */
	uint64_t answer_bytes;	    /* size of all answers */
	uint64_t removed_answers;   /* answers removed so far */
};

void entry_jobs_init(struct job_store *store, const struct job_limits *limits);
/* Frees all jobs. Their waiters must have been answered before. */
void entry_jobs_free(struct job_store *store);

/* Makes room for one more job within max_jobs by removing ended jobs, the oldest first. Returns
 * false if max_jobs jobs are active. */
bool entry_jobs_make_room(struct job_store *store);

/* Adds an active job. The store takes ownership of BODY. */
struct job *entry_jobs_add(struct job_store *store, struct job_body *body, const char *key,
			   const struct ident *digest);
/* Removes a job that was not admitted. Returns its body, which the caller owns again. */
struct job_body *entry_jobs_discard(struct job_store *store, struct job *job);

/* Sets the scheduler handle of the job and indexes the job by it. */
void entry_jobs_set_sched_job(struct job_store *store, struct job *job, struct handle sched_job);
/* Returns the job with the scheduler handle SCHED_JOB, or NULL. */
struct job *entry_jobs_find_by_sched_job(const struct job_store *store, struct handle sched_job);
/* Returns the job with HANDLE, or NULL if it was removed. */
struct job *entry_jobs_get(const struct job_store *store, struct handle handle);

/* Stores the result of a task and takes ownership of DATA, which was allocated with malloc. Frees
 * DATA and returns false if the task has a result already, if the job has ended, or if there is no
 * such task. */
bool entry_jobs_store_result(struct job *job, uint32_t task, uint8_t *data, uint32_t length);

/* Ends the job as done. The answer contains all results in task order; every task must have one. */
void entry_jobs_complete(struct job_store *store, struct job *job, int64_t now_us);
/* Ends the job with STATE, JOB_FAILED or JOB_CANCELLED. The answer contains ERR and no results. */
void entry_jobs_end_with_error(struct job_store *store, struct job *job, enum job_state state,
			       const struct error *err, int64_t now_us);

/* Marks the answer of an ended job as delivered. */
void entry_jobs_mark_fetched(struct job_store *store, struct job *job);

/* Removes the oldest ended jobs for as long as the oldest one has been kept for retention_us or all
 * answers together exceed max_answer_bytes. */
void entry_jobs_expire(struct job_store *store, int64_t now_us);

/* Returns the JSON value of the task within the body and stores its length in LENGTH. The value is
 * not terminated by a null byte. */
const char *entry_jobs_task_value(const struct job *job, uint32_t task, uint32_t *length);

#endif
