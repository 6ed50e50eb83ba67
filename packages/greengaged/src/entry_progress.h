/* Manages the life cycle of jobs: admits them to the scheduler, handles the end of their tasks,
 * ends them, and answers the requests that wait for their end. */
#ifndef GG_ENTRY_PROGRESS_H
#define GG_ENTRY_PROGRESS_H

#include "entry_board.h"

/*
 * Admits the job of REQUEST to the scheduler. On success the job takes ownership of the request's
 * body. Returns the job, or NULL with the reason of the refusal in ERR.
 */
struct job *entry_progress_admit(struct board *board, struct request *request,
				 const struct ident *digest, struct error *err);

/* Replies to REQUEST with the answer of JOB as soon as the job has ended. If the job has not ended
 * within the wait time of the request, the reply is the state of the job. */
void entry_progress_reply_when_ended(struct board *board, struct request *request, struct job *job);

/* Handles the end of a task with a result. Takes ownership of DATA, which was allocated with
 * malloc. */
void entry_progress_task_done(struct board *board, struct handle sched_job, uint32_t task,
			      struct handle server, int64_t run_us, uint8_t *data, uint32_t length);
/* Handles a start that did not run: the task is queued again. */
void entry_progress_task_refused(struct board *board, struct handle sched_job, uint32_t task,
				 struct handle server);
/* Handles the failure of a started task: its job fails too. */
void entry_progress_task_failed(struct board *board, struct handle sched_job, uint32_t task,
				struct handle server, enum status status, const char *reason);

/* Cancels JOB on behalf of a client. A job that has already ended keeps its answer. */
void entry_progress_cancel(struct board *board, struct job *job);

/* Fails all active jobs. Their error has STATUS and REASON. */
void entry_progress_fail_all(struct board *board, enum status status, const char *reason);

/* Fails the jobs whose deadline has passed. */
void entry_progress_fail_overdue(struct board *board);

#endif
