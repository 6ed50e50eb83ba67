/* The backend server behind the agent: announcement, expiry, capacity by configuration, health. */
#ifndef GG_AGENT_SERVER_H
#define GG_AGENT_SERVER_H

#include "agent_board.h"

enum {
	/* New work must stop within 3 s of a server's silence. */
	AGENT_TTL_MAX_MS = 3000,
};

/* Reads an announcement from JSON. STATUS_INVALID_REQUEST names the field and what is accepted. */
enum status agent_announcement_parse(const json_t *body, struct agent_announcement *announcement,
				     struct error *err);

/* Frees the members. */
void agent_announcement_clear(struct agent_announcement *announcement);

void agent_server_init(struct agent_board *board);
void agent_server_free(struct agent_board *board);

/* Takes a new or repeated announcement, whose members are taken over. */
void agent_server_announce(struct agent_board *board, struct agent_announcement *announcement);

/* The server withdraws: no new work; running tasks finish. */
void agent_server_leave(struct agent_board *board);

/* Records the end of a call for the server's health. */
void agent_server_result(struct agent_board *board, bool success);

/* Recomputes the usable slots, sets the gate accordingly and has the entries told of changes. */
void agent_server_refresh(struct agent_board *board);

/* Returns whether new work is accepted. */
bool agent_server_is_open(const struct agent_board *board);

#endif
