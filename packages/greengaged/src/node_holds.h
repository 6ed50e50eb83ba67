/* The tasks that entries tell each other not to start. Agents serve only some of the entries, and a
 * client may send its job again to any.
 *
 * Load pattern: an agent ends just after it has sent a start that gets no answer, and so does the
 * entry that ordered it a little later. Only that entry knew of the start, which may still be
 * carried out. So an entry tells the others of its unsettled runs at the agents that it has lost,
 * too, and of what lost entries have told. */
#ifndef GG_NODE_HOLDS_H
#define GG_NODE_HOLDS_H

#include "node_entry.h"

/* What another entry has passed on. */
struct passed_holds;

/* Returns what ENTRY tells the others, as an array of Ggd__Holds *, which g_ptr_array_free frees.
 */
GPtrArray *node_holds_collect(const struct node_entry *entry);

/* Returns the record for a link of the entry process SENDER. What it has passed on before is
 * released by the first call of passed_holds_apply. */
struct passed_holds *passed_holds_new(struct node_entry *entry, const struct ident *sender);

/* Holds what the sender has told, and no more what it has told before. An agent that is connected
 * here speaks for itself, and sooner, until it is lost. */
void passed_holds_apply(struct passed_holds *passed, Ggd__Holds *const *holds, size_t count);

/* Holds what SENDER has told once, until it tells it over a link of its own, as after its loss. */
void passed_holds_apply_once(struct node_entry *entry, const struct ident *sender,
			     Ggd__Holds *const *holds, size_t count);

/* Holds TASKS, which are the last word of an entry that is lost now. */
void node_holds_add_abandoned(struct node_entry *entry, const struct hold_origin *origin,
			      const struct held_tasks *tasks);

/* Frees PASSED, because its link is down. What it holds is kept as long as runs may go on without
 * its sender's word, unless the sender returns or the agents settle it. */
void passed_holds_abandon(struct passed_holds *passed);

#endif
