/*
 * Jobs that one entry owns, from acceptance to the answer: the queue, the runs of their tasks at
 * backend servers, retries and refusals.
 *
 * A task has at most one run that is not settled. A further run is ordered only after the agent has
 * reported the end of the earlier one, or the time has passed after which none can exist. All state
 * is in memory: a job ends with its owner, and the agents stop its runs.
 */
#ifndef GG_DISPATCH_H
#define GG_DISPATCH_H

#include <glib.h>

#include "admission.h"
#include "fleet.h"
#include "runs.h"
#include "status.h"
#include "timer.h"

struct job_request {
	const char *id;
	const char *queue;   /* names the learned run time */
	const char *service; /* of the backend servers */
	GBytes *spec;	     /* a reference is taken */
	uint32_t step;
	uint32_t tasks;
	struct resources need; /* of each task */
	int64_t estimate_us;
	uint32_t priority; /* 0 first */
	uint32_t max_attempts;
	double stretch; /* the objective is stretch times the run time, and slack_us */
	int64_t slack_us;
	int64_t arrived_us;
	int64_t deadline_us;
	void *context; /* handed to the callback `job_finished` */
};

/* How a job ended. STATUS_OK: all tasks are done. STATUS_TASK_FAILED: a task failed as often as the
 * queue allows. Else the outcome tells whether any of it may have run. */
struct job_end {
	enum status status;
	enum outcome outcome;
	uint32_t retry_after_s; /* of refusals */
	const char *reason;
	int64_t expected_wait_us; /* of refusals */
	int64_t elapsed_us;
	int64_t objective_us;
	int64_t first_order_us; /* from arrival to the first and the last order; 0 without orders */
	int64_t last_order_us;
	uint32_t tasks;
	uint32_t runs; /* ordered in all */
};

/* One task to start. Runs of one job at one server follow each other. */
struct run_order {
	const char *job;
	GBytes *spec;
	uint32_t step;
	uint32_t index;
	uint32_t attempt;
	uint64_t run;
	struct resources need;
	int64_t estimate_us;
	uint32_t priority;
	int64_t start_within_us;  /* for which it may wait for room at the server */
	int64_t urgent_within_us; /* its place among those that wait: the least first */
};

struct dispatch_callbacks {
	void *context;
	/* Sends an order over LINK and returns its number, which rises. */
	uint64_t (*start_run)(void *context, void *link, const struct run_order *order);
	void (*stop_run)(void *context, void *link, uint64_t run);
	/* The job is over; called once for each submitted job. */
	void (*job_finished)(void *context, const char *id, void *job_context,
			     const struct job_end *end);
	/* A decision for the log. */
	void (*tasks_placed)(void *context, const char *id, uint32_t tasks, uint32_t waiting,
			     const char *servers, int64_t report_age_us);
	void (*run_ended)(void *context, const char *id, uint32_t index, uint32_t attempt,
			  const char *server, enum run_outcome outcome, int64_t elapsed_us);
};

struct dispatch_limits {
	uint32_t max_jobs;
	int64_t settle_timeout_us; /* after this, no run of a server whose agent is out of reach
				      exists */
};

struct dispatch {
	struct dispatch_limits limits;
	struct dispatch_callbacks callbacks;
	struct fleet fleet;
	struct table jobs;
	struct table runs;
	GHashTable *by_id;			 /* char * -> handle in a pointer */
	GPtrArray *queue;			 /* handles of jobs with tasks to start, packed */
	GHashTable *runtimes;			 /* name -> struct runtime */
	double peer_backlog_core_us[PRIORITIES]; /* queued work at the other entries */
	uint64_t seed;
	bool dirty;		  /* something changed that may let a queued task start */
	int64_t startup_until_us; /* before this, agents are still expected to connect */
};

void dispatch_init(struct dispatch *dispatch, const struct dispatch_limits *limits,
		   const struct dispatch_callbacks *callbacks, uint64_t seed);
void dispatch_free(struct dispatch *dispatch);

/*
 * Takes a job. It may be refused or finished within the call. An unfinished job of the same id
 * loses its client to this one, and is stopped before any task of the new one starts.
 */
void dispatch_submit(struct dispatch *dispatch, const struct job_request *request, int64_t now_us);

/* Returns how long the longest task of a job is expected to run on a typical server. */
int64_t dispatch_expected_run_us(struct dispatch *dispatch, const char *queue, int64_t estimate_us,
				 uint32_t tasks);

/* Ends the job because of STATUS (STATUS_CANCELLED when its client has left). The callback
 * `job_finished` is called. Returns false when the job is not known. */
bool dispatch_end_job(struct dispatch *dispatch, const char *id, enum status status,
		      const char *reason, int64_t now_us);

/* Backend servers. The handle stays valid until dispatch_server_remove. */
struct handle dispatch_server_add(struct dispatch *dispatch, void *link);
void dispatch_server_report(struct dispatch *dispatch, struct handle server,
			    const struct fleet_report *report, int64_t now_us);

/* The agent is out of reach. It may come back with its runs, until settle_timeout_us has passed. */
void dispatch_server_disconnected(struct dispatch *dispatch, struct handle server, int64_t now_us);

/*
 * The same agent process is back, and has kept this entry's runs and ends all the while: RUNS,
 * COUNT of them, are those it still knows. Ends that it kept are reported before. An agent that has
 * given the entry up meanwhile is added as a new server; the former one is settled once it has
 * stopped its runs.
 */
void dispatch_server_reconnected(struct dispatch *dispatch, struct handle server, void *link,
				 const uint64_t *runs, size_t count, int64_t now_us);

/* No run of this entry at this server exists any more: its agent has settled what it had given up,
 * or a new agent process what it found. */
void dispatch_server_settled(struct dispatch *dispatch, struct handle server, int64_t now_us);

/* Returns whether run NUMBER is known and was ordered at SERVER. */
bool dispatch_run_is_on(const struct dispatch *dispatch, uint64_t number, struct handle server);

/* A run has ended, or was not started. */
void dispatch_run_ended(struct dispatch *dispatch, uint64_t run, enum run_outcome outcome,
			int64_t elapsed_us, int64_t now_us);

/* A run is far behind its estimate. */
void dispatch_run_behind_estimate(struct dispatch *dispatch, uint64_t run, uint32_t percent,
				  int64_t elapsed_us, int64_t now_us);

/* Queued work at the other entries by priority, in core-microseconds. */
void dispatch_set_peer_backlog(struct dispatch *dispatch, const double core_us[PRIORITIES]);

/* Starts what can start and refuses what cannot be in time any more. Call once a turn. */
void dispatch_pump(struct dispatch *dispatch, int64_t now_us);

/* Enforces deadlines and settles servers out of reach. Call every few milliseconds. */
void dispatch_tick(struct dispatch *dispatch, int64_t now_us);

/* After a freeze of this process: its runs are being stopped by the agents, and its clients may
 * have gone elsewhere. Ends all jobs with outcome unknown. */
void dispatch_abort_all(struct dispatch *dispatch, int64_t now_us);

/* Returns the number of queued jobs of QUEUE of which no task has started. */
uint32_t dispatch_pending_jobs(const struct dispatch *dispatch, const char *queue);

/* Adds to COUNTS the number of such jobs of each queue: name (borrowed) -> count in a pointer. */
void dispatch_count_pending_by_queue(const struct dispatch *dispatch, GHashTable *counts);

/* Returns whether a job of this ID is known and unfinished; *STARTED tells whether a task has been
 * started. */
bool dispatch_job_unfinished(const struct dispatch *dispatch, const char *id, bool *started);

/* Sums the work that is queued and not started by priority, in core-microseconds. */
void dispatch_backlog(const struct dispatch *dispatch, double core_us[PRIORITIES]);

/* Returns the number of unfinished jobs. */
uint32_t dispatch_job_count(const struct dispatch *dispatch);

#endif
