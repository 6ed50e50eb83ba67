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
	struct resources need; /* of each task */
	uint32_t tasks;
	uint32_t priority;
	int64_t work_us;	    /* expected time of one task at speed 1 */
	int64_t target_us;	    /* tasks go only where they end by then */
	bool may_wait;		    /* tasks may be sent to full servers, to wait there for room */
	bool objective_missed;	    /* the job's objective is out of reach: fast servers first */
	struct handle avoid_server; /* where a task of this job failed, or none */
};

/* The most that any one server has room for, to leave out jobs for which there is none. */
struct placement_headroom {
	uint32_t free_cpu;
	uint32_t waiting_cpu[PRIORITIES];   /* of tasks that may still be sent to wait there */
	bool any_size_may_wait[PRIORITIES]; /* a task of any size, as nothing waits there */
};

/*
 * Fills ROOM for the ready servers of SERVICE.
 *
 * Load pattern: hundreds of jobs queued at a small entry host while all servers are full, and news
 * of room many times a millisecond. Without it, each turn ranks all servers for each queued job.
 */
void placement_find_headroom(const struct fleet *fleet, const char *service,
			     struct placement_headroom *headroom);

/* Returns whether a task of REQUEST may find a place. True says nothing of the target. */
bool placement_may_place(const struct placement_headroom *headroom,
			 const struct placement_request *request);

/* Returns how long a task that takes WORK_US on a typical server is expected to run on SERVER. */
int64_t placement_run_us(const struct fleet_server *server, int64_t work_us);

/* Returns when a task of REQUEST is expected to end on SERVER, with its wait for room there. */
int64_t placement_end_us(const struct fleet_server *server, const struct placement_request *request,
			 int64_t now_us);

/*
 * Fills SERVERS, of REQUEST->tasks entries, with a server for each task that can start now and
 * returns their number. Only servers on which the task ends by the target are taken. Room is looked
 * up, not taken. SUM is that of the request's service. SEED is the state of the draws.
 */
uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *request,
			  const struct fleet_sum *sum, int64_t now_us, uint64_t *seed,
			  struct handle *servers);

#endif
