/* Converts the rules of the configuration for the scheduler and the burn report. */
#ifndef GG_ENTRY_RULES_H
#define GG_ENTRY_RULES_H

#include <jansson.h>

#include "entry_board.h"

/* Applies the classes, teams and objectives of DOCUMENT, which must be a valid configuration. */
void entry_rules_apply(struct board *board, const json_t *document);

/* Returns the objectives of DOCUMENT, with default values for those that it does not contain. */
struct burn_objectives entry_rules_objectives(const json_t *document);

#endif
