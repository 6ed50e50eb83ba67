/* Job store: the tasks, results and answers of the jobs that this entry owns. */
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
	struct handle sched; /* in the scheduler; released once the job has ended */
	enum job_state state;
	struct ident digest; /* of session and key */
	struct ident body_digest;
	struct job_body *body; /* NULL once ended */
	char *key;
	struct job_result *results; /* task order; allocated with the first result */
	struct request *waiters;
	GBytes *answer; /* once ended */
	int64_t admitted_us;
	int64_t ended_us;
	bool started;
	bool fetched; /* the answer was delivered at least once */
	struct handle deadline_timer;
	struct handle next_ended;
};

struct job_limits {
	uint32_t max_jobs;
	uint64_t max_answer_bytes;
	int64_t retention_us;
};

struct job_store {
	struct job_limits limits;
	struct table jobs;
	struct handle *jobs_by_sched; /* indexed by the index of the scheduler's handle */
	uint32_t jobs_by_sched_capacity;
	struct handle oldest_ended;
	struct handle newest_ended;
	uint32_t active_jobs;
	uint32_t unfetched_answers;
	uint64_t answer_bytes;
	uint64_t expired_answers;
};

void entry_jobs_init(struct job_store *store, const struct job_limits *limits);
/* Frees all jobs. Waiters must have been answered. */
void entry_jobs_free(struct job_store *store);

/* Returns whether there is room for one more job; drops the oldest ended ones to make room. */
bool entry_jobs_make_room(struct job_store *store);

/* Adds an active job; BODY is taken over. */
struct job *entry_jobs_add(struct job_store *store, struct job_body *body, const char *key,
			   const struct ident *digest);
/* Removes a job that was not admitted. BODY is given back. */
struct job_body *entry_jobs_discard(struct job_store *store, struct job *job);

/* Links the job to its handle in the scheduler. */
void entry_jobs_set_sched(struct job_store *store, struct job *job, struct handle sched);
/* Returns the job with handle SCHED in the scheduler, or NULL. */
struct job *entry_jobs_find_by_sched(const struct job_store *store, struct handle sched);
/* Returns the job, or NULL when it expired. */
struct job *entry_jobs_get(const struct job_store *store, struct handle handle);

/* Stores a result, whose DATA (from malloc) is taken over. Returns false when the task has one or
 * the job ended; then DATA is freed. */
bool entry_jobs_store_result(struct job *job, uint32_t task, uint8_t *data, uint32_t length);

/* Ends the job with all its results in task order. Every task must have a result. */
void entry_jobs_complete(struct job_store *store, struct job *job, int64_t now_us);
/* Ends the job as failed or cancelled with the error of ERR. */
void entry_jobs_end_with_error(struct job_store *store, struct job *job, enum job_state state,
			       const struct error *err, int64_t now_us);

/* Marks the answer as delivered. */
void entry_jobs_mark_fetched(struct job_store *store, struct job *job);

/* Drops ended jobs whose answers are retained for longer than the limit. */
void entry_jobs_expire(struct job_store *store, int64_t now_us);

/* Returns the task's value in the body and stores its LENGTH. */
const char *entry_jobs_task_value(const struct job *job, uint32_t task, uint32_t *length);

#endif
