/* Handles client requests: routes them, submits jobs and sends the answers. */
#ifndef GG_NODE_CLIENTS_H
#define GG_NODE_CLIENTS_H

#include "node_entry.h"

/* Starts to listen for clients. Errors as net_listen. */
enum status node_clients_start(struct node_entry *entry, struct error *err);

/* Applies the HTTP limits of TABLE, which has just come into force, and handles the requests that
 * waited for the first configuration. */
void node_clients_apply_config(struct node_entry *entry, const struct route_table *table);

/* Refuses the requests that wait for the first configuration. */
void node_clients_refuse_pending(struct node_entry *entry);

/* Answers the client of an ended job, counts the job, and records its result for repeated requests.
 * The callback job_finished of struct dispatch_callbacks. CONTEXT is not used; JOB_CONTEXT is the
 * context that was submitted with the job. */
void node_clients_job_finished(void *context, const char *id, void *job_context,
			       const struct job_end *end);

#endif
