/*
 * Admission while this process is shutting down: estimates how many tasks can end before a time.
 *
 * Load pattern: the load balancer goes on sending requests to a stopping entry, because it is the
 * only one of its zone. The expected run time of one task says too little: a job of many tasks
 * takes several rounds, the servers may be full, some are slow, and runs take longer than
 * predicted. A job that is started and cannot end is of no use to its client, which has to send it
 * to another entry later.
 */
#ifndef GG_DRAIN_H
#define GG_DRAIN_H

#include "fleet.h"

struct drain_request {
	const char *service;
	uint32_t partition;
	struct resources need; /* of each task */
	uint32_t tasks;
	int64_t run_us;	 /* time in which a task ends at a typical server, with a margin */
	int64_t wait_us; /* time until the work ahead of these tasks has started */
};

/* Returns whether all tasks of REQUEST can be expected to end by END_US. */
bool drain_can_end(const struct fleet *fleet, const struct drain_request *request, int64_t now_us,
		   int64_t end_us);

#endif
