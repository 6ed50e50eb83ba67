/*
 * The agent's table of the runs of tasks at its backend server. It tracks reserved resources,
 * unanswered orders and runs whose owner is gone, and is reconciled with the server's lists.
 *
 * A run is removed only when it is certainly not running: its start was refused or never sent, the
 * server listed its end, the server restarted after it had confirmed the run, every lease that was
 * sent has expired, or the server acknowledged a stop and a later list does not contain the run.
 *
 * A call that gets no answer may be carried out seconds later, and its lease then counts from that
 * time. So neither the expiry in a start nor the end of the last lease proves that an unanswered
 * call can do no more. A higher epoch does: the server does nothing for a call whose epoch is lower
 * than the highest that it has seen. The epoch is raised when a call that carries a lease gets no
 * answer, and a list that was requested with the higher one shows all that earlier calls will ever
 * have done. Without such a list, they count as void only after the longest transit.
 */
#ifndef GG_RUNS_H
#define GG_RUNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core_defs.h"
#include "health.h"
#include "table.h"

/* How a run ended, or why it was not started. The values are sent over the wire, but for
 * RUN_CRASHED, which is sent as RUN_LOST with a mark. */
enum run_outcome {
	RUN_DONE = 1,
	RUN_FAILED = 2,	 /* the task or the server failed */
	RUN_STOPPED = 3, /* its owner requested the stop */
	RUN_EXPIRED = 4, /* its lease expired */
	RUN_LOST = 5,	 /* the server is gone; it may have had the run */
	/* No free resources or queue space, or the server is on trial and has a run already. */
	RUN_NO_RESOURCES = 6,
	RUN_SERVER_UNAVAILABLE = 7, /* the server is absent, leaving or quarantined */
	RUN_SUPERSEDED = 8,	    /* the server has seen this attempt or a later one */
	/* The server was overloaded or unavailable, or another instance answered in its place. */
	RUN_UNHEALTHY = 9,
	RUN_LATE = 10,	     /* its time limit for the start had passed */
	RUN_INVALID = 11,    /* the server rejected the order as invalid */
	RUN_UNANSWERED = 12, /* not sent, or not answered and certainly not executed */
	RUN_BUSY = 13,	     /* an earlier run of the same task may still exist */
	RUN_WITHDRAWN = 14,  /* stopped by its owner while it was queued */
	RUN_CRASHED = 15,    /* the server crashed while it had the run */
	RUN_OUTCOME_COUNT
};

/* Returns the stable name of OUTCOME for logs, or "unknown" for another value. */
const char *run_outcome_name(enum run_outcome outcome);

/* Resources that a task requires or that a backend server has. */
struct resources {
	uint32_t cpu; /* thousandths of a core */
	uint32_t memory_mb;
	uint32_t gpus;
};

static inline bool resources_fit(const struct resources *need, const struct resources *available)
{
	return need->cpu <= available->cpu && need->memory_mb <= available->memory_mb &&
	       need->gpus <= available->gpus;
}

static inline bool resources_equal(const struct resources *a, const struct resources *b)
{
	return a->cpu == b->cpu && a->memory_mb == b->memory_mb && a->gpus == b->gpus;
}

enum run_phase {
	RUN_PHASE_WAITING,     /* queued for resources; nothing was sent */
	RUN_PHASE_ORDERED,     /* the start was sent */
	RUN_PHASE_ACTIVE,      /* the server confirmed the start */
	RUN_PHASE_UNCONFIRMED, /* the start was not answered; a list is awaited */
	RUN_PHASE_STOPPING,    /* a stop was sent */
	RUN_PHASE_STOP_ACKED,  /* the stop was acknowledged; a later list is awaited */
};

enum {
	RUN_NO_OWNER = 0,
	RUNS_TRANSIT_MAX_US = 15000000, /* a call without an answer is carried out by then */
	/* Time after an evacuation in which the offered resources grow. */
	RUNS_RETURN_US = 1000000,
};

struct run {
	char *task;
	uint32_t attempt;
	uint32_t owner; /* number of the entry, or RUN_NO_OWNER, in which case the end of the run is
			   not reported */
	uint64_t number; /* number of the run, assigned by its owner */
	uint64_t order;	 /* number of its order on the owner's connection; 0: on an earlier one */
	struct resources need;
	int64_t estimate_us;
	GBytes *spec; /* NULL after runs_start_answered */
	enum run_phase phase;
	bool confirmed; /* the server has said that it runs */
	int64_t confirmed_us;
	bool missed;	     /* a list was without it after the server had confirmed it */
	bool stop_requested; /* the owner has requested a stop or is gone */
	int64_t stop_requested_us;
	int64_t stop_by_us;  /* no lease is sent after this time while the run may go on; 0: none */
	bool stop_overdue;   /* reported as such */
	bool held;	     /* no entry may start its task */
	bool held_for_start; /* held only because its start was not answered */
	bool given_up;	     /* its end was reported when its server was suspected */
	bool unknown;	     /* this agent did not order it and does not know its needs */
	uint32_t priority;   /* 0 is the highest */
	int64_t urgency_us;  /* of the waiting runs that fit, the one with the lowest value starts
				first */
	int64_t start_by_us; /* a run that still waits after this time is refused */
	int64_t ordered_us;
	int64_t phase_us; /* time at which the phase began */
	int64_t epoch;	  /* that the start was sent with */
	/* If the start got no answer, or the process that it was sent to has been replaced, and no
	 * process has confirmed the run since: time after which the start is not in transit any
	 * more. Otherwise 0. */
	int64_t settle_by_us;
	bool process_replaced; /* since the start was sent */
	int64_t stop_sent_us;
	uint32_t stop_retries;
	int64_t behind_reported_us; /* time at which the run was last found behind */
	uint32_t percent;	    /* work done in percent, from the last list */
};

/* The answer to a start. Refusals have the meaning of the run_outcome of the same name. */
enum start_answer {
	START_STARTED,
	START_NO_RESOURCES,
	START_SUPERSEDED,
	START_LATE,
	START_UNHEALTHY,
	START_INVALID,
	START_NOT_SENT,	  /* there was no connection; the order was not sent */
	START_STALE,	  /* the server has seen a higher epoch and has done nothing */
	START_UNANSWERED, /* the order may have been executed or may still be executed */
};

/* A row of a backend server's lists of running and finished runs. */
struct run_list_row {
	const char *task;
	uint32_t attempt;
	uint32_t percent;	  /* work done; running rows only */
	uint32_t cpu;		  /* thousandths of a core in use; running rows only */
	uint64_t number;	  /* sequence number of the end; finished rows only */
	enum run_outcome outcome; /* finished rows only */
};

/* The lists of a backend server at one moment. */
struct run_lists {
	const struct run_list_row *running;
	size_t running_count;
	const struct run_list_row *finished;
	size_t finished_count;
};

/* How a call with a lease has ended. */
enum lease_end {
	LEASE_ANSWERED,	       /* or certainly not sent */
	LEASE_UNANSWERED,      /* in time */
	LEASE_CONNECTION_LOST, /* before an answer */
};

struct runs_limits {
	int64_t stop_retry_us; /* delay before an unanswered stop is repeated; doubles up to 16-fold
				*/
	int64_t stop_wait_us;  /* time in which the run that its owner requests to stop should end;
				  later, it is overdue and no lease is sent */
	int64_t lease_us;
	uint32_t clock_drift_permille; /* how much slower the server's monotonic clock may run */
	struct health_limits health;
	uint32_t waiting_permille; /* limit of waiting cpu, relative to the total cpu */
	int64_t trial_us; /* a slow server gets a trial run when its last speed sample is older than
			     this */
};

struct runs_callbacks {
	void *context;
	/* Sends the start of RUN to the server. The answer is passed to runs_start_answered. */
	void (*order_start)(void *context, struct handle run);
	/* Sends a stop to the server. The answer is passed to runs_stop_answered. RUN is a zero
	 * handle for an attempt that is not in the table. */
	void (*order_stop)(void *context, const char *task, uint32_t attempt, struct handle run);
	/* Requests the lists without waiting for a run to end. */
	void (*request_lists)(void *context);
	void (*run_ended)(void *context, const struct run *run, enum run_outcome outcome,
			  int64_t elapsed_us);
	/* Reports once that RUN has not ended WAITED_US after the request to stop it. */
	void (*stop_overdue)(void *context, const struct run *run, int64_t waited_us);
	/* Reports that RUN may go on although it should not, so that its task is held. */
	void (*run_held)(void *context, const struct run *run, int64_t waited_us);
	/* Reports that RUN is much slower than its estimate. */
	void (*run_behind)(void *context, const struct run *run, int64_t elapsed_us);
};

struct runs {
	struct runs_limits limits;
	struct runs_callbacks callbacks;
	struct table table;
	GHashTable *by_task; /* task name -> packed handle */
	GHashTable *ended;   /* task name -> its last run that has ended here lately */
	GQueue ended_order;  /* the same, oldest first */
	struct resources total_resources;
	struct resources used_resources;
	uint32_t waiting_cpu[PRIORITY_LEVELS]; /* cpu of waiting runs, by priority */
	bool server_present; /* the server has announced itself and answers requests */
	bool server_leaving;
	bool evacuated;		     /* no start is accepted; see runs_set_evacuated */
	int64_t returned_us;	     /* when that ended; 0 if it never began */
	uint32_t return_cpu;	     /* offered at that time */
	bool suspected;		     /* the server's process may have ended */
	int64_t lists_us;	     /* when lists of the current process were last applied */
	uint64_t last_processed_end; /* highest sequence number of a processed end */
	int64_t epoch; /* sent with each call; the server does nothing for a call with a lower one
			  than the highest that it has seen */
	int64_t latest_lease_expiry_us; /* no run continues after this without a new lease, if all
					   calls with leases were answered */
	uint32_t pending_leases;	/* calls with a lease that wait for their answers */
	int64_t unanswered_epoch;    /* highest of the calls with a lease that got no answer and may
					still be carried out; 0: none */
	bool unanswered_silently;    /* one of these is a start, or its connection stayed open */
	int64_t unanswered_since_us; /* when the first of these was sent */
	int64_t unanswered_us;	     /* when the last of these was sent */
	int64_t answered_epoch;	 /* highest of the lists of the server's present process; 0: none */
	int64_t stop_by_us;	 /* the earliest of all runs, or INT64_MAX */
	uint32_t ownerless_runs; /* runs whose owner is gone or that this agent did not order */
	uint32_t unknown_runs;	 /* runs that this agent did not order */
	/* Whether the latest list has a run that this agent did not order, beside another attempt
	 * of its task in the table. */
	bool other_attempt_listed;
	int64_t other_attempt_asked_us; /* when that list was requested */
	uint64_t holds_version; /* incremented when the set of held runs changes; from 1 on */
	struct health health;
	char *last_failed_task; /* task whose failure was the last to count against the server's
				   health */
	double speed;		/* estimated / measured run time, EWMA; 1 while unknown */
	double baseline_speed;	/* the same ratio, leaving out samples of slow periods */
	uint32_t samples;
	int64_t sampled_us; /* time of the last sample */
	double run_us;	    /* mean run time, EWMA; 0 while unknown */
};

void runs_init(struct runs *runs, const struct runs_limits *limits,
	       const struct runs_callbacks *callbacks);
void runs_free(struct runs *runs);

/* Records that the server announced itself with TOTAL resources or changed its state. A LEAVING
 * server accepts no new runs. */
void runs_server_present(struct runs *runs, const struct resources *total, bool leaving);

/*
 * Records whether the zone of the server is EVACUATED. While it is, no start is sent and those that
 * wait are refused. Runs that were started go on.
 *
 * When the zone is taken back, all its servers are empty, and may be slow as they have just been
 * idle or started, while other servers may be overloaded and their work queued. If that all went to
 * them at once, it would wait behind the slowest of them. So the offered resources grow to the
 * total over RUNS_RETURN_US.
 */
void runs_set_evacuated(struct runs *runs, bool evacuated, int64_t now_us);

/* Returns whether the offered resources grow after an evacuation. */
bool runs_is_returning(const struct runs *runs, int64_t now_us);

/* Records that the server's process may have ended: connections are refused. Until lists arrive or
 * another process answers, no lease is sent and no run accepted. Runs that were still waiting here
 * end as RUN_SERVER_UNAVAILABLE. Those that the server has confirmed and that are not being stopped
 * are reported as crashed (RUN_CRASHED), or as RUN_LOST if it had announced to leave, but may go
 * on: they are kept without an owner and held, until it is certain that they are over. If the same
 * process answers again, they are stopped. A start that no process has confirmed may still reach
 * the next one. Such a run is settled with it: by the answer, through the lists, or through a stop.
 */
void runs_server_suspected(struct runs *runs, int64_t now_us);

/* Records that this process has not run for GAP_US by its own clock. The server may have stood
 * still as well, so that nothing has expired there meanwhile. Call it before runs_tick. */
void runs_paused(struct runs *runs, int64_t gap_us);

/* Records that another process of the server has answered. The runs of the old one are over, with
 * the outcomes that runs_server_suspected describes; those that were being stopped end as RUN_LOST.
 * The new process may be the one that has confirmed a start since the last lists of the old one, so
 * such a run is settled with it, as a start that no process has confirmed. */
void runs_server_replaced(struct runs *runs, int64_t now_us);

struct run_request {
	const char *task;
	uint32_t attempt;
	uint32_t owner;
	uint64_t number;
	uint64_t order;
	struct resources need;
	int64_t estimate_us;
	uint32_t priority;
	int64_t urgency_us;
	int64_t start_by_us;
	GBytes *spec; /* runs_start takes its own reference; may be NULL */
};

/*
 * Orders the start of a run, queues it until resources are free, or reports at once through
 * run_ended why neither was possible.
 *
 * Load pattern: all servers are full and several entries have work. Without a queue, every entry
 * that learns of freed resources sends a start and all but one are refused, while the resources
 * stay unused for a round trip. A short queue here uses them at once, for the most urgent run of
 * any entry. A full queue refuses its least urgent run. Most work still waits at the entries, where
 * no server has been chosen yet.
 */
void runs_start(struct runs *runs, const struct run_request *request, int64_t now_us);

/* Orders the starts of waiting runs that fit into the free resources. Call once per iteration of
 * the event loop. */
void runs_start_waiting(struct runs *runs, int64_t now_us);

/* Stops the run NUMBER at the request of its owner. An unknown number is ignored because the end of
 * its run was already reported. */
void runs_stop(struct runs *runs, uint32_t owner, uint64_t number, int64_t now_us);

/* As runs_stop, for a request that may have been delayed: the run ends with its lease if it has not
 * ended by STOP_BY_US. */
void runs_stop_by(struct runs *runs, uint32_t owner, uint64_t number, int64_t stop_by_us,
		  int64_t now_us);

/* Stops all runs of OWNER. Those that have not ended by STOP_BY_US end with their leases. */
void runs_stop_owned(struct runs *runs, uint32_t owner, int64_t stop_by_us, int64_t now_us);

/* Stops all runs of an owner that is gone, as runs_stop_owned. Their ends are not reported. */
void runs_owner_gone(struct runs *runs, uint32_t owner, int64_t stop_by_us, int64_t now_us);

/* Apply the answers to orders. An unacknowledged stop is repeated, and so is a stale start unless
 * it is not wanted any more. An unanswered start is resolved through the lists. */
void runs_start_answered(struct runs *runs, struct handle run, enum start_answer answer,
			 int64_t now_us);
void runs_stop_answered(struct runs *runs, struct handle run, bool acknowledged, int64_t now_us);

/* Applies the server's lists, which were requested at ASKED_US with EPOCH. Runs whose phase began
 * later are not considered missing. An unanswered start that had a lower epoch and is not in them
 * has never been carried out and never will be. */
void runs_apply_lists(struct runs *runs, const struct run_lists *list, int64_t epoch,
		      int64_t asked_us, int64_t now_us);

/*
 * Returns whether a lease may be sent. A lease covers all runs at the server, so none is sent while
 * a run goes on that should have been stopped: if all its stops are lost, it ends with the last
 * lease, before its owner's client sends the job again. No run is started meanwhile either, as a
 * start contains a lease. None is sent to a suspected server, as its runs are reported as crashed.
 */
bool runs_may_lease(const struct runs *runs, int64_t now_us);

/* Records that a call with a lease is sent at NOW_US. */
void runs_lease_sent(struct runs *runs, int64_t now_us);

/* Records the end of a call with a lease that was sent at SENT_US with EPOCH. Call it before the
 * functions that apply the answer. */
void runs_lease_ended(struct runs *runs, int64_t epoch, int64_t sent_us, enum lease_end end,
		      int64_t now_us);

/* Ends a quarantine that is over, refuses waiting runs that are too late, repeats unanswered stops
 * and reports those that are overdue. Ends all runs as RUN_LOST once the last lease has certainly
 * expired and no start is in transit. */
void runs_tick(struct runs *runs, int64_t now_us);

/* Returns the free resources: none while the server is absent, leaving, quarantined or evacuated,
 * has a run that this agent did not order, or gets no lease. */
struct resources runs_free_resources(const struct runs *runs, int64_t now_us);

/* Returns the cpu of all waiting runs. */
uint32_t runs_waiting_cpu(const struct runs *runs);

/* Returns whether new starts are accepted. */
bool runs_ready(const struct runs *runs);

/* Returns whether at most one run at a time should be sent, to test a server that has failed or is
 * slow. */
bool runs_on_trial(const struct runs *runs, int64_t now_us);

/* Returns the mean ratio of estimated to measured run time. During the trial of a slow server, this
 * is its baseline speed. */
double runs_speed(const struct runs *runs, int64_t now_us);

/* Returns whether the start of RUN, which is held, may not have reached the server yet. Otherwise
 * RUN ends with its lease at the latest. */
bool runs_start_in_transit(const struct run *run);

/* Returns up to which order, exclusive, no start of OWNER may still be sent or carried out: the
 * lowest one with such a start, or the one after HANDLED. */
uint64_t runs_settled_orders(const struct runs *runs, uint32_t owner, uint64_t handled);

/* Forgets the numbers of the orders of OWNER, which has a new connection. */
void runs_forget_orders(struct runs *runs, uint32_t owner);

/* Returns the number of runs of OWNER. */
uint32_t runs_count_owned(const struct runs *runs, uint32_t owner);

/* Calls VISIT with CONTEXT for each run. */
void runs_foreach(struct runs *runs, void (*visit)(void *context, const struct run *run),
		  void *context);

#endif
