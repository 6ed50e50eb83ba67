/*
 * Admission control: estimates how long a job waits for its start and when a refused client should
 * retry.
 *
 * Load pattern: bursts of up to twice the capacity that last some seconds. A job that waits past
 * its objective is of no use to its client and takes capacity from a job that could still be in
 * time, so it is refused, usually on arrival, as soon as the work ahead of it would delay it beyond
 * its latest start.
 */
#ifndef GG_ADMISSION_H
#define GG_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core_defs.h"

/* Load of the servers of one service, as seen by one job. Servers in use exclude those on trial and
 * very slow ones. */
struct admission_load {
	double capacity; /* cores of the ready servers in use, weighted by speed */
	/* Queued work ahead of the job: more urgent work at this entry, and work of the same or a
	 * higher priority at the other entries. */
	double ahead_core_us;
};

/* Returns the time in which the work ahead of the job is expected to drain, in microseconds, at
 * most the longest retry delay. */
int64_t admission_wait_us(const struct admission_load *load);

/*
 * Returns whether a job that finds no free room on arrival is to be refused at once, because the
 * longest waiting job of its queue has already used OLDEST_WAIT_SHARE of its slack, the time from
 * its arrival to its latest start.
 *
 * Load pattern: demand exceeds the capacity for seconds. Jobs start in the order of their latest
 * starts, so without this rule all of them wait until they can hardly be in time any more. Many are
 * then refused late, and the rest start so late that a small error of a prediction makes them miss
 * their objectives. While the oldest job of a queue waits too long, its new jobs are refused, so
 * that those already waiting are served in time.
 */
bool admission_must_shed(double oldest_wait_share);

/* Returns the number of whole seconds after which a refused client should retry: the time in which
 * the backlog drains, plus a spread derived from SEED so that clients refused together do not retry
 * together. */
uint32_t admission_retry_after_s(const struct admission_load *load, uint64_t seed);

#endif
