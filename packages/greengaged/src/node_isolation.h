/* What an entry does that is cut off from everybody, or with some agents from the platform. */
#ifndef GG_NODE_ISOLATION_H
#define GG_NODE_ISOLATION_H

#include "node_entry.h"

/* Ends all jobs with outcome unknown once ENTRY is cut off. Call in each iteration of the event
 * loop, before tasks are started. */
void node_isolation_check(struct node_entry *entry);

/* Call at the start of ENTRY, and after it was frozen and has closed its links: it has heard nobody
 * since. */
void node_isolation_start(struct node_entry *entry);

/* The store has answered a probe that was sent at SENT_US. CONTEXT is the struct node_entry. */
void node_isolation_probe_answered(void *context, int64_t sent_us);

#endif
