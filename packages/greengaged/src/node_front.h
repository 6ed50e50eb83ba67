/* Clients' requests: routing, submission, answers. */
#ifndef GG_NODE_FRONT_H
#define GG_NODE_FRONT_H

#include "node_entry.h"

/* Listens for clients. Errors as net_listen. */
enum status node_front_start(struct node_entry *entry, struct error *err);

/* Limits of the configuration in force. */
void node_front_apply_config(struct node_entry *entry, const struct route_table *table);

/* The callback `finished` of the dispatcher. */
void node_front_job_finished(void *context, const char *id, void *job_context,
			     const struct job_end *end);

#endif
