/* The configuration in force: followed in the store, and taken from other entries while the store
 * is away. */
#ifndef GG_NODE_CONFIG_H
#define GG_NODE_CONFIG_H

#include "net.h"
#include "routes.h"
#include "store.h"

struct node_config {
	struct net_loop *loop;
	struct store *store;
	struct route_table *table; /* NULL before the first configuration */
	GBytes *document;	   /* as it lies in the store */
	uint64_t next_offset;	   /* offset from which to read on */
	bool has_read_newest;	   /* the newest records have been read */
	struct handle
		first_read_timer; /* timer of the reads until the first answer; none afterwards */
	bool store_unavailable;
	void (*applied)(void *context, const struct route_table *table);
	void (*store_recovered)(void *context);
	void *context;
};

/* Starts to follow the store. */
void node_config_start(struct node_config *config);

/* Takes a document from SOURCE ("store" or a daemon's name). A version at or below the one in force
 * is ignored. Returns whether a configuration at least as new as the document is in force. */
bool node_config_apply(struct node_config *config, const char *text, size_t length,
		       const char *source);

/* Returns the version in force, 0 when there is none. */
uint64_t node_config_version(const struct node_config *config);

#endif
