/*
 * Dispatcher of the jobs that one entry owns, from acceptance to the answer: queueing, runs of
 * their tasks at backend servers, retries and refusals.
 *
 * A run is one attempt to execute a task at a backend server. It is started by an order to the
 * server's agent. A run is settled once the agent has reported its end, or a later process of the
 * agent has found nothing of it at the server. Time proves nothing: a server whose host is
 * suspended goes on with its runs and their leases when it wakes up. A task has at most one
 * unsettled run at a time: the next run is ordered only after the previous one is settled. All
 * state is in memory: if the owning entry dies, its jobs are lost and the agents stop their runs.
 */
#ifndef GG_DISPATCH_H
#define GG_DISPATCH_H

#include <glib.h>

#include "admission.h"
#include "bulkhead.h"
#include "crash_history.h"
#include "fleet.h"
#include "policy.h"
#include "runs.h"
#include "status.h"
#include "task_holds.h"
#include "timer.h"

/* A job as submitted by a client. */
struct job_request {
	const char *id;
	const char *queue;   /* run times are learned per queue */
	const char *service; /* the job runs on backend servers of this service */
	GBytes *spec;	     /* a reference is taken */
	uint32_t step;	     /* step of the job; part of the task names */
	uint32_t tasks;
	struct resources need; /* resources that each task needs */
	int64_t estimate_us;   /* declared run time of a task */
	uint32_t priority;     /* 0 is the highest */
	uint32_t max_attempts;
	double stretch; /* the objective is stretch times the run time, plus slack_us */
	int64_t slack_us;
	int64_t arrived_us;
	int64_t deadline_us;
	void *context; /* passed to the callback `job_finished` */
};

/* How a job ended. STATUS_OK: all tasks are done. STATUS_TASK_FAILED: a task failed as often as the
 * queue allows, or was given up because servers crashed under it. With any other status, `outcome`
 * tells whether a task of the job may have run. */
struct job_end {
	enum status status;
	enum outcome outcome;
	uint32_t retry_after_s;	  /* delay before the client should retry a refused job */
	const char *reason;	  /* text for the client and the log */
	int64_t expected_wait_us; /* expected wait for the start of a refused job */
	int64_t elapsed_us;	  /* time from the arrival to the end */
	int64_t objective_us;	  /* time after the arrival by which the job should end */
	int64_t first_order_us;	  /* times from the arrival to the first and to the last order; 0
				     without orders */
	int64_t last_order_us;
	uint32_t tasks;
	uint32_t runs; /* total number of runs ordered */
	/* The task that was given up because servers crashed under it, or NULL. */
	const struct crash_record *crashed_task;
};

/* Order to start one run of a task. Orders for one job at one server are issued consecutively. */
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
	int64_t start_within_us;  /* how long the run may wait for room at the server */
	int64_t urgent_within_us; /* sort key relative to now, may be negative; of the runs waiting
				     at a server, the one with the lowest key starts first */
};

struct dispatch_callbacks {
	void *context;
	/* Sends an order over LINK. Returns the number of the order; the numbers on one connection
	 * increase. */
	uint64_t (*start_run)(void *context, void *link, const struct run_order *order);
	/* Asks the agent to stop a run. */
	void (*stop_run)(void *context, void *link, uint64_t run);
	/* Reports the end of a job. Called once for each submitted job. */
	void (*job_finished)(void *context, const char *id, void *job_context,
			     const struct job_end *end);
	/* Reports that tasks of a job were sent to SERVERS and how many remain queued. Only for the
	 * log. REPORT_AGE_US is the age of the oldest server report used. */
	void (*tasks_placed)(void *context, const char *id, uint32_t tasks, uint32_t queued,
			     const char *servers, int64_t report_age_us);
	/* Reports the end of a run. Only for the log. */
	void (*run_ended)(void *context, const char *id, uint32_t index, uint32_t attempt,
			  const char *server, enum run_outcome outcome, int64_t elapsed_us);
};

struct dispatch_limits {
	uint32_t max_jobs;
	/* An agent that runs has settled the runs of an entry that it has lost after this time. */
	int64_t settle_timeout_us;
	/* The same, or it has told that it holds them. */
	int64_t hold_timeout_us;
	/* When the agent of a server has been disconnected for this long, its host counts as
	 * removed for good, and the runs at the server as over. */
	int64_t host_return_us;
	/* After a start or a freeze of this process, jobs may wait this long for agents to connect.
	 */
	int64_t connect_time_us;
	/* How long the crashes under a task count, also when its job is submitted again. */
	int64_t crash_retention_us;
	uint32_t max_crashed_tasks; /* for which crashes are remembered */
};

struct dispatch {
	struct dispatch_limits limits;
	struct dispatch_callbacks callbacks;
	struct policy policy;	     /* as policy_init leaves it */
	char local_zone[NAME_BYTES]; /* zone whose servers are preferred; empty: none */
	uint32_t local_zone_servers; /* see struct placement_request */
	struct fleet fleet;
	struct table jobs;
	struct table runs;
	GHashTable *by_id;	 /* job id -> packed handle */
	GPtrArray *queue;	 /* packed handles of jobs with tasks to start */
	GHashTable *queue_stats; /* queue name -> struct queue_stats */
	struct crash_history crashes;
	struct bulkhead bulkhead;
	struct task_holds holds; /* tasks that are not started; see dispatch_holds_changed */
	double peer_backlog_core_us[PRIORITY_LEVELS]; /* queued work of the other entries */
	uint64_t random_state;			      /* state of the random number generator */
	bool pump_needed;			      /* a queued task may now be able to start */
	int64_t connecting_until_us;	/* agents may still be connecting before this time */
	int64_t late_requests_until_us; /* see dispatch_expect_late_requests */
	int64_t holds_awaited_until_us; /* see dispatch_await_holds */
	int64_t drain_end_us;		/* all jobs end by this time; see dispatch_drain */
	bool cut_off;			/* new jobs are refused; see dispatch_set_cut_off */
};

void dispatch_init(struct dispatch *dispatch, const struct dispatch_limits *limits,
		   const struct dispatch_callbacks *callbacks, uint64_t seed);
void dispatch_free(struct dispatch *dispatch);

/*
 * Submits a job. It may be refused or finished within the call. An unfinished job of the same id is
 * cancelled, and no task of the new job starts before all runs of the earlier one are settled.
 */
void dispatch_submit(struct dispatch *dispatch, const struct job_request *request, int64_t now_us);

/* Ends the job with STATUS (STATUS_CANCELLED when its client has disconnected) and calls the
 * callback `job_finished`. Returns false when the job is unknown or already finished. */
bool dispatch_end_job(struct dispatch *dispatch, const char *id, enum status status,
		      const char *reason, int64_t now_us);

/* Adds a backend server whose agent is reached over LINK. The handle stays valid until the server
 * is settled, or is disconnected and has no runs left. */
struct handle dispatch_server_add(struct dispatch *dispatch, void *link);

/* Applies an agent's report on its backend server. */
void dispatch_server_report(struct dispatch *dispatch, struct handle server,
			    const struct fleet_report *report, int64_t now_us);

/* Records whether the zone of SERVER is EVACUATED. Tasks that wait for room at the server come back
 * by its agent. */
void dispatch_server_evacuated(struct dispatch *dispatch, struct handle server, bool evacuated);

/* Marks a server whose agent has disconnected from this entry. Its runs are kept until the agent or
 * a later process of it has told of them, or host_return_us has passed. A server without runs is
 * removed at once. */
void dispatch_server_disconnected(struct dispatch *dispatch, struct handle server, int64_t now_us);

/*
 * Restores the connection to an agent process that has kept the runs of this entry and their
 * results. RUNS holds the numbers of the COUNT runs that the agent still knows. The caller must
 * first report the ends of the runs whose results the agent has kept. If the agent has dropped this
 * entry in the meantime, the caller must instead add the server with dispatch_server_add and call
 * dispatch_server_settled for the old handle once the agent has stopped the runs there.
 */
void dispatch_server_reconnected(struct dispatch *dispatch, struct handle server, void *link,
				 const uint64_t *runs, size_t count, int64_t now_us);

/* Removes a server and reports its remaining runs as lost. Call when no run of this entry exists
 * there any more: either the agent dropped this entry and has settled its runs, or a new agent
 * process has settled the runs that it found at the server. */
void dispatch_server_settled(struct dispatch *dispatch, struct handle server, int64_t now_us);

/* Calls VISIT for each task with an unsettled run at SERVER that was requested to stop at
 * STOP_SINCE_US or before; all of them if that is INT64_MAX. START tells whether its start may not
 * have been answered, and may be carried out late. */
void dispatch_foreach_unsettled(const struct dispatch *dispatch, struct handle server,
				int64_t stop_since_us,
				void (*visit)(void *context, const char *job, uint32_t step,
					      uint32_t index, bool start),
				void *context);

/* Returns whether any unsettled run was requested to stop at SINCE_US or before. */
bool dispatch_has_overdue_stops(const struct dispatch *dispatch, int64_t since_us);

/* Returns whether run NUMBER is known and was ordered at SERVER. */
bool dispatch_run_is_on(const struct dispatch *dispatch, uint64_t number, struct handle server);

/* Handles the end of a run, or an order that was not carried out. Unknown runs are ignored. */
void dispatch_run_ended(struct dispatch *dispatch, uint64_t run, enum run_outcome outcome,
			int64_t elapsed_us, int64_t now_us);

/* Handles a run that is far behind its estimate: stops it if it should be restarted on another
 * server, and ends the job if its deadline cannot be met. PERCENT is the share of work done. */
void dispatch_run_behind_estimate(struct dispatch *dispatch, uint64_t run, uint32_t percent,
				  int64_t elapsed_us, int64_t now_us);

/* Separates QUEUE from the others, because another entry has reported that its tasks crash servers
 * (bulkhead.h) and that its share of the work is SHARE. A queue without jobs so far is ignored. */
void dispatch_suspect_reported(struct dispatch *dispatch, const char *queue, double share,
			       int64_t now_us);

/* Sets the queued work of the other entries by priority, in core-microseconds. */
void dispatch_set_peer_backlog(struct dispatch *dispatch, const double core_us[PRIORITY_LEVELS]);

/* Records that tasks were held or released. */
void dispatch_holds_changed(struct dispatch *dispatch);

/* Starts no tasks before UNTIL_US, unless dispatch_holds_known is called before. Call when this
 * process may not know which tasks other entries hold, as after its start. */
void dispatch_await_holds(struct dispatch *dispatch, int64_t until_us);
void dispatch_holds_known(struct dispatch *dispatch);

/* Starts the queued tasks that can start and refuses the jobs that can no longer be in time. Call
 * once per iteration of the event loop. */
void dispatch_pump(struct dispatch *dispatch, int64_t now_us);

/* Enforces deadlines, refuses jobs that wait for hosts which are not heard, and settles servers
 * whose hosts count as removed. Call every few milliseconds. */
void dispatch_tick(struct dispatch *dispatch, int64_t now_us);

/* Lets jobs wait for agents that are about to connect. Call after the start of this process, and
 * after it has closed or lost the links to all agents. */
void dispatch_await_agents(struct dispatch *dispatch, int64_t now_us);

/* Refuses new jobs at once while CUT_OFF is set. */
void dispatch_set_cut_off(struct dispatch *dispatch, bool cut_off);

/* Lets jobs that arrive before UNTIL_US wait for 20 ms before their tasks start, so that it is seen
 * first if their clients have left while this process was cut off. */
void dispatch_expect_late_requests(struct dispatch *dispatch, int64_t until_us);

/* Ends all jobs with outcome unknown, because of REASON. Call after this process was frozen or cut
 * off: the agents are stopping its runs, and its clients may have sent their jobs to other entries.
 */
void dispatch_abort_all(struct dispatch *dispatch, const char *reason, int64_t now_us);

/*
 * Prepares the end of this process at END_US. From now on, jobs that are not expected to end by
 * then are refused on arrival. The jobs that are unfinished at that time, and all that arrive
 * later, end with STATUS_DRAINING. An outcome is reported as "not run" only where that is certain,
 * and the runs of these jobs are stopped. A later call can only bring the end forward.
 */
void dispatch_drain(struct dispatch *dispatch, int64_t end_us, int64_t now_us);

/* Returns whether a run was asked to stop at a connected agent that has not reported its end. */
bool dispatch_has_stopping_runs(const struct dispatch *dispatch);

/* Returns the number of queued jobs of QUEUE that have not started any task. */
uint32_t dispatch_pending_jobs(const struct dispatch *dispatch, const char *queue);

/* Adds the number of queued jobs that have not started any task to COUNTS, which maps the name
 * of a queue (borrowed) to the count, stored in the pointer. */
void dispatch_count_pending_by_queue(const struct dispatch *dispatch, GHashTable *counts);

/* Returns whether a job of this ID is known and unfinished. If so, *STARTED tells whether a task
 * may have been started. */
bool dispatch_job_unfinished(const struct dispatch *dispatch, const char *id, bool *started);

/* Stores the work of the queued tasks by priority in CORE_US, in core-microseconds. */
void dispatch_backlog(const struct dispatch *dispatch, double core_us[PRIORITY_LEVELS]);

/* Returns the number of unfinished jobs. */
uint32_t dispatch_job_count(const struct dispatch *dispatch);

#endif
