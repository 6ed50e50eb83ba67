/*
 * Separates the queues whose tasks crash backend servers from the others.
 *
 * Load pattern: some jobs of one queue crash every server that starts them, several a second, and a
 * server is away for seconds. Which job does so is known only after its crashes, so without a
 * separation all servers are down at once, for all queues. Each suspect queue therefore gets
 * servers of its own, by its share of the demand. The other queues share the rest and lose only
 * what that queue used before.
 *
 * All entries assign the servers alike, by rendezvous hashing on the names of their agents, so that
 * a server which has crashed returns to the same queue.
 */
#ifndef GG_BULKHEAD_H
#define GG_BULKHEAD_H

#include "fleet.h"

enum {
	BULKHEAD_SHARED = 0 /* partition of the queues that are not suspects */
};

enum bulkhead_evidence {
	BULKHEAD_REPORTED, /* by another entry */
	BULKHEAD_UNPROVEN, /* seen here: servers may have crashed under its tasks */
	BULKHEAD_PROVEN,   /* seen here: servers have crashed under its tasks */
};

struct bulkhead {
	GPtrArray *suspects; /* struct suspect_queue * */
	uint64_t changes;    /* incremented with each suspicion that arose at this entry */
};

void bulkhead_init(struct bulkhead *bulkhead);
void bulkhead_free(struct bulkhead *bulkhead);

/* Makes QUEUE a suspect for some seconds from NOW_US, or extends that time; for less when it is
 * only reported or not proven. SHARE of the work for SERVICE is for this queue, from 0 to 1; the
 * first value counts until the suspicion ends, or the highest reported one. */
void bulkhead_suspect(struct bulkhead *bulkhead, const char *queue, const char *service,
		      double share, enum bulkhead_evidence evidence, int64_t now_us);

/* Ends the suspicions whose time is over, and assigns the servers of FLEET to partitions. Call
 * before servers are chosen. */
void bulkhead_update(struct bulkhead *bulkhead, struct fleet *fleet, int64_t now_us);

/* Returns the partition in which jobs of QUEUE for SERVICE run, valid until the next update. */
uint32_t bulkhead_partition(const struct bulkhead *bulkhead, const char *queue,
			    const char *service);

/* A suspect as told to other entries. */
struct bulkhead_report {
	const char *queue;
	double share;
};

/* Appends the queues that are suspects by what this entry has seen to REPORTS, an array of struct
 * bulkhead_report. */
void bulkhead_seen_here(const struct bulkhead *bulkhead, GArray *reports, int64_t now_us);

#endif
