/* Controller of the other entries: connections to and from them, and which incarnations live. */
#ifndef GG_ENTRY_PEERS_H
#define GG_ENTRY_PEERS_H

#include "entry_board.h"

enum owner_state {
	OWNER_REACHABLE,
	OWNER_UNREACHABLE, /* it may live, but does not answer this entry */
	OWNER_ENDED,
};

/* Connects to the peers in the settings. */
void entry_peers_init(struct board *board);
void entry_peers_free(struct board *board);

/* Finds where a request for the entry INCARNATION goes; PEER is set for OWNER_REACHABLE. */
enum owner_state entry_peers_find_owner(struct board *board, const struct ident *incarnation,
					struct peer **peer);

/* Sends ENVELOPE on the connection to PEER. STATUS_NETWORK. */
enum status entry_peers_send(struct board *board, struct peer *peer, Gg__Envelope *envelope);

/* Sends ENVELOPE on the connection that the entry INCARNATION made. STATUS_NETWORK. */
enum status entry_peers_send_inbound(struct board *board, const struct ident *incarnation,
				     Gg__Envelope *envelope);

/* Takes a message from the connection to PEER. */
void entry_peers_receive(struct board *board, struct peer *peer, Gg__Envelope *envelope);

/* Takes a message of a sender that is no agent from the accepting socket. */
void entry_peers_receive_inbound(struct board *board, const struct channel_route *route,
				 const struct ident *sender, Gg__Envelope *envelope);

/* Sends heartbeats that are due and replaces silent connections. Called periodically. */
void entry_peers_tick(struct board *board);

/* As entry_members_exclude_pause, for the other entries. */
void entry_peers_exclude_pause(struct board *board, int64_t pause_us);

/* Returns whether every peer answered once, so that owners can be told apart from lost ones. */
bool entry_peers_all_known(const struct board *board);

void entry_peers_send_goodbyes(struct board *board);

#endif
