/*
 * Chooses the backend servers that run the tasks of a job.
 *
 * Servers differ in speed and are often nearly full. A single task on a slow server can make its
 * job miss the objective, and a short job that occupies fast servers leaves only slow ones for the
 * long jobs that need fast ones.
 *
 * Many entries learn of free room some milliseconds late. If all of them ranked the servers alike,
 * they would compete for the same room and most of their orders would be refused. Therefore each
 * entry selects servers at random, weighted by their free room and speed.
 *
 * Traffic between zones may be expensive, and each order to another zone is followed by reports and
 * a result from there. With a local zone set, tasks go to other zones only when no server of the
 * local zone has free room on which they end by the target time. When most servers are full, tasks
 * with enough slack wait for a while until room becomes free in the local zone: otherwise each free
 * slot would be taken from all zones alike, and the preference would have no effect.
 */
#ifndef GG_PLACEMENT_H
#define GG_PLACEMENT_H

#include "fleet.h"
#include "policy.h"

/* Tasks of one job to be placed. */
struct placement_request {
	const struct policy *policy;
	const char *service;
	uint32_t partition;
	const char *local_zone; /* zone whose servers are preferred; empty: none */
	/* The local zone is not preferred while fewer of its servers are ready. Among few servers,
	 * one that is slow or full leaves too little choice, and jobs are late that other zones had
	 * room for. */
	uint32_t local_zone_servers;
	/* Before this time, tasks go to other zones only to servers with ample room, unless no
	 * server of the local zone can end them by the target. */
	int64_t spill_from_us;
	struct resources need; /* of each task */
	uint32_t tasks;
	uint32_t priority;
	int64_t work_us; /* expected run time of one task on a typical server, which has speed 1 */
	int64_t target_us; /* time by which a task must be expected to end on its server */
	bool may_wait;	   /* tasks may be sent to full servers to wait there for room */
	bool prefer_fast;  /* prefer fast servers: the job can no longer reach its planned end */
	/* Server that gets none of the tasks, because a run of the job failed, was refused as
	 * unhealthy or was too slow there; a zero handle when there is none. */
	struct handle avoid_server;
};

/* Largest capacity available at any single server. Allows jobs that fit nowhere to be skipped. */
struct placement_headroom {
	uint32_t free_cpu; /* thousandths of a core */
	/* Cpu of further tasks that may be sent to a server to wait there, by priority. */
	uint32_t wait_allowance_cpu[PRIORITY_LEVELS];
	/* Whether there is a server at which no task of this or a higher priority waits, by
	 * priority. Such a server accepts a waiting task of any size. */
	bool any_size_may_wait[PRIORITY_LEVELS];
};

/*
 * Fills HEADROOM with the maxima over the ready servers of PARTITION of SERVICE.
 *
 * A small entry host may hold hundreds of queued jobs while all servers are full and report changes
 * of their room many times a millisecond. Without this check, every call of dispatch_pump would
 * rank all servers for every queued job.
 */
void placement_find_headroom(const struct fleet *fleet, const char *service, uint32_t partition,
			     int64_t now_us, struct placement_headroom *headroom);

/* Returns whether a task of REQUEST may find a server, judged by cpu alone. False is certain. True
 * is not, as total size, memory, GPUs, the target time and avoid_server are not checked. */
bool placement_may_place(const struct placement_headroom *headroom,
			 const struct placement_request *request);

/* Returns the expected run time on SERVER, in microseconds, of a task that takes WORK_US on a
 * typical server. */
int64_t placement_run_us(const struct fleet_server *server, int64_t work_us);

/* Returns the time at which a task of REQUEST is expected to end on SERVER, including its wait for
 * room there. */
int64_t placement_end_us(const struct fleet_server *server, const struct placement_request *request,
			 int64_t now_us);

/*
 * Stores in SERVERS, an array of REQUEST->tasks elements, one server for each task that can be sent
 * now, and returns their number. Only servers on which a task ends by the target time are used. The
 * room in FLEET is not reduced. SUM is the result of fleet_compute_totals for the request's
 * service. RANDOM_STATE is the state of the random number generator.
 */
uint32_t placement_choose(const struct fleet *fleet, const struct placement_request *request,
			  const struct fleet_totals *sum, int64_t now_us, uint64_t *random_state,
			  struct handle *servers);

#endif
