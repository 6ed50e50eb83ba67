/* Queries the other entries for the owner of a key while the log service is not available. */
#ifndef GG_ENTRY_KEY_QUERY_H
#define GG_ENTRY_KEY_QUERY_H

#include "entry_board.h"

/* Create and free the tables of queries. */
void entry_key_query_init(struct board *board);
void entry_key_query_free(struct board *board);

/*
 * Handles the submission REQUEST, whose key this entry neither owns nor can claim. The request is
 * forwarded to the entry that owns the key, if there is one. Otherwise it is refused within
 * claims.wait_ms with STATUS_LOG_UNAVAILABLE. The outcome is "not_run" if it is certain that no
 * entry owns the key, and "unknown" otherwise. It is certain only if every peer replies that it
 * does not own the key, and if no entry that has ended can have claimed the key after this entry
 * last read the claims stream to its end.
 */
void entry_key_query_others(struct board *board, struct request *request);

/* Handles the reply to a query. A reply that matches no pending query is ignored. */
void entry_key_query_receive_reply(struct board *board, const Gg__ForwardReply *reply);

/* Refuses all requests that wait for queries. Called when the shutdown is forced. */
void entry_key_query_refuse_all(struct board *board);

#endif
