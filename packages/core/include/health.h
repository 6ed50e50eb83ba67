/* Health of a backend server, derived by its agent from the results of tasks: slow start,
 * quarantine with exponential backoff, and trial starts. */
#ifndef GG_HEALTH_H
#define GG_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct health_limits {
	uint32_t fail_streak;	  /* consecutive failures that begin a quarantine */
	int64_t first_backoff_us; /* first quarantine; each further one is twice as long */
	int64_t longest_backoff_us;
};

enum health_state {
	HEALTH_SLOW_START,
	HEALTH_HEALTHY,
	HEALTH_QUARANTINED, /* no starts before quarantine_end_us */
	HEALTH_TRIAL,	    /* the quarantine is over; a single failure begins the next one */
};

struct health {
	struct health_limits limits;
	enum health_state state;
	uint32_t start_limit; /* tasks that may run at once during slow start and trial */
	uint32_t failure_streak;
	int64_t backoff_us; /* length of the next quarantine */
	int64_t quarantine_end_us;
};

/* Initializes HEALTH for a new backend server: slow start with one start at a time. */
void health_init(struct health *health, const struct health_limits *limits);

/* Records the result of a started task. SLOTS is the number of slots that the server announced;
 * slow start ends when that many starts are allowed. */
void health_record_result(struct health *health, bool success, uint32_t slots, int64_t now_us);

/* Changes the state from HEALTH_QUARANTINED to HEALTH_TRIAL if the quarantine is over at NOW_US.
 * Returns whether the state changed. */
bool health_tick(struct health *health, int64_t now_us);

/* Returns how many of SLOTS announced slots may be in use at once. */
uint32_t health_start_limit(const struct health *health, uint32_t slots);

/* Returns the time at which health_tick must be called next, or INT64_MAX when it need not be. */
int64_t health_next_tick_us(const struct health *health);

#endif
