/*
 * Decides when an entry requests a configuration from another entry.
 *
 * All entries follow the configuration store and learn of a new version within milliseconds of each
 * other. If each of them also pushed a large configuration (hundreds of kilobytes) to every entry
 * that has not reported it yet, a small host would receive and parse it a dozen times and serve no
 * requests meanwhile. Therefore an entry pulls the configuration, and only when the store has not
 * delivered the version in time.
 */
#ifndef GG_CONFIG_PULL_H
#define GG_CONFIG_PULL_H

#include <stdbool.h>
#include <stdint.h>

/* State of the requests of one entry. */
struct config_pull {
	int64_t apply_limit_us;	 /* time limit for a new version to be in force */
	int64_t behind_since_us; /* time at which a higher version was first seen; 0 while there is
				    none */
	int64_t last_request_us; /* time of the last request; 0 before the first */
};

/* Returns whether to request the configuration from one other entry now, and records the time of
 * the request if so. OWN_VERSION is the version in force, or 0 without one, in which case the
 * request does not wait for the store. HIGHEST_VERSION is the highest version that another entry
 * has reported. */
bool config_pull_due(struct config_pull *pull, uint64_t own_version, uint64_t highest_version,
		     int64_t now_us);

#endif
