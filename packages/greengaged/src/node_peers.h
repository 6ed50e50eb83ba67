/* The entry's links to other entries: each entry sends its state over the links that it dialled. */
#ifndef GG_NODE_PEERS_H
#define GG_NODE_PEERS_H

#include "node_entry.h"

/* The callback of the member list: another entry's address is known. */
void node_peers_add(void *context, const char *address);

/* A link whose peer greeted as an entry. Returns false to close it. */
bool node_peers_link_up(struct node_entry *entry, struct node_link *link, const Ggd__Hello *hello);

/* Dials what is due, and sends this entry's state. Call every 50 ms. */
void node_peers_tick(struct node_entry *entry, int64_t now_us);

/* Returns the number of waiting jobs of QUEUE at the other entries. */
uint32_t node_peers_count_pending(const struct node_entry *entry, const char *queue);

void node_peers_reset(struct node_entry *entry);

#endif
