#include "subset.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

uint64_t subset_rank(const char *agent, const char *address)
{
	return XXH64(address, strlen(address), XXH64(agent, strlen(agent), 0));
}

void subset_select(struct subset_entry *entries, size_t count, uint32_t size)
{
	uint32_t reachable = 0;

	for (size_t i = 0; i < count; i++) {
		entries[i].selected = reachable < size;
		reachable += entries[i].selected && entries[i].reachable;
	}
}

uint32_t subset_size(uint32_t size, double servers, uint32_t entries)
{
	double target =
		servers > 0 ? ceil(size * SUBSET_MIN_SERVERS / servers) : SUBSET_MIN_ENTRIES;

	return (uint32_t)CLAMP(target, SUBSET_MIN_ENTRIES, MAX(entries, SUBSET_MIN_ENTRIES));
}

double subset_overlap(uint32_t entries)
{
	return entries > SUBSET_MIN_ENTRIES ? (double)SUBSET_MIN_ENTRIES / entries : 1.0;
}
