/* Rules of the configuration in the form that the scheduler and the burn report take. */
#ifndef GG_ENTRY_RULES_H
#define GG_ENTRY_RULES_H

#include <jansson.h>

#include "entry_board.h"

/* Applies classes, teams and objectives of DOCUMENT, which is valid. */
void entry_rules_apply(struct board *board, const json_t *document);

/* Returns the objectives that DOCUMENT states, with defaults for what it leaves out. */
struct burn_objectives entry_rules_objectives(const json_t *document);

#endif
