/* The agent's HTTP interface: announcements of the backend server, health, readiness, metrics. */
#ifndef GG_AGENT_HTTP_H
#define GG_AGENT_HTTP_H

#include "agent_board.h"

struct agent_http; /* opaque */

/* Starts the listener at the address of the settings. STATUS_NETWORK. */
enum status agent_http_start(struct agent_board *board, struct agent_http **http,
			     struct error *err);

/* Stops the listener. The dispatcher must not be in use any more; commands still queued are
 * released. */
void agent_http_stop(struct agent_http *http);

/* Carries out the commands of HTTP threads. Dispatcher thread. */
void agent_http_commands(struct agent_board *board);

#endif
