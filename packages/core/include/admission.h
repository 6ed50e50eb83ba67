/*
 * Whether a job is worth queueing, and when its client should come back.
 *
 * Load pattern: bursts of up to twice the capacity that last some seconds. A job that waits past
 * its objective earns its caller nothing and takes the room of one that could still be in time, so
 * it is refused on arrival when the work ahead of it takes longer than its slack.
 */
#ifndef GG_ADMISSION_H
#define GG_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core_defs.h"

struct admission_load {
	double capacity;      /* cores in use by ready servers, weighted by speed */
	double ahead_core_us; /* queued work that would start before the job, at all entries */
	double free_cores;
	double job_cores; /* needed by the job at once */
};

/* Returns the time until the last task of the job is expected to start, in microseconds. */
int64_t admission_wait_us(const struct admission_load *load);

/* Whole seconds after which a refused client should come back: when the backlog has drained, spread
 * by SEED so that clients refused together do not return together. */
uint32_t admission_retry_after_s(const struct admission_load *load, uint64_t seed);

#endif
