/* The agent's side of config_relay.h: reads the configuration and the evacuated zones from the
 * store for entries that the store does not answer. */
#ifndef GG_NODE_CONFIG_RELAY_H
#define GG_NODE_CONFIG_RELAY_H

#include <stdint.h>

#include "evacuation.h"
#include "store.h"

/* Receives the answer to the request of ENTRY. VERSION is the newest version, 0 if the store did
 * not answer. DOCUMENT with LENGTH bytes, valid during the call, is NULL unless VERSION is higher
 * than the one in force at the entry. */
typedef void (*node_config_relay_callback)(void *context, uint32_t entry, uint64_t version,
					   const char *document, size_t length);

struct node_config_relay {
	struct store *store;
	struct evacuations *evacuations; /* of this process */
	/* Called before the answer when the version of the evacuated zones has risen by a read. */
	void (*evacuations_read)(void *context);
	node_config_relay_callback answer;
	void *context;
};

/* Reads the newest configuration for the entry with the number ENTRY. */
void node_config_relay_read(struct node_config_relay *relay, uint32_t entry,
			    uint64_t version_in_force);

#endif
