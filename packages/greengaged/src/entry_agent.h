/* The row of an agent: creation, what it says of its backend server, removal. */
#ifndef GG_ENTRY_AGENT_H
#define GG_ENTRY_AGENT_H

#include "entry_board.h"

/* Adds a row for the incarnation that sent HELLO. */
struct agent *entry_agent_add(struct board *board, const struct ident *incarnation,
			      const Gg__Hello *hello);

/* Finds an agent by incarnation, or returns NULL. */
struct agent *entry_agent_find(const struct board *board, const struct ident *incarnation);

/* Takes what the agent says of its backend server; INFO may be NULL. Tells the scheduler of
 * changes. */
void entry_agent_update(struct board *board, struct agent *agent, const Gg__ServerInfo *info);

/* Takes the agent out of the scheduler; its outstanding starts must have been finished. */
void entry_agent_detach(struct board *board, struct agent *agent);

/* Removes the row. */
void entry_agent_remove(struct board *board, struct agent *agent);

#endif
