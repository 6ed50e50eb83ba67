/* The entry: between the clients and the agents. Its parts share one board; the order of the calls
 * is front, dispatch (packages/core), agents; answers come back by callbacks. */
#ifndef GG_NODE_ENTRY_H
#define GG_NODE_ENTRY_H

#include "config_pull.h"
#include "daemon_defs.h"
#include "dispatch.h"
#include "ended_jobs.h"
#include "http_server.h"
#include "node_config.h"
#include "node_link.h"
#include "node_members.h"
#include "node_reload.h"
#include "node_settings.h"
#include "node_signals.h"

struct node_entry {
	struct net_loop loop;
	const struct node_settings *settings;
	char *own_address; /* where other daemons reach this entry */
	struct store *store;
	struct node_signals signals;
	struct node_config config;
	struct config_pull config_pull;
	struct node_members members;
	struct node_reload reload;
	struct node_links links;
	struct net_listener *listener;
	struct dispatch dispatch;
	struct ended_jobs ended_jobs;
	struct http_server *client_server;
	struct http_server *readiness_server;
	GPtrArray *agents;	   /* struct agent_peer * */
	GPtrArray *outgoing_peers; /* struct outgoing_peer *, dialled here */
	GPtrArray *incoming_peers; /* struct incoming_peer *, entries that dialled here */
	GArray *pending_requests;  /* requests that wait for the first configuration */
	uint32_t unanswered_jobs;  /* unanswered submissions */
	bool stopping;		   /* after SIGTERM */
	int64_t stop_requested_us;
	bool reported_ready;
};

/* Runs until SIGTERM with SETTINGS, which were read from SETTINGS_FILE. */
enum exit_code node_entry_run(const char *settings_file, const struct node_settings *settings);

#endif
