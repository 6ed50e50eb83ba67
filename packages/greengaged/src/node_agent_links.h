/* The entry's links to agents: sends orders and handles reports. */
#ifndef GG_NODE_AGENT_LINKS_H
#define GG_NODE_AGENT_LINKS_H

#include "node_entry.h"

/* Registers a link whose peer sent the hello message of an agent, and closes an older link of the
 * same process. Returns true, which keeps the link. */
bool node_agent_links_register(struct node_entry *entry, struct node_link *link,
			       const Ggd__Hello *hello);

/* The callbacks start_run and stop_run of the dispatcher. CONTEXT is not used; LINK is the
 * struct agent_peer that was given to the dispatcher with the server. */
uint64_t node_agent_links_start_run(void *context, void *link, const struct run_order *order);
void node_agent_links_stop_run(void *context, void *link, uint64_t run);

/* Sends the orders queued in this turn of the event loop. */
void node_agent_links_send_queued(struct node_entry *entry);

/* Requests an agent to read the configuration from the store, if that is due. Call at each tick
 * while the store does not answer the reads of this entry. */
void node_agent_links_request_config(struct node_entry *entry, int64_t now_us);

/* Orders the connected agents to stop all runs of this entry as those of a lost one: without a
 * further lease, and held until they are over. */
void node_agent_links_abandon_runs(struct node_entry *entry);

/* Counts the agents that are connected or were lost in silence. They count as silent after
 * SILENCE_US. */
void node_agent_links_census(const struct node_entry *entry, int64_t silence_us,
			     struct isolation_census *census);

/* Closes all links. Call after this process was frozen. */
void node_agent_links_close_all(struct node_entry *entry);

/* Frees what ENTRY knows of agents. Their links are not closed. */
void node_agent_links_free(struct node_entry *entry);

/* Counts the connected servers of each service. The counts go to the agents with their next orders.
 */
void node_agent_links_count_servers(struct node_entry *entry);

/* Returns the number of connected agents whose backend server accepts starts, or does so again when
 * its zone is taken back: an entry whose zones are all evacuated answers its requests at once. */
uint32_t node_agent_links_count_serving(const struct node_entry *entry);

/* Applies the evacuated zones to all servers. They go to the agents with the next orders, which are
 * due at once. Call when their version has risen. */
void node_agent_links_evacuations_changed(struct node_entry *entry);

/* An agent process, as far as others need to know what may go on at its server. */
struct agent_state {
	const struct ident *incarnation;
	const char *name;
	const char *server_id; /* empty while it is unknown */
	const struct hold_source *holds;
	struct handle server; /* its server in the dispatcher, or a zero handle */
	int64_t lost_us;      /* the end of its last connection; 0 while it is connected */
};

/* Calls VISIT for each agent that ENTRY knows. */
void node_agent_links_foreach(const struct node_entry *entry,
			      void (*visit)(void *context, const struct agent_state *agent),
			      void *context);

/* Returns the word of the agent process of INCARNATION, which has IDENT_BYTES, on what an entry
 * that has lost it at LOST_US had ordered from it. LOST_US is 0 if that entry hears it. */
enum agent_word node_agent_links_word(const struct node_entry *entry, const uint8_t *incarnation,
				      int64_t lost_us);

#endif
