/* Follows the settings file of a running process: after SIGHUP, and when the file changes without
 * one. */
#ifndef GG_NODE_RELOAD_H
#define GG_NODE_RELOAD_H

#include "node_members.h"
#include "node_settings.h"

struct node_reload {
	const char *file;
	struct node_members *members;
	int64_t last_modified_ns; /* modification time of the file as last read */
};

/* Begins to look at FILE every two seconds. */
void node_reload_start(struct node_reload *reload, struct net_loop *loop, const char *file,
		       struct node_members *members);

/*
 * Reads the file again. New seeds are used at once; other settings hold until the next start. A
 * file that is not valid changes nothing. Each outcome is logged.
 */
void node_reload_now(struct node_reload *reload);

#endif
