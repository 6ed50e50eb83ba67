/* Queries the other entries for the holder of a key while the log service is not available. */
#ifndef GG_ENTRY_ASK_H
#define GG_ENTRY_ASK_H

#include "entry_board.h"

/* Creates and frees the tables of queries. */
void entry_ask_init(struct board *board);
void entry_ask_free(struct board *board);

/* Handles the submission REQUEST, whose key this entry neither holds nor can claim. The request is
 * forwarded to the entry that holds the key, if there is one. Otherwise it is refused within
 * claims.wait_ms with STATUS_LOG_UNAVAILABLE. The outcome is "not_run" if every entry that may have
 * claimed the key without this entry having read the claim replies that it does not hold the key,
 * and "unknown" otherwise.
 */
void entry_ask_others(struct board *board, struct request *request);

/* Handles the reply to a query. A reply that matches no pending query is ignored. */
void entry_ask_receive_reply(struct board *board, const Gg__ForwardReply *reply);

/* Refuses all requests that wait for queries. Called when the shutdown is forced. */
void entry_ask_refuse_all(struct board *board);

#endif
