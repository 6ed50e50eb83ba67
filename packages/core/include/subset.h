/*
 * Which entries an agent keeps links to.
 *
 * Load pattern: hundreds of hosts at their usual load. Each link costs both ends a heartbeat and
 * the news of free room; with a link between each of 55 entries and each of 240 agents, a small
 * entry host (0.09 of a core) spends its processor on them and answers late. So an agent chooses
 * some of the entries by rendezvous hashing: each entry gets about the same number of agents, and
 * an entry that comes or goes changes the choice of few.
 */
#ifndef GG_SUBSET_H
#define GG_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* Entries that an agent serves at least. The loss of a zone of five leaves it some twelve.
	 */
	SUBSET_MIN_ENTRIES = 16,
	/* Servers of a service that an entry should reach: enough to find free room at a usual load
	 * and to lose several at once. */
	SUBSET_MIN_SERVERS = 24,
};

struct subset_entry {
	bool reachable; /* answers, or has not been tried long enough to tell */
	bool selected;	/* chosen */
};

/* Returns the rank of the entry at ADDRESS for AGENT; the highest ranks are chosen. */
uint64_t subset_rank(const char *agent, const char *address);

/* Chooses from ENTRIES, COUNT of them by falling rank, the first SIZE that are reachable, and those
 * out of reach between them, which are tried on. */
void subset_select(struct subset_entry *entries, size_t count, uint32_t size);

/*
 * Returns how many of ENTRIES entries an agent should serve that serves SIZE now, when these reach
 * SERVERS servers of its service in the mean (0: not known).
 *
 * Load pattern: a service with few servers in a large fleet. Of eight servers, an entry would reach
 * two or three, or none.
 */
uint32_t subset_size(uint32_t size, double servers, uint32_t entries);

/* Returns the share of a server's work that one of ENTRIES entries competes with, on average. */
double subset_overlap(uint32_t entries);

#endif
