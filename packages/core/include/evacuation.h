/*
 * The zones that the operator has evacuated: no task starts on a backend server there until the
 * zone is taken back.
 *
 * The operator's records lie in a log, so the set of evacuated zones is a function of the offset up
 * to which the log was read. That offset is the version of the set. A process may learn of sets
 * from the store, from other processes, late and in any order: the one with the highest version
 * holds.
 */
#ifndef GG_EVACUATION_H
#define GG_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/* Limit on the number of zones, many times that of a deployment: records may name zones
	 * that do not exist. */
	EVACUATED_ZONES_MAX = 256
};

struct evacuations {
	uint64_t version;     /* offset of the first record that is not contained; 0: unknown */
	uint64_t set_changes; /* incremented when a zone was added or removed */
	GPtrArray *zones;     /* char *, sorted by name */
};

void evacuations_init(struct evacuations *evacuations);
void evacuations_free(struct evacuations *evacuations);

/* Returns whether ZONE is evacuated. The empty name is not. */
bool evacuations_contains(const struct evacuations *evacuations, const char *zone);

/* Replaces the set by the COUNT names in ZONES if VERSION is higher than the present one. Returns
 * whether it is. Names may be listed twice. */
bool evacuations_replace(struct evacuations *evacuations, uint64_t version,
			 const char *const *zones, size_t count);

/* As evacuations_replace, for a list that may be incomplete: no zone is removed. */
bool evacuations_extend(struct evacuations *evacuations, uint64_t version, const char *const *zones,
			size_t count);

/* Applies the record at OFFSET, which evacuates ZONE or takes it back. A record that the set
 * contains already is ignored. */
void evacuations_apply(struct evacuations *evacuations, uint64_t offset, const char *zone,
		       bool evacuated);

/* Records that the set contains all records before VERSION. Returns whether the present version was
 * lower. */
bool evacuations_advance(struct evacuations *evacuations, uint64_t version);

/* Returns the names of the zones, separated by spaces. The caller frees the text. */
char *evacuations_format(const struct evacuations *evacuations);

#endif
