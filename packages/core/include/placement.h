/*
 * Choice of backend servers for the tasks of a job.
 *
 * Load pattern: servers of unequal speed, close to full. A task on a slow server can miss the job's
 * objective by itself, and a short job that takes the room of fast servers leaves only slow ones
 * for the long jobs that need them.
 *
 * Load pattern: many entries that hear of free room some milliseconds late. If all rank the servers
 * alike, they send for the same room and turn each other away; so each draws among servers of about
 * equal run time, with a chance in proportion to their free room.
 */
#ifndef GG_PLACEMENT_H
#define GG_PLACEMENT_H

#include "fleet.h"

struct placement_request {
	const char *service;
	struct room need; /* of each task */
	uint32_t tasks;
	uint32_t priority;
	int64_t work_us;     /* expected time of one task at speed 1 */
	int64_t target_us;   /* tasks go only where they end by then */
	bool may_wait;	     /* tasks may be sent to full servers, to wait there for room */
	bool late;	     /* the job's objective is out of reach: fast servers first */
	struct handle avoid; /* where a task of this job failed, or none */
};

/* Returns how long a task that takes WORK_US on a typical server is expected to run on SERVER. */
int64_t placement_run_us(const struct fleet_server *server, int64_t work_us);

/* Returns when a task of REQUEST is expected to end on SERVER, with its wait for room there. */
int64_t placement_end_us(const struct fleet_server *server, const struct placement_request *request,
			 int64_t now_us);

/*
 * Fills SERVERS, of REQUEST->tasks entries, with a server for each task that can start now and
 * returns their number. Only servers on which the task ends by the target are
 * taken. Room is looked up, not taken. SEED is the state of the draws.
 */
uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *request,
			  int64_t now_us, uint64_t *seed, struct handle *servers);

#endif
