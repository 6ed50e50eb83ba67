/* Controller of the agents: Hello, epochs, heartbeats, silence, reconcile, loss. */
#ifndef GG_ENTRY_MEMBERS_H
#define GG_ENTRY_MEMBERS_H

#include "entry_board.h"

/* Fills the common header of ENVELOPE but for what concerns one agent. */
void entry_members_fill_header(struct board *board, Gg__Envelope *envelope, uint64_t epoch);

/* Sends ENVELOPE to AGENT with the channel's counters. STATUS_NETWORK: nothing was sent. */
enum status entry_members_send(struct board *board, struct agent *agent, Gg__Envelope *envelope);

/* Sends a heartbeat, which carries demand, consumed credits and the acknowledgement. */
void entry_members_send_heartbeat(struct board *board, struct agent *agent);

/* Sends the list of entries to every agent. */
void entry_members_send_welcomes(struct board *board);

/* Takes a message of the accepting socket. */
void entry_members_receive(struct board *board, const struct channel_route *route,
			   Gg__Envelope *envelope);

/* Sends heartbeats that are due and acts on silence. Called periodically. */
void entry_members_tick(struct board *board);

/* Moves the time at which each agent was last heard by PAUSE_US, for which this process was stopped
 * and could not hear it. */
void entry_members_exclude_pause(struct board *board, int64_t pause_us);

/* Returns all unused credits and says goodbye to every agent. */
void entry_members_send_goodbyes(struct board *board);

/* Returns unused credits of every agent, so that others can use its slots. */
void entry_members_return_credits(struct board *board);

/* Frees all agents. */
void entry_members_free(struct board *board);

#endif
