/* Manages the channels to the agents: handshake, heartbeats, reconciliation after a reconnect, and
 * detection of lost agents. */
#ifndef GG_ENTRY_MEMBERS_H
#define GG_ENTRY_MEMBERS_H

#include "entry_board.h"

/* Fills the header fields that every message has: sender, epoch, time of sending and configuration
 * version. EPOCH is the epoch of the connection. */
void entry_members_fill_header(struct board *board, Gg__Envelope *envelope, uint64_t epoch);

/* Sends ENVELOPE to AGENT with the demand, the consumed credits and the acknowledgement of results.
 * Returns STATUS_NETWORK when nothing was sent. */
enum status entry_members_send(struct board *board, struct agent *agent, Gg__Envelope *envelope);

/* Sends a heartbeat to AGENT. Like every message to an agent, it carries the demand, the consumed
 * credits and the acknowledgement of results. */
void entry_members_send_heartbeat(struct board *board, struct agent *agent);

/* Sends a Welcome with the current list of entries to every connected agent. */
void entry_members_send_welcomes(struct board *board);

/* Handles a message that was received on the accepting socket, from an agent or another entry. */
void entry_members_receive(struct board *board, const struct channel_route *route,
			   Gg__Envelope *envelope);

/* Sends due heartbeats. Marks silent agents as disconnected, then as lost, and removes lost ones
 * after one day. Reconciles again when a start is overdue or a Reconcile was not answered. Called
 * periodically. */
void entry_members_tick(struct board *board);

/* Moves the time of the last message from each agent forward by PAUSE_US, for which this process
 * was suspended, so that the pause does not count as silence. */
void entry_members_exclude_pause(struct board *board, int64_t pause_us);

/* Sends a Goodbye to every connected agent. */
void entry_members_send_goodbyes(struct board *board);

/* Returns the unused credits of every connected agent, so that other entries can use the agents'
 * slots. */
void entry_members_return_credits(struct board *board);

/* Frees all agents. */
void entry_members_free(struct board *board);

#endif
