/* The entry's links to other entries. Each entry connects to all others and sends its state over
 * these connections. */
#ifndef GG_NODE_PEERS_H
#define GG_NODE_PEERS_H

#include "node_entry.h"

/* The callback of the member list for a new entry address. CONTEXT is the struct node_entry. */
void node_peers_add(void *context, const char *address);

/* Registers an accepted link whose peer sent the hello message of an entry. Returns false to close
 * it. */
bool node_peers_link_up(struct node_entry *entry, struct node_link *link, const Ggd__Hello *hello);

/* Makes the connection attempts that are due, sends this entry's state, requests a newer
 * configuration, and updates the backlog of the other entries. Call every 50 ms. */
void node_peers_tick(struct node_entry *entry, int64_t now_us);

/* Returns the number of queued jobs of QUEUE that have not started any task at the connected
 * entries, as last reported by them. */
uint32_t node_peers_count_pending(const struct node_entry *entry, const char *queue);

/* Closes all links. Call after this process was frozen. */
void node_peers_close_links(struct node_entry *entry);

#endif
