#include "seqset.h"

#include <glib.h>

enum {
	INITIAL_CAPACITY = 16
};

static void insert(struct seqset *set, uint64_t seq)
{
	uint32_t mask = set->capacity - 1;
	uint32_t i = (uint32_t)seq & mask;

	while (set->slots[i] != 0)
		i = (i + 1) & mask;
	set->slots[i] = seq;
}

static void grow(struct seqset *set)
{
	uint64_t *old = set->slots;
	uint32_t old_capacity = set->capacity;

	set->capacity = old_capacity ? old_capacity * 2 : INITIAL_CAPACITY;
	set->slots = g_new0(uint64_t, set->capacity);
	for (uint32_t i = 0; i < old_capacity; i++) {
		if (old[i] != 0)
			insert(set, old[i]);
	}
	g_free(old);
}

/* Returns the index of SEQ, or the capacity when it is not in the set. */
static uint32_t find(const struct seqset *set, uint64_t seq)
{
	uint32_t mask = set->capacity - 1;

	if (seq == 0 || set->count == 0)
		return set->capacity;
	for (uint32_t i = (uint32_t)seq & mask; set->slots[i] != 0; i = (i + 1) & mask) {
		if (set->slots[i] == seq)
			return i;
	}
	return set->capacity;
}

void seqset_free(struct seqset *set)
{
	g_free(set->slots);
	*set = (struct seqset){0};
}

void seqset_add(struct seqset *set, uint64_t seq)
{
	/* A load factor of at most 3/4 keeps probe sequences short. */
	if ((uint64_t)set->count * 4 >= (uint64_t)set->capacity * 3)
		grow(set);
	insert(set, seq);
	set->count++;
}

bool seqset_contains(const struct seqset *set, uint64_t seq)
{
	return find(set, seq) < set->capacity;
}

bool seqset_remove(struct seqset *set, uint64_t seq)
{
	uint32_t mask = set->capacity - 1;
	uint32_t hole = find(set, seq);

	if (hole == set->capacity)
		return false;
	/* Shifts later entries of the probe sequence back, so that no search stops at the hole. */
	for (uint32_t i = (hole + 1) & mask; set->slots[i] != 0; i = (i + 1) & mask) {
		uint32_t home = (uint32_t)set->slots[i] & mask;

		if (((i - home) & mask) < ((i - hole) & mask))
			continue;
		set->slots[hole] = set->slots[i];
		hole = i;
	}
	set->slots[hole] = 0;
	set->count--;
	return true;
}
