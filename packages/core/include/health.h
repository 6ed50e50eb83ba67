/* Health of a backend server as its agent sees it: slow start, quarantine with back-off, trial
 * starts. */
#ifndef GG_HEALTH_H
#define GG_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

struct health_limits {
	uint32_t fail_streak;	  /* failures in a row that begin a quarantine */
	int64_t first_backoff_us; /* first quarantine; each following one is twice as long */
	int64_t longest_backoff_us;
};

enum health_state {
	HEALTH_SLOW_START,
	HEALTH_HEALTHY,
	HEALTH_QUARANTINED,
	HEALTH_TRIAL,
};

struct health {
	struct health_limits limits;
	enum health_state state;
	uint32_t start_limit; /* starts at once during slow start */
	uint32_t failure_streak;
	int64_t backoff_us;
	int64_t quarantine_end_us;
};

/* A new backend server begins in slow start with one start at a time. */
void health_init(struct health *health, const struct health_limits *limits);

/* Records the end of a started task. SLOTS is the number of announced slots, at which slow start
 * ends. */
void health_record_result(struct health *health, bool success, uint32_t slots, int64_t now_us);

/* Ends a quarantine that is over at NOW_US: the state becomes HEALTH_TRIAL. Returns whether the
 * state changed. */
bool health_tick(struct health *health, int64_t now_us);

/* Returns how many starts may run at once out of SLOTS. */
uint32_t health_start_limit(const struct health *health, uint32_t slots);

/* Returns when health_tick must be called next, or INT64_MAX. */
int64_t health_next_tick_us(const struct health *health);

#endif
