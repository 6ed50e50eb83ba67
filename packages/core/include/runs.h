/*
 * Runs of tasks at one backend server, as its agent keeps them: room, orders whose answer was lost,
 * runs whose owner is gone, and what the server's lists say.
 *
 * A run leaves this table only when it certainly is not running any more: the server listed its
 * end, the server restarted, every lease that was ever sent has expired, or the server acknowledged
 * a stop and a later list holds no trace of it.
 */
#ifndef GG_RUNS_H
#define GG_RUNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core_defs.h"
#include "health.h"
#include "table.h"

/* How a run ended, or why it was not started. Numbers go over the wire. */
enum run_outcome {
	RUN_DONE = 1,
	RUN_FAILED = 2,	     /* through its own fault or the server's */
	RUN_STOPPED = 3,     /* as its owner asked */
	RUN_EXPIRED = 4,     /* its lease ran out */
	RUN_LOST = 5,	     /* the server restarted or went away */
	RUN_NO_ROOM = 6,     /* refused by the agent or by the server */
	RUN_LEAVING = 7,     /* the server is absent or takes no new work */
	RUN_SUPERSEDED = 8,  /* the server has seen an attempt at least as high */
	RUN_UNHEALTHY = 9,   /* the server refused for its own reasons */
	RUN_LATE = 10,	     /* the order reached the server after its time limit */
	RUN_INVALID = 11,    /* the server does not accept the order as such */
	RUN_UNANSWERED = 12, /* the order got no answer; it was settled that it did not run */
	RUN_BUSY = 13,	     /* an earlier run of the same task is not settled yet */
	RUN_WITHDRAWN = 14,  /* stopped by its owner while it waited for room */
	RUN_OUTCOME_COUNT
};

/* Returns a stable name for logs. */
const char *run_outcome_name(enum run_outcome outcome);

/* What a task takes of its backend server, and what a server has. */
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

enum run_phase {
	RUN_WAITING,	 /* for room; nothing has been sent */
	RUN_ORDERED,	 /* the start has been sent */
	RUN_ACTIVE,	 /* the server has confirmed it */
	RUN_UNCONFIRMED, /* the start got no answer; a list is awaited */
	RUN_STOPPING,	 /* a stop has been sent */
	RUN_STOP_ACKED,	 /* the stop was acknowledged; a later list is awaited */
};

enum {
	RUN_NO_OWNER = 0
};

struct run {
	char *task;
	uint32_t attempt;
	uint32_t owner;	 /* number of the entry, or RUN_NO_OWNER: its end concerns nobody */
	uint64_t number; /* of the run, given by its owner */
	struct resources need;
	int64_t estimate_us;
	GBytes *spec; /* NULL once the server has answered the start */
	enum run_phase phase;
	bool stop_requested; /* by its owner */
	uint32_t priority;   /* 0 first */
	int64_t urgent_us;   /* of waiting runs, the earliest goes first */
	int64_t start_by_us; /* of a waiting run: refused when it cannot start by then */
	int64_t ordered_us;
	int64_t phase_us; /* since when it is in its phase */
	int64_t stop_sent_us;
	uint32_t stop_retries;
	int64_t progress_sent_us;
	uint32_t percent;
};

enum start_answer {
	START_STARTED,
	START_NO_ROOM,
	START_SUPERSEDED,
	START_LATE,
	START_UNHEALTHY,
	START_INVALID,
	START_NOT_SENT,	  /* no connection could be had; the order was not sent */
	START_UNANSWERED, /* it may have been carried out, or may be later */
};

/* The lists of a backend server, at one moment. */
struct run_list_row {
	const char *task;
	uint32_t attempt;
	uint32_t percent;	  /* of the work done; of running rows */
	uint32_t cpu;		  /* thousandths of a core in use; of running rows */
	uint64_t number;	  /* of the end; of finished rows */
	enum run_outcome outcome; /* of finished rows */
};

struct run_list {
	const struct run_list_row *running;
	size_t running_count;
	const struct run_list_row *finished;
	size_t finished_count;
};

struct runs_limits {
	int64_t stop_retry_us; /* an unanswered stop is sent again after this, doubled each time */
	int64_t lease_us;
	uint32_t clock_drift_permille; /* by which the server's steady clock may be slow */
	struct health_limits health;
	uint32_t waiting_permille; /* of the server's cpu that runs may wait for */
	int64_t trial_us; /* a slow server without samples for this long gets a trial run */
};

struct runs_callbacks {
	void *context;
	void (*order_start)(void *context, struct handle run);
	void (*order_stop)(void *context, const char *task, uint32_t attempt, struct handle run);
	void (*request_lists)(void *context); /* asks for the lists without waiting for an end */
	void (*run_ended)(void *context, const struct run *run, enum run_outcome outcome,
			  int64_t elapsed_us);
	void (*run_behind)(void *context, const struct run *run, int64_t elapsed_us);
};

struct runs {
	struct runs_limits limits;
	struct runs_callbacks callbacks;
	struct table table;
	GHashTable *by_task; /* char * -> handle in a pointer */
	struct resources total;
	struct resources used;
	uint32_t waiting_cpu[PRIORITIES]; /* of waiting runs, by priority */
	bool present;			  /* the server has announced itself and answers */
	bool leaving;
	uint64_t seen_end;		/* highest number of an end that was handled */
	int64_t latest_lease_expiry_us; /* no run outlives this without a further lease */
	uint32_t unsettled;		/* runs without an owner */
	struct health health;
	char *last_failed_task; /* whose job counted last against the server's health */
	double speed;		/* estimated work done a second, EWMA; 1 while unknown */
	double baseline_speed;	/* speed outside slow spells */
	uint32_t samples;
	int64_t sampled_us;
	double run_us; /* mean time of a run, EWMA; 0 while unknown */
};

void runs_init(struct runs *runs, const struct runs_limits *limits,
	       const struct runs_callbacks *callbacks);
void runs_free(struct runs *runs);

/* The server has announced itself with this room, or has changed its state. */
void runs_server_present(struct runs *runs, const struct resources *total, bool leaving);

/* The server restarted, or certainly runs nothing any more: every run is reported as lost. */
void runs_server_lost(struct runs *runs, int64_t now_us);

struct run_request {
	const char *task;
	uint32_t attempt;
	uint32_t owner;
	uint64_t number;
	struct resources need;
	int64_t estimate_us;
	uint32_t priority;
	int64_t urgent_us;
	int64_t start_by_us;
	GBytes *spec; /* a reference is taken */
};

/*
 * Orders a start, lets it wait for room, or reports at once why neither is done.
 *
 * Load pattern: all servers full, and several entries with work. Every entry that hears of freed
 * room sends for it, and all but one are turned away, while the room stays empty for a round trip.
 * A short queue here fills the room at once, and gives it to the most urgent run of any entry; a
 * full queue turns away its least urgent run. Most work still waits at the entries, where the
 * server is not chosen yet.
 */
void runs_start(struct runs *runs, const struct run_request *request, int64_t now_us);

/* Orders the starts of waiting runs for which there is room. Call once a turn. */
void runs_start_waiting(struct runs *runs, int64_t now_us);

/* The owner wants the run gone. Unknown numbers are ignored: their end was reported. */
void runs_stop(struct runs *runs, uint32_t owner, uint64_t number, int64_t now_us);

/* Stops all runs of an owner that is gone; their ends are not reported. */
void runs_owner_gone(struct runs *runs, uint32_t owner, int64_t now_us);

/* Results of the orders. */
void runs_start_answered(struct runs *runs, struct handle run, enum start_answer answer,
			 int64_t now_us);
void runs_stop_answered(struct runs *runs, struct handle run, bool acknowledged, int64_t now_us);

/* The server's lists, in answer to a call made at ASKED_US. */
void runs_apply_lists(struct runs *runs, const struct run_list *list, int64_t asked_us,
		      int64_t now_us);

/* A lease was sent at NOW_US, whether or not it is answered. */
void runs_lease_sent(struct runs *runs, int64_t now_us);

/* Repeats unanswered stops; reports all runs as lost once the last lease has certainly expired. */
void runs_tick(struct runs *runs, int64_t now_us);

/* Free room; none while the server is absent, leaving or quarantined. */
struct resources runs_free_resources(const struct runs *runs);

/* Returns the cpu of all waiting runs. */
uint32_t runs_waiting_cpu(const struct runs *runs);

/* Whether new starts are taken. */
bool runs_ready(const struct runs *runs);

/* Whether at most one start at a time should be sent: the server failed, or is slow, and is tried.
 */
bool runs_on_trial(const struct runs *runs, int64_t now_us);

/* Estimated work done a second. */
double runs_speed(const struct runs *runs, int64_t now_us);

/* Returns the number of runs of OWNER. */
uint32_t runs_count_owned(const struct runs *runs, uint32_t owner);

/* Calls VISIT for each run. */
void runs_foreach(struct runs *runs, void (*visit)(void *context, const struct run *run),
		  void *context);

#endif
