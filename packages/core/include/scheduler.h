/* The entry's queue: admission, order between jobs, choice of backend server, progress of each job.
 */
#ifndef GG_SCHEDULER_H
#define GG_SCHEDULER_H

#include <stdbool.h>
#include <stdint.h>

#include "core_defs.h"
#include "status.h"
#include "table.h"

struct sched_limits {
	uint64_t max_queued_tasks;
	uint64_t max_queued_bytes;
	int64_t ageing_divisor;	 /* one microsecond of remaining work is forgiven for this many
				    microseconds of waiting */
	int64_t zone_penalty_us; /* added to the expected run time of a server in another zone */
};

/* A job at submission. Names are copied. */
struct sched_job_spec {
	const char *class_name;
	const char *team;
	uint32_t tasks;
	uint64_t bytes;		 /* body size, counted against max_queued_bytes until the job ends
				  */
	int64_t declared_run_us; /* of one task; 0 when not declared */
	int64_t deadline_us;	 /* absolute on the monotonic clock, or 0 */
	void *context;		 /* returned with each action */
};

/* Rules for one class, from the configuration. */
struct sched_class_rules {
	char name[NAME_BYTES];
	const char *const *zones;  /* NULL-terminated, or NULL for all */
	const char *const *labels; /* "key=value" strings, NULL-terminated, or NULL */
	int64_t run_us;		   /* expected run time, or 0 */
	uint32_t max_running;	   /* 0 for no limit */
};

/* Rules for one team, from the configuration. */
struct sched_team_rules {
	char name[NAME_BYTES];
	double weight;	      /* above 0 */
	uint32_t max_running; /* 0 for no limit */
	uint64_t max_queued;  /* tasks; 0 for no limit */
};

/* A backend server as an entry knows it. */
struct sched_server_spec {
	const char *id;
	const char *zone;
	const char *const *labels; /* "key=value" strings, NULL-terminated, or NULL */
	uint32_t slots;
	bool open; /* accepts new work */
};

/* A start to be sent. */
struct sched_start {
	struct handle job;
	void *job_context;
	uint32_t task;
	struct handle server;
	void *server_context;
};

/* The state of a job after an event. */
enum sched_job_state {
	SCHED_JOB_QUEUED, /* no task started */
	SCHED_JOB_RUNNING,
	SCHED_JOB_DONE, /* every task finished */
	SCHED_JOB_FAILED,
	SCHED_JOB_CANCELLED,
};

/* A job's progress. "started" counts tasks sent and not known to be refused or sealed, finished
 * ones included. */
struct sched_job_view {
	enum sched_job_state state;
	uint32_t tasks;
	uint32_t started;
	uint32_t running;
	uint32_t finished;
	int64_t submitted_us;
	int64_t ideal_us; /* time the work alone takes: the longest task on the fastest server of
			     the class */
};

/* A learned speed, for the list of members. */
struct sched_server_view {
	double speed_factor; /* run time relative to the class mean; below 1 is faster */
	uint32_t running;
	uint64_t credits;
	uint64_t finished;
	uint64_t failed;
};

struct sched; /* opaque */

/* SEED fixes every arbitrary choice. LOCAL_ZONE is the entry's own availability zone. */
struct sched *sched_new(const struct sched_limits *limits, const char *local_zone, uint64_t seed);
void sched_free(struct sched *sched);

/*
 * Replaces the rules of all classes and teams; queued jobs follow the new rules. Jobs of a class
 * that is no longer listed finish under its last rules, and no new ones are admitted. While no
 * class is listed at all, every class may run on every server. A team that is not listed has weight
 * 1 and no limit.
 */
void sched_set_rules(struct sched *sched, const struct sched_class_rules *classes,
		     uint32_t class_count, const struct sched_team_rules *teams,
		     uint32_t team_count);

/* Adds a server; CONTEXT comes back with each start. */
struct handle sched_server_add(struct sched *sched, const struct sched_server_spec *spec,
			       void *context);
/* Replaces what is known of a server. */
void sched_server_update(struct sched *sched, struct handle server,
			 const struct sched_server_spec *spec);
/* Removes a server. Its running tasks must have been reported before. */
void sched_server_remove(struct sched *sched, struct handle server);
/* Sets the number of starts that may be sent to the server now. sched_next takes one for each
 * start. */
void sched_server_set_credits(struct sched *sched, struct handle server, uint64_t credits);

/*
 * Admits a job and stores its handle at JOB. Refusals, all "not run": STATUS_QUEUE_FULL,
 * STATUS_QUOTA_EXCEEDED, STATUS_NO_CAPACITY_MATCH, STATUS_DEADLINE_UNREACHABLE,
 * STATUS_INVALID_REQUEST (no task, or a name of NAME_BYTES or more).
 */
enum status sched_submit(struct sched *sched, const struct sched_job_spec *spec, int64_t now_us,
			 struct handle *job, struct error *err);

/*
 * Chooses the next start. Returns false when nothing can start now. The task counts as started
 * until one of the calls below says otherwise.
 */
bool sched_next(struct sched *sched, int64_t now_us, struct sched_start *out);

/*
 * Returns the time at which sched_next must be called again even without an event, because its last
 * call left a task waiting for a faster server; INT64_MAX when there is none.
 */
int64_t sched_wakeup_us(const struct sched *sched);

/*
 * A task finished with a result after RUN_US microseconds at SERVER. Returns the job's state. This
 * and the next two ignore a task that is not out, as in a repeated event; for an unknown job they
 * return SCHED_JOB_FAILED. A task that is still out when its job ends stays in "started" and in the
 * running counts until its event comes.
 */
enum sched_job_state sched_task_done(struct sched *sched, struct handle job, uint32_t task,
				     struct handle server, int64_t run_us, int64_t now_us);
/* A task did not start (refused or sealed) and is queued again, unless its job has ended. */
enum sched_job_state sched_task_refused(struct sched *sched, struct handle job, uint32_t task,
					struct handle server, int64_t now_us);
/* A started task failed: its job fails and its queued tasks are dropped. */
enum sched_job_state sched_task_failed(struct sched *sched, struct handle job, uint32_t task,
				       struct handle server, int64_t now_us);

/* Cancels a job: queued tasks are dropped at a cost that does not depend on their number. Returns
 * false when it had ended already. */
bool sched_cancel(struct sched *sched, struct handle job, int64_t now_us);

/* Fails a job that has not ended, for a reason outside the scheduler such as its deadline. As
 * sched_cancel. */
bool sched_fail(struct sched *sched, struct handle job, int64_t now_us);

/* Forgets a job that has ended; a job that has not is left alone. Events for its tasks still
 * running free their server and count for the limits as before. */
void sched_release(struct sched *sched, struct handle job);

/* Fills VIEW and returns true, or returns false for a job that is not known. */
bool sched_job_view(const struct sched *sched, struct handle job, struct sched_job_view *view);

/* Fills VIEW and returns true, or returns false for a server that is not known. */
bool sched_server_view(const struct sched *sched, struct handle server,
		       struct sched_server_view *view);

/* Returns the number of queued tasks that SERVER could run by the rules of their class. */
uint64_t sched_server_demand(const struct sched *sched, struct handle server);

/* Returns the number of queued tasks, and the number of started tasks without an answer. */
uint64_t sched_queued_tasks(const struct sched *sched);
uint64_t sched_running_tasks(const struct sched *sched);

/*
 * Stores up to CAPACITY jobs whose deadline passed at NOW_US at OUT and returns their number. Each
 * job is returned once; the caller fails it. Costs time in proportion to the number returned.
 */
uint32_t sched_take_expired(struct sched *sched, int64_t now_us, struct handle *out,
			    uint32_t capacity);

#endif
