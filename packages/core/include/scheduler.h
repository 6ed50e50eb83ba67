/* Job scheduler of an entry: admission, job order, choice of backend server and job progress. */
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
	int64_t ageing_divisor;	 /* this many microseconds of waiting offset one microsecond of
				    remaining work; 0 for no ageing */
	int64_t zone_penalty_us; /* added to the expected run time on a server in another zone */
};

/* Parameters of a job to submit. The names are copied. */
struct sched_job_spec {
	const char *class_name;
	const char *team;
	uint32_t tasks;
	uint64_t bytes; /* body size, counted against max_queued_bytes until the job ends */
	int64_t declared_run_us; /* expected run time of one task, or 0 when not declared */
	int64_t deadline_us;	 /* absolute time on the monotonic clock, or 0 for none */
	void *context;		 /* returned in sched_assignment.job_context */
};

/* Rules for one class, from the configuration. */
struct sched_class_rules {
	char name[NAME_BYTES];
	const char *const *zones;  /* allowed zones, NULL-terminated, or NULL for all */
	const char *const *labels; /* required "key=value" strings, NULL-terminated, or NULL */
	int64_t run_us;		   /* expected run time of one task, or 0 when not configured */
	uint32_t max_running;	   /* highest number of running tasks, or 0 for no limit */
};

/* Rules for one team, from the configuration. */
struct sched_team_rules {
	char name[NAME_BYTES];
	double weight; /* divides the expected work in the job order; 0 or below counts as 1 */
	uint32_t max_running; /* highest number of running tasks, or 0 for no limit */
	uint64_t max_queued;  /* highest number of queued tasks, or 0 for no limit */
};

/* Properties of a backend server. */
struct sched_server_spec {
	const char *id;
	const char *zone;
	const char *const *labels; /* "key=value" strings, NULL-terminated, or NULL */
	uint32_t slots;
	bool open; /* the server accepts new tasks */
};

/* A task and the server that it is to start on, chosen by sched_next_assignment(). */
struct sched_assignment {
	struct handle job;
	void *job_context;
	uint32_t task;
	struct handle server;
	void *server_context;
};

enum sched_job_state {
	SCHED_JOB_QUEUED, /* no task has started */
	SCHED_JOB_RUNNING,
	SCHED_JOB_DONE, /* every task has finished */
	SCHED_JOB_FAILED,
	SCHED_JOB_CANCELLED,
};

/* Progress of a job. "started" counts the tasks that were sent to a server, including finished
 * ones, except those that the agent refused or that are known never to have started. "running"
 * counts the outstanding tasks: started, and no result, refusal or failure reported yet. */
struct sched_job_view {
	enum sched_job_state state;
	uint32_t tasks;
	uint32_t started;
	uint32_t running;
	uint32_t finished;
	int64_t submitted_us;
	int64_t ideal_us; /* estimated response time without queueing: the longest run time so far
			     or, before the first result, the estimated run time of the class, each
			     scaled to the fastest server that may run the class */
};

/* Learned speed and task counts of a server. */
struct sched_server_view {
	double speed_factor; /* run time relative to the geometric mean of all servers; below 1 is
				faster */
	uint32_t running;
	uint64_t credits;
	uint64_t finished;
	uint64_t failed;
};

struct sched; /* opaque */

/* Creates a scheduler. SEED determines the choice between equally fast servers. LOCAL_ZONE is the
 * availability zone of the entry. */
struct sched *sched_new(const struct sched_limits *limits, const char *local_zone, uint64_t seed);
void sched_free(struct sched *sched);

/*
 * Replaces the rules of all classes and teams; the new rules apply to queued jobs as well. Jobs
 * of a class that is no longer listed finish under its last rules, and new jobs of the class are
 * refused. While no class is listed, jobs of any class are admitted: a class that was listed before
 * keeps its last rules until it is dropped, and a job of any other class may run on every server. A
 * team that is not listed has weight 1 and no limit.
 */
void sched_set_rules(struct sched *sched, const struct sched_class_rules *classes,
		     uint32_t class_count, const struct sched_team_rules *teams,
		     uint32_t team_count);

/* Adds a server. CONTEXT is returned in sched_assignment.server_context. */
struct handle sched_server_add(struct sched *sched, const struct sched_server_spec *spec,
			       void *context);
/* Replaces the properties of a server. */
void sched_server_update(struct sched *sched, struct handle server,
			 const struct sched_server_spec *spec);
/* Removes a server. The caller must first report the end of each running task of the server. */
void sched_server_remove(struct sched *sched, struct handle server);
/* Sets the number of tasks that may be started on the server now. sched_next_assignment() consumes
 * one credit for each start. */
void sched_server_set_credits(struct sched *sched, struct handle server, uint64_t credits);

/*
 * Admits a job and stores its handle at JOB. On error no task of the job runs. Returns
 * STATUS_QUEUE_FULL, STATUS_QUOTA_EXCEEDED, STATUS_NO_CAPACITY_MATCH, STATUS_DEADLINE_UNREACHABLE
 * or STATUS_INVALID_REQUEST (no task, or a name that is missing or of NAME_BYTES bytes or more).
 */
enum status sched_submit(struct sched *sched, const struct sched_job_spec *spec, int64_t now_us,
			 struct handle *job, struct error *err);

/*
 * Chooses the next task to start and its server. Returns false when no task can start now. The task
 * counts as started unless sched_task_refused() is called for it.
 */
bool sched_next_assignment(struct sched *sched, int64_t now_us, struct sched_assignment *out);

/*
 * Returns the time at which sched_next_assignment() must be called again even without an event,
 * because its last call left a task waiting for a faster server, or INT64_MAX when no task waits.
 */
int64_t sched_wakeup_us(const struct sched *sched);

/*
 * Records that a task finished on SERVER with a result after RUN_US microseconds. Returns the state
 * of the job. This function and the next two ignore a task that is not outstanding, as happens when
 * an event is repeated, and return SCHED_JOB_FAILED for an unknown job. A task that is still
 * outstanding when its job ends remains in "started" and in the running counts until its event is
 * reported.
 */
enum sched_job_state sched_task_done(struct sched *sched, struct handle job, uint32_t task,
				     struct handle server, int64_t run_us, int64_t now_us);
/* Records that a task did not start because it was refused by the agent or is known never to have
 * started. The task is queued again unless its job has ended. */
enum sched_job_state sched_task_refused(struct sched *sched, struct handle job, uint32_t task,
					struct handle server, int64_t now_us);
/* Records that a started task failed. Its job fails and the queued tasks of the job are dropped. */
enum sched_job_state sched_task_failed(struct sched *sched, struct handle job, uint32_t task,
				       struct handle server, int64_t now_us);

/* Cancels a job and drops its queued tasks, at a cost that does not depend on their number. Returns
 * false when the job has already ended or is unknown. */
bool sched_cancel(struct sched *sched, struct handle job, int64_t now_us);

/* Fails a job for a reason outside the scheduler, such as a passed deadline. Otherwise the same as
 * sched_cancel(). */
bool sched_fail(struct sched *sched, struct handle job, int64_t now_us);

/* Releases a job that has ended; has no effect on a job that has not ended. Its outstanding tasks
 * continue to occupy their server and count towards the limits until their events are reported. */
void sched_release(struct sched *sched, struct handle job);

/* Fills VIEW and returns true, or returns false for an unknown or released job. */
bool sched_job_view(const struct sched *sched, struct handle job, struct sched_job_view *view);

/* Fills VIEW and returns true, or returns false for an unknown server. */
bool sched_server_view(const struct sched *sched, struct handle server,
		       struct sched_server_view *view);

/* Returns the number of queued tasks that SERVER may run under the rules of their class, or 0 for
 * an unknown server. */
uint64_t sched_server_demand(const struct sched *sched, struct handle server);

/* Returns the number of queued tasks. */
uint64_t sched_queued_tasks(const struct sched *sched);
/* Returns the number of outstanding tasks, see struct sched_job_view. */
uint64_t sched_running_tasks(const struct sched *sched);

/*
 * Stores up to CAPACITY jobs whose deadline is at or before NOW_US at OUT and returns their number.
 * Each job is returned only once, and the caller must fail it with sched_fail(). Takes O(log n)
 * time for each returned job.
 */
uint32_t sched_take_expired(struct sched *sched, int64_t now_us, struct handle *out,
			    uint32_t capacity);

#endif
