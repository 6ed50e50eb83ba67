/* A set of sequence numbers above 0, for numbers that are mostly dense. */
#ifndef GG_SEQSET_H
#define GG_SEQSET_H

#include <stdbool.h>
#include <stdint.h>

/* A zeroed set is empty. */
struct seqset {
	uint64_t *slots; /* open-addressed by the number's low bits; 0 marks a free place */
	uint32_t count;
	uint32_t capacity; /* a power of two, or 0 */
};

void seqset_free(struct seqset *set);

/* Adds SEQ, which must not be in the set. */
void seqset_add(struct seqset *set, uint64_t seq);

bool seqset_contains(const struct seqset *set, uint64_t seq);

/* Removes SEQ. Returns false when it is not in the set. */
bool seqset_remove(struct seqset *set, uint64_t seq);

#endif
