/* What entries tell each other of the runs that they have ordered.
 *
 * Load pattern: a host is suspended with an agent and its server, and the entry that has ordered
 * runs there ends, freezes or is cut off as well. Its clients send their jobs again, and the runs
 * go on when the host wakes up. So each entry tells two others, its witnesses, of each run. When a
 * witness loses the entry, it holds the tasks of its runs at the agents that it does not hear. */
#ifndef GG_NODE_RUN_RECORDS_H
#define GG_NODE_RUN_RECORDS_H

#include "node_agent_links.h"
#include "node_entry.h"

/* ---- sender ---- */

/* Records that a run was ordered from AGENT, or that the run of a task is settled. */
void node_run_records_ordered(struct node_entry *entry, const struct agent_state *agent,
			      const struct run_order *order);
void node_run_records_settled(struct node_entry *entry, const char *job, uint32_t index);

/* Returns whether runs were ordered since the last call of node_run_records_take. */
bool node_run_records_urgent(const struct node_entry *entry);

/* Returns what was recorded since the last call, as an array of Ggd__RunRecord *, which
 * g_ptr_array_free frees, or NULL if that is nothing. */
GPtrArray *node_run_records_take(struct node_entry *entry);

/* Returns all unsettled runs in the same form. */
GPtrArray *node_run_records_collect(const struct node_entry *entry);

/* ---- witness ---- */

/* The unsettled runs of another entry. */
struct run_records;

/* Returns the record for a link of the entry process SENDER. */
struct run_records *run_records_new(struct node_entry *entry, const struct ident *sender);

void run_records_apply(struct run_records *records, const Ggd__RunRecords *message);

/* Frees RECORDS, because the link is down. Their tasks are held as long as those that the sender
 * has passed on (passed_holds_abandon). */
void run_records_abandon(struct run_records *records);

#endif
