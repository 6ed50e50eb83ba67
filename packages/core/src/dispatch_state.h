/* Rows of the dispatcher's tables, shared by its modules. */
#ifndef GG_DISPATCH_STATE_H
#define GG_DISPATCH_STATE_H

#include "dispatch.h"
#include "runtime.h"

enum task_phase {
	TASK_QUEUED,
	TASK_SENT,
	TASK_DONE,
};

struct job_task {
	enum task_phase phase;
	uint32_t attempt; /* of the last order */
	uint32_t failures;
	uint32_t moves; /* away from slow servers */
	struct handle run;
};

struct job {
	struct handle handle;
	char *id;
	char *queue;
	char *service;
	GBytes *spec;
	uint32_t step;
	struct resources need;
	int64_t estimate_us;
	int64_t task_us;	  /* expected run time of a task on a typical server */
	int64_t longest_task_us;  /* of the longest task */
	int64_t objective_at_us;  /* when the job should have ended */
	int64_t planned_end_us;	  /* when it is planned to end, before the target */
	int64_t useless_after_us; /* when an answer has become worthless */
	int64_t arrived_us;
	int64_t deadline_us;
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t task_count;
	uint32_t queued;
	uint32_t done;
	uint32_t outstanding; /* runs not settled */
	uint32_t order_count;
	int64_t first_order_us; /* time of it; 0 before */
	int64_t last_order_us;
	int64_t may_wait_from_us; /* from then on its tasks may wait at full servers */
	bool may_have_run;
	bool finished; /* answered; the row stays until its runs are settled */
	bool in_queue;
	struct handle avoid_server; /* server of the last failed run */
	struct handle predecessor;  /* earlier job of the same id with unsettled runs */
	void *context;
	struct job_task tasks[];
};

struct run_row {
	struct handle job;
	uint32_t index;
	struct handle server;
	bool stop_requested;
	bool restart_elsewhere; /* stopped to run elsewhere */
};

/* Run times are learned for each queue. */
struct runtime *dispatch_runtime(struct dispatch *dispatch, const char *queue);

struct job *dispatch_find(const struct dispatch *dispatch, struct handle job);

/* Returns when the job must have started to be in time on the fastest server. */
int64_t dispatch_latest_start_us(const struct job *job, double fastest);

static inline gpointer dispatch_pack(struct handle handle)
{
	return GSIZE_TO_POINTER((gsize)handle_pack(handle));
}

static inline struct handle dispatch_unpack(gpointer value)
{
	return handle_unpack(GPOINTER_TO_SIZE(value));
}

void dispatch_enqueue(struct dispatch *dispatch, struct job *job);
void dispatch_dequeue(struct dispatch *dispatch, struct job *job);

/* Answers JOB and stops its runs. The row goes once they are settled. */
void dispatch_finish(struct dispatch *dispatch, struct job *job, struct job_end *end,
		     int64_t now_us);

#endif
