/*
 * Decides when an entry has an agent read the configuration from the store on its behalf.
 *
 * The store may refuse the calls of all entries while it serves the operator and other hosts. No
 * entry can then learn of a new version from another one (config_pull.h), but an agent may be able
 * to read it.
 */
#ifndef GG_CONFIG_RELAY_H
#define GG_CONFIG_RELAY_H

#include <stdbool.h>
#include <stdint.h>

/* State of the requests of one entry. */
struct config_relay {
	int64_t apply_limit_us;	 /* time limit for a new version to be in force */
	int64_t next_request_us; /* 0 before the first request */
	uint32_t unanswered;	 /* requests in a row that the store has not answered */
};

/* Returns whether to request the configuration from an agent now, and counts the request as
 * unanswered if so. The caller asks only while the store does not answer its own reads. */
bool config_relay_due(struct config_relay *relay, int64_t now_us);

/* The store has answered the read of an agent. */
void config_relay_answered(struct config_relay *relay, int64_t now_us);

#endif
