/* The entry's links to agents: orders out, reports in. */
#ifndef GG_NODE_AGENTS_H
#define GG_NODE_AGENTS_H

#include "node_entry.h"

/* A link whose peer greeted as an agent. Returns false to close it. */
bool node_agents_link_up(struct node_entry *entry, struct node_link *link, const Ggd__Hello *hello);

/* Callbacks of the dispatcher. */
uint64_t node_agents_start_run(void *context, void *link, const struct run_order *order);
void node_agents_stop_run(void *context, void *link, uint64_t run);

/* Sends the orders of this turn. */
void node_agents_flush(struct node_entry *entry);

/* Closes all links, as after a freeze. */
void node_agents_reset(struct node_entry *entry);

/* Counts the servers of each service, which agents are told with their next orders. */
void node_agents_count_servers(struct node_entry *entry);

/* Returns the number of agents whose backend server takes starts. */
uint32_t node_agents_count_ready(const struct node_entry *entry);

#endif
