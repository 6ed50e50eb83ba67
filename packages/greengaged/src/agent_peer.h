/* The agent's connections to entries: epochs, heartbeats, reconnection and discovery. */
#ifndef GG_AGENT_PEER_H
#define GG_AGENT_PEER_H

#include "agent_board.h"

/* Adds the entry at ADDRESS and connects to it, unless the address is already in the list or the
 * list is full. ADVERTISED is the incarnation that another entry reported for the address; NULL
 * marks an address from the settings, which is never removed. */
void agent_peer_add(struct agent_board *board, const char *address, const struct ident *advertised);

/* Closes all connections and frees the peers. */
void agent_peer_free_all(struct agent_board *board);

/* Receives and handles the messages that have arrived on the connection, up to a fixed number. */
void agent_peer_receive_messages(struct agent_board *board, struct agent_peer *peer);

/* Closes the connection and marks it as disconnected if the monitor socket has reported its end. */
void agent_peer_check_monitor(struct agent_board *board, struct agent_peer *peer);

/* Replaces broken and silent connections. Discards the state of entries that have been silent for
 * too long, and removes those whose address is not from the settings. */
void agent_peer_maintain(struct agent_board *board);

/* Returns the time, by timer_clock_us, at which the next broken connection is due to be replaced,
 * or INT64_MAX when none is broken. */
int64_t agent_peer_next_reconnect_us(const struct agent_board *board);

/*
 * Fills in the header of ENVELOPE, whose body must be set, and sends it. Returns false, without
 * having sent anything, when the connection is broken or cannot accept the message.
 */
bool agent_peer_send(struct agent_board *board, struct agent_peer *peer, Gg__Envelope *envelope);

/* Sends every connected entry its new results, credit reclaims, state changes and due heartbeats.
 */
void agent_peer_send_pending(struct agent_board *board);

/* Sends a Goodbye to every connected entry. The later termination of the ZeroMQ context waits for
 * their transmission for a limited time. */
void agent_peer_send_goodbyes(struct agent_board *board, const char *reason);

#endif
