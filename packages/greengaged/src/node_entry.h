/* The entry: accepts jobs from clients and sends agents orders to run their tasks. All its modules
 * work on one struct node_entry. Calls go from node_clients to dispatch (packages/core) to
 * node_agent_links; results come back through callbacks. */
#ifndef GG_NODE_ENTRY_H
#define GG_NODE_ENTRY_H

#include "config_pull.h"
#include "config_relay.h"
#include "daemon_defs.h"
#include "dispatch.h"
#include "ended_jobs.h"
#include "http_server.h"
#include "isolation.h"
#include "node_config.h"
#include "node_link.h"
#include "node_members.h"
#include "node_reload.h"
#include "node_settings.h"
#include "node_signals.h"
#include "store_probe.h"

struct node_entry {
	struct net_loop loop;
	const struct node_settings *settings;
	char *own_address; /* address at which other daemons connect to this entry */
	struct store *store;
	struct store_probe *store_probe;
	struct node_signals signals;
	struct node_config config;
	struct evacuations evacuations;
	struct config_pull config_pull;
	struct config_relay config_relay;
	uint32_t config_relay_agent; /* index in `agents` of the one that reads the configuration */
	struct node_members members;
	struct node_reload reload;
	struct node_links links;
	struct isolation isolation;
	struct partition partition;
	int64_t census_us; /* when the silent agents and entries were last counted */
	struct net_listener *listener;
	struct dispatch dispatch;
	uint64_t logged_suspicions; /* bulkhead.changes when the suspects were last logged */
	struct ended_jobs ended_jobs;
	struct http_server *client_server;
	struct http_server *readiness_server; /* probes of the load balancer, and metrics */
	GPtrArray *agents;		      /* struct agent_peer * */
	GPtrArray *passed_holds; /* struct passed_holds * of the incoming links; NULL if none */
	GPtrArray *run_changes;	 /* Ggd__RunRecord *, to be sent to the witnesses; NULL if none */
	bool runs_ordered;	 /* some of them are of runs that were ordered */
	uint64_t agent_holds_changes; /* incremented when an agent holds or releases tasks */
	uint64_t lost_agents;	      /* disconnections of agents with unsettled runs */
	GPtrArray *outgoing_peers; /* struct outgoing_peer *, entries that this one connects to */
	bool holds_awaited;	   /* from some of them; see node_peers_await_holds */
	int64_t holds_awaited_since_us;
	uint32_t linked_peers;	   /* connected outgoing peers, as of the last tick */
	GPtrArray *incoming_peers; /* struct incoming_peer *, entries that connected to this one */
	GArray *pending_requests;  /* struct pending_request, waiting for the first configuration */
	uint32_t unfinished_submissions; /* submissions whose job has not ended */
	bool stopping;			 /* SIGTERM or SIGINT was received */
	int64_t stop_requested_us;	 /* time of the first SIGTERM or SIGINT; 0 before */
	bool reported_ready;		 /* answer to the last readiness probe */
};

/* Runs the entry until it has shut down after SIGTERM or SIGINT. SETTINGS were read from
 * SETTINGS_FILE. Returns EXIT_CODE_RUNTIME when a listener cannot be started. */
enum exit_code node_entry_run(const char *settings_file, const struct node_settings *settings);

#endif
