/* Controller of the channels to the agents: handshake, heartbeats, reconciliation after a
 * reconnect, and detection of lost agents. */
#ifndef GG_ENTRY_MEMBERS_H
#define GG_ENTRY_MEMBERS_H

#include "entry_board.h"

/* Fills the header fields of ENVELOPE that do not depend on the receiver: sender, time of sending
 * and configuration version. EPOCH is that of the connection. */
void entry_members_fill_header(struct board *board, Gg__Envelope *envelope, uint64_t epoch);

/* Sends ENVELOPE to AGENT with the demand and the counters of its link. Returns STATUS_NETWORK when
 * nothing was sent. */
enum status entry_members_send(struct board *board, struct agent *agent, Gg__Envelope *envelope);

/* Sends a heartbeat to AGENT. It carries the demand, the number of consumed credits and the
 * acknowledgement of results. */
void entry_members_send_heartbeat(struct board *board, struct agent *agent);

/* Sends the list of entries to every connected agent. */
void entry_members_send_welcomes(struct board *board);

/* Handles a message that was received on the accepting socket, from an agent or another entry. */
void entry_members_receive(struct board *board, const struct channel_route *route,
			   Gg__Envelope *envelope);

/* Sends heartbeats that are due, and disconnects, reconciles or declares lost the agents that are
 * silent for too long. Called periodically. */
void entry_members_tick(struct board *board);

/* Excludes PAUSE_US, a period in which this process was stopped and could not receive messages,
 * from the silence of each agent. */
void entry_members_exclude_pause(struct board *board, int64_t pause_us);

/* Sends a Goodbye to every connected agent. */
void entry_members_send_goodbyes(struct board *board);

/* Returns all unused credits to every connected agent, so that other entries can use its slots. */
void entry_members_return_credits(struct board *board);

/* Frees all agents. */
void entry_members_free(struct board *board);

#endif
