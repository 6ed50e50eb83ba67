/* Controller that asks the other entries for a key while the log service is not available. */
#ifndef GG_ENTRY_ASK_H
#define GG_ENTRY_ASK_H

#include "entry_board.h"

void entry_ask_init(struct board *board);
void entry_ask_free(struct board *board);

/*
 * Answers the submission REQUEST by a key that this entry does not hold and cannot claim. It goes
 * to the entry that holds the key, if one does. Otherwise it is refused with
 * STATUS_LOG_UNAVAILABLE within claims.wait_ms: outcome "not_run" when every entry that may have
 * claimed the key without this one knowing it says that it does not hold it, else "unknown".
 */
void entry_ask_others(struct board *board, struct request *request);

/* Takes a reply; one that belongs to no question is ignored. */
void entry_ask_receive_reply(struct board *board, const Gg__ForwardReply *reply);

/* Refuses all requests under question, for a forced stop. */
void entry_ask_fail_all(struct board *board);

#endif
