/*
 * Selection of the entries that an agent keeps links to.
 *
 * Load pattern: hundreds of hosts at their usual load. Each link costs both ends heartbeats and
 * reports of free resources. With a full mesh of 55 entries and 240 agents, a small entry host
 * (0.09 of a core) spends its processor time on them and answers late. So each agent selects some
 * of the entries by rendezvous hashing: each entry gets about the same number of agents, and an
 * entry that joins or leaves changes the selection of few agents.
 */
#ifndef GG_SUBSET_H
#define GG_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* Smallest number of entries that an agent serves. About 12 of them remain when one of five
	 * zones is lost. */
	SUBSET_MIN_ENTRIES = 16,
	/* Servers of a service that an entry should reach: enough to find free resources at the
	 * usual load and to tolerate the loss of several at once. */
	SUBSET_MIN_SERVERS = 24,
};

struct subset_entry {
	bool reachable; /* answers, or has not been tried long enough to decide */
	bool selected;	/* result of subset_select */
};

/* Returns the rank of the entry at ADDRESS for AGENT. An agent selects the entries with the highest
 * ranks. */
uint64_t subset_rank(const char *agent, const char *address);

/* Selects the first SIZE reachable entries of ENTRIES, which holds COUNT entries in descending
 * order of rank. Unreachable entries that rank before the last of these are selected too, so that
 * connection attempts to them continue. */
void subset_select(struct subset_entry *entries, size_t count, uint32_t size);

/*
 * Returns how many of ENTRIES entries an agent should serve. It serves SIZE of them now, and these
 * reach SERVERS servers of its service on average (0 while unknown). The result is at least
 * SUBSET_MIN_ENTRIES, also when there are fewer entries.
 *
 * Load pattern: a service with few servers in a large fleet. With a fixed number, an entry would
 * reach only two or three of eight servers, or none.
 */
uint32_t subset_size(uint32_t size, double servers, uint32_t entries);

/* Returns the average fraction of another entry's work that competes for the same servers as one
 * entry's own work, with ENTRIES entries in total. */
double subset_overlap(uint32_t entries);

#endif
