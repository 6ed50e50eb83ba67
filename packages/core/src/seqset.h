/* A set of sequence numbers greater than 0, efficient for numbers that are mostly dense. */
#ifndef GG_SEQSET_H
#define GG_SEQSET_H

#include <stdbool.h>
#include <stdint.h>

/* A set that is all zeros is empty. */
struct seqset {
	uint64_t *slots; /* hash table with open addressing, indexed by the low bits of a number; 0
			    marks a free slot */
	uint32_t count;
	uint32_t capacity; /* a power of two, or 0 */
};

void seqset_free(struct seqset *set);

/* Adds SEQ, which must not be in the set. */
void seqset_add(struct seqset *set, uint64_t seq);

bool seqset_contains(const struct seqset *set, uint64_t seq);

/* Removes SEQ. Returns whether it was in the set. */
bool seqset_remove(struct seqset *set, uint64_t seq);

#endif
