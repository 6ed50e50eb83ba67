/*
 * Decides which jobs start, wait, are moved back or are refused when there is too little room for
 * all of them.
 *
 * Load pattern: all kinds of jobs surge to between 1.3 and 2 times the capacity for seconds, or a
 * third of the servers leaves. If each job waits until it can hardly be in time any more, most
 * refusals come late, and the jobs that start have no margin left for run times that are longer
 * than predicted. If the most urgent jobs always come first, the other kinds get almost nothing.
 *
 * A kind is the jobs of one queue. The functions depend on their arguments only. An entry calls
 * them with what it has observed of its own clients, so it needs nothing from other entries.
 */
#ifndef GG_SHEDDING_H
#define GG_SHEDDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* Time in which the observations of a kind decay to 37 %. Bursts last for some seconds.
	 * With 1 s, a single long job changes the shares at a small entry too much. */
	SHEDDING_MEMORY_US = 2000 * 1000
};

/* What an entry has observed of the jobs of one kind, in core-microseconds. */
struct shedding_kind {
	uint32_t priority;	/* 0 is the highest */
	double offered_core_us; /* predicted work of the jobs that have arrived; decays */
	double lost_core_us;	/* part of it that ended before it was started; decays too */
	double queued_core_us;	/* part of it that waits for room now */
	double overdue_core_us; /* part of that which has waited for too long; see
				   shedding_is_overdue */
	double share;		/* of the offered work that the kind is due; see shedding_divide */
};

struct shedding_job {
	const struct shedding_kind *kind;
	int64_t arrived_us;
	int64_t latest_start_us; /* the job can't reach its planned end if it starts later */
	int64_t wait_us;	 /* expected time until the work ahead of it is done */
	bool begun;		 /* a task is done, runs or may have run */
	bool admitted;		 /* it was told to wait before */
	bool found_no_room;	 /* placing it has been tried, after all more urgent jobs */
};

enum shedding_decision {
	SHEDDING_START,	    /* it may take room when it is its turn */
	SHEDDING_MOVE_BACK, /* it may only take free room that no other job takes */
	SHEDDING_WAIT,
	SHEDDING_REFUSE
};

/* Returns whether JOB has waited so long that a wait at a usual load does not explain it. */
bool shedding_is_overdue(const struct shedding_job *job, int64_t now_us);

/*
 * Sets the share of each of the COUNT kinds that compete for the same servers. All shares are 1
 * while almost no work is lost or overdue. Otherwise each kind is due the same share of most of the
 * room, and kinds of higher priorities come first for the rest.
 */
void shedding_divide(struct shedding_kind *const *kinds, size_t count);

/* Decides about JOB. */
enum shedding_decision shedding_decide(const struct shedding_job *job, int64_t now_us);

/* Returns the time by which JOB is to start; a job with an earlier time goes first. While room is
 * divided, this is early in the slack of the job, and otherwise its latest start. */
int64_t shedding_start_by_us(const struct shedding_job *job);

#endif
