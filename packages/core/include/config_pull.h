/*
 * When an entry asks another one for a configuration.
 *
 * Load pattern: a large configuration (hundreds of kilobytes) that all entries hear of within
 * milliseconds of each other. All of them follow the store; if each also sent it to every entry
 * that has not reported it yet, a small host would receive and read it a dozen times, and serve
 * nothing meanwhile. So an entry asks, and only when the store has not brought the version in time.
 */
#ifndef GG_CONFIG_PULL_H
#define GG_CONFIG_PULL_H

#include <stdbool.h>
#include <stdint.h>

struct config_pull {
	int64_t apply_limit_us;	 /* in which a configuration must be in force */
	int64_t behind_since_us; /* a higher version was first heard of; 0 when none is known */
	int64_t last_request_us; /* last time that another entry was asked; 0 before */
};

/* Returns whether to ask one entry now. OWN is the version in force, 0 without one, and HIGHEST the
 * highest version that another entry has told of. */
bool config_pull_due(struct config_pull *pull, uint64_t own_version, uint64_t highest_version,
		     int64_t now_us);

#endif
