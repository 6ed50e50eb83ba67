/* Manages the connections to and from the other entries, and records which of their incarnations
 * have ended. */
#ifndef GG_ENTRY_PEERS_H
#define GG_ENTRY_PEERS_H

#include "entry_board.h"

enum owner_state {
	OWNER_REACHABLE,
	OWNER_UNREACHABLE, /* does not answer this entry but may still be running */
	OWNER_ENDED,
};

/* Connects to the peers in the settings. */
void entry_peers_init(struct board *board);
void entry_peers_free(struct board *board);

/* Returns the state of the entry INCARNATION. If the state is OWNER_REACHABLE, stores the peer
 * at PEER; otherwise the value at PEER must not be used. */
enum owner_state entry_peers_find_owner(struct board *board, const struct ident *incarnation,
					struct peer **peer);

/* Sends ENVELOPE on the connection to PEER. Returns STATUS_NETWORK when nothing was sent. */
enum status entry_peers_send(struct board *board, struct peer *peer, Gg__Envelope *envelope);

/* Sends ENVELOPE on the connection that the entry INCARNATION made to this one. Returns
 * STATUS_NETWORK when there is no such connection or nothing was sent. */
enum status entry_peers_send_on_inbound(struct board *board, const struct ident *incarnation,
					Gg__Envelope *envelope);

/* Handles a message that was received on the connection to PEER. */
void entry_peers_receive(struct board *board, struct peer *peer, Gg__Envelope *envelope);

/* Handles a message that was received on the accepting socket from SENDER, which is not a known
 * agent. */
void entry_peers_receive_inbound(struct board *board, const struct channel_route *route,
				 const struct ident *sender, Gg__Envelope *envelope);

/* Sends due heartbeats, reconnects to peers silent for channel.heartbeat_limit_ms, and removes
 * inbound channels silent for channel.entry_forget_ms. Called periodically. */
void entry_peers_tick(struct board *board);

/* Moves the time of the last message from each peer and inbound channel forward by PAUSE_US, for
 * which this process was suspended, so that the pause does not count as silence. */
void entry_peers_exclude_pause(struct board *board, int64_t pause_us);

/* Returns whether the incarnation of every peer is known. While the incarnation of a peer is
 * unknown, the peer may own sessions that this entry cannot attribute to it. */
bool entry_peers_all_known(const struct board *board);

/* Sends a Goodbye on the connection to each peer. */
void entry_peers_send_goodbyes(struct board *board);

#endif
