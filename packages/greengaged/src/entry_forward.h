/* Controller that passes requests to the entry that owns them, and serves those passed on by
 * others. */
#ifndef GG_ENTRY_FORWARD_H
#define GG_ENTRY_FORWARD_H

#include "entry_board.h"

void entry_forward_init(struct board *board);
void entry_forward_free(struct board *board);

/* Passes REQUEST to the entry OWNER, or refuses it with STATUS_OWNER_LOST or
 * STATUS_OWNER_UNREACHABLE, outcome "unknown". */
void entry_forward_to_owner(struct board *board, struct request *request,
			    const struct ident *owner);

/* Takes a request passed on by the entry ORIGIN. */
void entry_forward_receive(struct board *board, const struct ident *origin,
			   const Gg__Forward *forward);

/* Takes the owner's reply. */
void entry_forward_receive_reply(struct board *board, const Gg__ForwardReply *reply);

/* Fails what was passed to OWNER, whose incarnation ended. */
void entry_forward_fail_for_owner(struct board *board, const struct ident *owner);

/* Fails all that was passed on, for a forced stop. */
void entry_forward_fail_all(struct board *board);

#endif
