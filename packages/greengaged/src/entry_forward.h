/* Forwards requests to the entry that owns them, and runs requests that other entries forwarded to
 * this one. */
#ifndef GG_ENTRY_FORWARD_H
#define GG_ENTRY_FORWARD_H

#include "entry_board.h"

void entry_forward_init(struct board *board);
void entry_forward_free(struct board *board);

/* Forwards REQUEST to the entry OWNER. Refuses it with STATUS_OWNER_LOST when OWNER has ended, or
 * when REQUEST was forwarded already, and with STATUS_OWNER_UNREACHABLE when OWNER does not answer;
 * the outcome is "unknown" in both cases. */
void entry_forward_to_owner(struct board *board, struct request *request,
			    const struct ident *owner);

/* Handles a request that the entry ORIGIN forwarded. The request is parsed on a pool thread and
 * then run on the dispatcher thread. */
void entry_forward_receive(struct board *board, const struct ident *origin,
			   const Gg__Forward *forward);

/* Finishes the forwarded request that REPLY belongs to. A reply to no forwarded request is passed
 * to entry_key_query, as the replies to its queries have the same message type. */
void entry_forward_receive_reply(struct board *board, const Gg__ForwardReply *reply);

/* Refuses every request forwarded to OWNER, whose incarnation has ended. */
void entry_forward_fail_for_owner(struct board *board, const struct ident *owner);

/* Refuses every forwarded request without a reply. Called for a forced shutdown. */
void entry_forward_fail_all(struct board *board);

#endif
