/* The evacuated zones as a process learns of them: from the operator's records in the store and
 * from the messages of other processes. Changes of the set are logged. */
#ifndef GG_NODE_EVACUATIONS_H
#define GG_NODE_EVACUATIONS_H

#include "dispatch.pb-c.h"
#include "evacuation.h"
#include "store.h"

/* Apply the result of a successful store_read_newest, or store_read, of STORE_TOPIC_OPERATOR.
 * Return whether the version is higher than before. */
bool node_evacuations_apply_newest(struct evacuations *evacuations,
				   const struct store_result *result);
bool node_evacuations_apply_records(struct evacuations *evacuations,
				    const struct store_result *result);

/* Applies MESSAGE, which may be NULL. Returns whether the version is higher than before. A message
 * with too many zones, or with a name that is too long, is ignored. SOURCE names the sender in the
 * log. */
bool node_evacuations_receive(struct evacuations *evacuations, const Ggd__Evacuations *message,
			      const char *source);

/* Returns the version and the zones as JSON text, which the caller frees with free(). Bytes of a
 * name that are not UTF-8 are replaced. */
char *node_evacuations_to_json(const struct evacuations *evacuations);

/* Sets the fields of MESSAGE, which borrows the names. */
void node_evacuations_fill(const struct evacuations *evacuations, Ggd__Evacuations *message);

#endif
