/* The agent's connections to entries: epochs, heartbeats, replacement of silent ones, discovery. */
#ifndef GG_AGENT_PEER_H
#define GG_AGENT_PEER_H

#include "agent_board.h"

/* Adds the entry at ADDRESS and connects, unless the address is known. ADVERTISED is the
 * incarnation that another entry named for it; NULL for an address from the settings, which is
 * never forgotten. */
void agent_peer_add(struct agent_board *board, const char *address, const struct ident *advertised);

/* Closes all connections and frees the peers. */
void agent_peer_free_all(struct agent_board *board);

/* Receives and handles what is waiting on the connection, up to a bounded number of messages. */
void agent_peer_receive_messages(struct agent_board *board, struct agent_peer *peer);

/* Takes note of a connection that ended, as its monitor socket reports. */
void agent_peer_check_monitor(struct agent_board *board, struct agent_peer *peer);

/* Replaces broken and silent connections, and forgets entries after a long silence. */
void agent_peer_maintain(struct agent_board *board);

/* Returns when agent_peer_maintain is next needed for a broken connection, or INT64_MAX. */
int64_t agent_peer_next_reconnect_us(const struct agent_board *board);

/*
 * Sends ENVELOPE, whose body is set, with the header filled in. Returns false when the connection
 * cannot take it, in which case nothing was sent.
 */
bool agent_peer_send(struct agent_board *board, struct agent_peer *peer, Gg__Envelope *envelope);

/* Sends what is due to every entry: results, reclaims, changes and heartbeats. */
void agent_peer_send_pending(struct agent_board *board);

/* Sends Goodbye to every entry and lets it go out before the sockets close. */
void agent_peer_send_goodbyes(struct agent_board *board, const char *reason);

#endif
