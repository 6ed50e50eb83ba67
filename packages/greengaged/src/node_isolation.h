/* What an entry does that is cut off from everybody. */
#ifndef GG_NODE_ISOLATION_H
#define GG_NODE_ISOLATION_H

#include "node_entry.h"

/* Ends all jobs with outcome unknown once ENTRY is cut off from everybody. Call in each iteration
 * of the event loop, before tasks are started. */
void node_isolation_check(struct node_entry *entry);

/* Call at the start of ENTRY, and after it was frozen and has closed its links: it has heard nobody
 * since. */
void node_isolation_start(struct node_entry *entry);

#endif
