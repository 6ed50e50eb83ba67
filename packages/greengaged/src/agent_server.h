/* The backend server of the agent process in agent.c: its announcement and expiry, the slots that
 * the configuration allows, and its health. */
#ifndef GG_AGENT_SERVER_H
#define GG_AGENT_SERVER_H

#include "agent_board.h"

enum {
	/* New starts must stop within 3 s after the last announcement of a server. */
	AGENT_TTL_MAX_MS = 3000,
};

/* Parses an announcement. If it is invalid, returns STATUS_INVALID_REQUEST with a message that
 * names the field and the accepted values, and leaves ANNOUNCEMENT empty. */
enum status agent_announcement_parse(const json_t *body, struct agent_announcement *announcement,
				     struct error *err);

/* Frees the members of ANNOUNCEMENT and zeroes it. */
void agent_announcement_clear(struct agent_announcement *announcement);

void agent_server_init(struct agent_board *board);
void agent_server_free(struct agent_board *board);

/* Applies a new or repeated announcement and takes ownership of its members. */
void agent_server_announce(struct agent_board *board, struct agent_announcement *announcement);

/* Withdraws the server's announcement: no new starts are accepted, running tasks finish. Has no
 * effect if no server is present. */
void agent_server_withdraw(struct agent_board *board);

/* Records the result of a call for the server's health. */
void agent_server_record_result(struct agent_board *board, bool success);

/* Recomputes the usable slots, updates the gate, and schedules messages to the entries if anything
 * changed. */
void agent_server_refresh(struct agent_board *board);

/* Returns whether a server is announced and the agent is not shutting down. Quarantine and usable
 * slots are not considered. */
bool agent_server_is_available(const struct agent_board *board);

#endif
