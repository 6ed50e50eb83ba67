/* Reloads the settings file of a running process after SIGHUP or when its modification time
 * changes. */
#ifndef GG_NODE_RELOAD_H
#define GG_NODE_RELOAD_H

#include "node_members.h"
#include "node_settings.h"

struct node_reload {
	const char *file;
	struct node_members *members;
	int64_t last_modified_ns; /* the file's modification time at the last read; 0 if unknown */
};

/* Starts to check the modification time of FILE every two seconds. FILE must outlive RELOAD. */
void node_reload_start(struct node_reload *reload, struct net_loop *loop, const char *file,
		       struct node_members *members);

/*
 * Reads the file again. New seeds are added at once; changes of other settings take effect at the
 * next start. An invalid file changes nothing. The result is logged.
 */
void node_reload_now(struct node_reload *reload);

#endif
