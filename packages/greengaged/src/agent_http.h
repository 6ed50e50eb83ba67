/* The agent's HTTP interface: announcements of the backend server, health, readiness, metrics. */
#ifndef GG_AGENT_HTTP_H
#define GG_AGENT_HTTP_H

#include "agent_board.h"

struct agent_http; /* opaque */

/* Starts the listener at the address of the settings. Returns STATUS_NETWORK if it cannot listen.
 */
enum status agent_http_start(struct agent_board *board, struct agent_http **http,
			     struct error *err);

/* Stops the listener and frees the queued commands. The dispatcher must no longer be running. */
void agent_http_stop(struct agent_http *http);

/* Executes the queued commands of the HTTP threads. Call only from the dispatcher thread. */
void agent_http_execute_commands(struct agent_board *board);

#endif
