/* Controller of the jobs: admission to the scheduler, events of their tasks, their end, and the
 * requests that wait for it. */
#ifndef GG_ENTRY_PROGRESS_H
#define GG_ENTRY_PROGRESS_H

#include "entry_board.h"

/*
 * Admits the job of REQUEST, whose body is taken over on success. Returns the job, or NULL with the
 * refusal in ERR.
 */
struct job *entry_progress_admit(struct board *board, struct request *request,
				 const struct ident *digest, struct error *err);

/* Answers REQUEST with the job's answer, at once or within its wait, or with the job's state. */
void entry_progress_wait(struct board *board, struct request *request, struct job *job);

/* A task ended with a result. DATA, from malloc, is taken over. */
void entry_progress_task_done(struct board *board, struct handle sched, uint32_t task,
			      struct handle server, int64_t run_us, uint8_t *data, uint32_t length);
/* A task did not start and is queued again. */
void entry_progress_task_refused(struct board *board, struct handle sched, uint32_t task,
				 struct handle server);
/* A started task failed; so does its job. */
void entry_progress_task_failed(struct board *board, struct handle sched, uint32_t task,
				struct handle server, enum status status, const char *reason);

/* Cancels the job; one that ended already keeps its answer. */
void entry_progress_cancel(struct board *board, struct job *job);

/* Fails every job that has not ended, with STATUS. */
void entry_progress_fail_all(struct board *board, enum status status, const char *reason);

/* Fails the jobs whose deadline passed. */
void entry_progress_expire(struct board *board);

#endif
