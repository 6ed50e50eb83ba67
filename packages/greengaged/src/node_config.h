/* The configuration in force, which all entries share, and the evacuated zones. They are read from
 * the store, and received from other processes when the store does not deliver them. See
 * node_settings.h for the local settings. */
#ifndef GG_NODE_CONFIG_H
#define GG_NODE_CONFIG_H

#include "evacuation.h"
#include "net.h"
#include "routes.h"
#include "store.h"

struct node_config {
	struct net_loop *loop;
	struct store *store;
	struct route_table *table; /* NULL before the first configuration */
	GBytes *document;	   /* the configuration in force, as stored */
	struct evacuations *evacuations;
	int64_t apply_limit_ms; /* time limit for a new version to be in force */
	/* Starts reads of the newest version until one succeeds; of no effect after that. */
	struct handle newest_read_timer;
	int64_t newest_read_us; /* when such a read was last started; 0 before the first */
	/* Number of the present sequence of reads. A read of an earlier one does not continue. */
	uint32_t read_sequence;
	bool store_unavailable; /* the last read ended with STATUS_LOG_UNAVAILABLE */
	int64_t confirmed_us;	/* when the store last answered a read; 0 before the first answer */
	/* Called when a new configuration has come into force. */
	void (*applied)(void *context, const struct route_table *table);
	/* Called when the version of the evacuated zones has risen by a read. */
	void (*evacuations_read)(void *context);
	/* Called when the store answers again after a read that ended with STATUS_LOG_UNAVAILABLE.
	 */
	void (*store_recovered)(void *context);
	void *context;
};

/* Reads the newest version from the store, repeatedly until the store answers, and then waits there
 * for further versions. Replaces reads that are in progress. The caller must set `loop`, `store`,
 * `evacuations`, `apply_limit_ms`, the callbacks and their context before the first call. */
void node_config_read_newest(struct node_config *config);

/* Applies the document TEXT if its version is higher than the one in force. SOURCE names its origin
 * in the log: "store", or the name or address of an entry. Returns false when the document is
 * invalid, and true otherwise, also when its version is not higher. */
bool node_config_apply(struct node_config *config, const char *text, size_t length,
		       const char *source);

/* Records that the store has answered a read by another host with the version in force. */
void node_config_confirm(struct node_config *config);

/* Returns the version of the configuration in force, 0 when there is none. */
uint64_t node_config_version(const struct node_config *config);

/* Returns the time in milliseconds since the store last answered a read, -1 if it never has. Until
 * that answer, the version in force was the newest one; a change since then may be unknown here. */
int64_t node_config_unconfirmed_ms(const struct node_config *config);

#endif
