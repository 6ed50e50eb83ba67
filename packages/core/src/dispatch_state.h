/* Internal types and functions shared by the source files of the dispatcher. */
#ifndef GG_DISPATCH_STATE_H
#define GG_DISPATCH_STATE_H

#include "core_defs.h"
#include "dispatch.h"
#include "run_time_model.h"
#include "shedding.h"

enum task_phase {
	TASK_QUEUED,
	TASK_SENT, /* a run was ordered and is not settled */
	TASK_DONE,
};

struct job_task {
	enum task_phase phase;
	uint32_t attempt; /* number of the last attempt */
	uint32_t failures;
	uint32_t losses; /* runs that ended as RUN_LOST or RUN_CRASHED */
	uint32_t moves;	 /* restarts elsewhere that were requested because the server was slow */
	struct handle run;
};

/* What the dispatcher has observed of the jobs of one queue. */
struct queue_stats {
	struct run_time_model run_times;
	char *service; /* of the last job */
	/* Submitted work in core-microseconds, which decays; see DEMAND_DECAY_US. */
	double demand_core_us;
	int64_t demand_us;  /* time of that value */
	uint32_t partition; /* of the servers of its service; set in each pump */
	/* Share of its slack that the longest waiting job of the queue has used; see
	 * admission_must_shed. Computed anew in each pump. */
	double oldest_wait_share;
	struct shedding_kind kind; /* its decaying members as of kind_us */
	int64_t kind_us;
};

struct job {
	struct handle handle;
	char *id;
	char *queue;
	struct queue_stats *stats; /* of the queue */
	char *service;
	GBytes *spec;
	uint32_t step;
	struct resources need;
	int64_t estimate_us;
	int64_t task_us;	  /* expected run time of a task on a typical server */
	int64_t longest_task_us;  /* expected run time of the longest of the tasks */
	int64_t objective_at_us;  /* time by which the job should end */
	int64_t planned_end_us;	  /* time by which the job is planned to end; see planned_share */
	int64_t useless_after_us; /* an answer is useless after this time; see USELESS_FACTOR */
	int64_t arrived_us;
	int64_t deadline_us;
	uint32_t priority;
	uint32_t max_attempts;
	uint32_t task_count;
	uint32_t queued_tasks;
	uint32_t done_tasks;
	uint32_t unsettled_runs;
	uint32_t order_count;
	int64_t first_order_us; /* time of the first order; 0 before it */
	int64_t last_order_us;
	int64_t start_from_us;	  /* no task starts before this time */
	int64_t may_wait_from_us; /* tasks may wait at full servers from this time on */
	bool may_have_run;
	bool finished; /* the client was answered; the job is kept until its runs are settled */
	bool in_queue;
	bool admitted;		    /* was left in the queue by a pump, to wait for room */
	bool held;		    /* a queued task was held in the last pump */
	struct handle avoid_server; /* server at which a run last failed, was refused as unhealthy
				       or was too slow */
	struct handle predecessor;  /* earlier job of the same id that has unsettled runs */
	void *context;
	struct job_task tasks[];
};

struct run_row {
	struct handle job;
	uint32_t index;
	struct handle server;
	uint64_t order;		   /* its number on the present connection; 0: on an earlier one */
	int64_t stop_requested_us; /* 0: it is not to stop */
	bool restart_elsewhere;	   /* stopped because another server is expected to be faster */
};

/* Returns the record of a queue, which is created on first use and kept until dispatch_free. */
struct queue_stats *dispatch_queue_stats(struct dispatch *dispatch, const char *queue);

/* Returns a job, or NULL when it is no longer known. */
struct job *dispatch_find(const struct dispatch *dispatch, struct handle job);

/* Returns the latest time at which JOB can start and still reach its planned end if its longest
 * task runs on the fastest server, whose speed is FASTEST. */
int64_t dispatch_latest_start_us(const struct job *job, double fastest);

/* Returns what was observed of the jobs of a queue, as of NOW_US. */
struct shedding_kind *dispatch_kind(struct queue_stats *stats, int64_t now_us);

/* Returns the expected work of a task of JOB, in core-microseconds. */
static inline double dispatch_task_core_us(const struct job *job)
{
	return (double)job->need.cpu / CPU_PER_CORE * (double)job->task_us;
}

/* Packs a handle into a pointer for GLib containers. */
static inline gpointer dispatch_pack(struct handle handle)
{
	return GSIZE_TO_POINTER((gsize)handle_pack(handle));
}

static inline struct handle dispatch_unpack(gpointer value)
{
	return handle_unpack(GPOINTER_TO_SIZE(value));
}

/* Adds JOB to the queue if it is not there, and requests a pump. */
void dispatch_enqueue(struct dispatch *dispatch, struct job *job);

/* Removes JOB from the queue if it is there. */
void dispatch_dequeue(struct dispatch *dispatch, struct job *job);

/* Reports the end of JOB and stops its runs. JOB is freed once they are settled. */
void dispatch_finish(struct dispatch *dispatch, struct job *job, struct job_end *end,
		     int64_t now_us);

#endif
