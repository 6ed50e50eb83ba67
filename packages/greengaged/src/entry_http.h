/* HTTP listener of the entry: limits, reading of requests, hand-over to the dispatcher, replies. */
#ifndef GG_ENTRY_HTTP_H
#define GG_ENTRY_HTTP_H

#include "entry_board.h"

struct http_listener; /* opaque */

/* Starts the listener; its threads post to BOARD. STATUS_NETWORK. */
enum status entry_http_start(struct board *board, struct http_listener **http, struct error *err);

/* Closes the listener and waits for its threads. Every request that waits must be answered. */
void entry_http_stop(struct http_listener *http);

#endif
