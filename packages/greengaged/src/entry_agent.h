/* Adds and removes rows of the agent table and updates them with the reported state of the backend
 * server. */
#ifndef GG_ENTRY_AGENT_H
#define GG_ENTRY_AGENT_H

#include "entry_board.h"

/* Adds a row for the agent INCARNATION, which sent HELLO. */
struct agent *entry_agent_add(struct board *board, const struct ident *incarnation,
			      const Gg__Hello *hello);

/* Returns the agent with INCARNATION, or NULL. */
struct agent *entry_agent_find(const struct board *board, const struct ident *incarnation);

/* Updates AGENT with the state of its backend server and passes changes on to the scheduler. If
 * INFO is NULL or has no server id, the agent reports no server, and no further starts are assigned
 * to AGENT. */
void entry_agent_update(struct board *board, struct agent *agent, const Gg__ServerInfo *info);

/* Removes the agent's server from the scheduler and marks the agent as not connected. The
 * outstanding starts of AGENT must have ended before. */
void entry_agent_detach(struct board *board, struct agent *agent);

/* Detaches AGENT and removes its row. */
void entry_agent_remove(struct board *board, struct agent *agent);

#endif
