/* The entry's links to other entries. Each entry connects to all others and sends its state over
 * these connections. */
#ifndef GG_NODE_PEERS_H
#define GG_NODE_PEERS_H

#include "node_entry.h"

/* Adds the entry at ADDRESS and makes a connection attempt due at once. The callback address_added
 * of struct node_members; CONTEXT is the struct node_entry. */
void node_peers_add(void *context, const char *address);

/* Registers LINK, an accepted link whose peer is an entry according to HELLO. Always returns true,
 * so that the link is kept. */
bool node_peers_link_up(struct node_entry *entry, struct node_link *link, const Ggd__Hello *hello);

/* Starts no tasks until each entry to which this one is connected, or to which it makes its first
 * attempt to connect, has told which tasks it holds or can't be reached: 250 ms at most. Call after
 * the start of this process, and before node_peers_close_links. */
void node_peers_await_holds(struct node_entry *entry);

/* Makes the connection attempts that are due, sends this entry's state, requests a newer
 * configuration, and passes the backlog of the other entries to the dispatcher. Call every 50 ms.
 */
void node_peers_tick(struct node_entry *entry, int64_t now_us);

/* Sends this entry's state to the entries that do not know yet of the agents that it has lost. Call
 * every few milliseconds: this process may end, too. */
void node_peers_tell_lost_agents(struct node_entry *entry, int64_t now_us);

/* Tells this entry's witnesses of the runs that were ordered in this turn of the event loop. Call
 * before the orders are sent. What is settled waits for the next of them, or for the next tick. */
void node_peers_send_run_records(struct node_entry *entry);

/* Returns how many jobs of QUEUE at other entries have not started any task, according to the last
 * state of each entry that has connected to this one. */
uint32_t node_peers_count_pending(const struct node_entry *entry, const char *queue);

/* Counts the entries to which this one is connected or which it has lost in silence. They count as
 * silent after SILENCE_US. */
void node_peers_census(const struct node_entry *entry, int64_t silence_us,
		       struct isolation_census *census);

/* Closes all links and makes new connection attempts due at once. Call after this process was
 * frozen. */
void node_peers_close_links(struct node_entry *entry);

#endif
