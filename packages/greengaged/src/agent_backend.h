/*
 * The connection of the agent process in node_agent.c to its backend server: it receives
 * heartbeats, sends orders, and polls the server's lists of runs.
 *
 * An order is a start or a stop. A hold is a call that renews the lease of the server's runs and
 * returns its lists of running and finished runs. A long poll is a hold that the server answers
 * when a run has ended, or after a wait; an immediate poll does not wait.
 */
#ifndef GG_AGENT_BACKEND_H
#define GG_AGENT_BACKEND_H

#include "http_client.h"
#include "http_server.h"
#include "node_settings.h"
#include "presence.h"
#include "runs.h"
#include "server_api.h"

struct backend_callbacks {
	void *context;
	/* The free resources, the readiness or the server's identity may have changed. */
	void (*state_changed)(void *context);
	void (*run_ended)(void *context, const struct run *run, enum run_outcome outcome,
			  int64_t elapsed_us);
	/* RUN is much slower than its estimate. Called repeatedly while it is. */
	void (*run_behind)(void *context, const struct run *run, int64_t elapsed_us);
};

struct backend {
	struct net_loop *loop;
	const struct node_settings *settings;
	struct backend_callbacks callbacks;
	struct runs runs;
	struct http_server *control_server; /* receives heartbeats and deregistrations */
	struct http_client *order_client;   /* sends starts and stops */
	struct http_client *hold_client;    /* sends holds */
	struct presence presence;	    /* the server's process and what its heartbeats state */
	uint32_t replacements;		    /* processes of the server that were replaced */
	bool reachable;			    /* the server answers holds */
	bool lists_applied;		    /* run lists of the current incarnation were applied */
	int64_t ticked_us;		    /* time of the last tick */
	int64_t lease_ms;
	int64_t lease_sent_us;	   /* time of the last call that contained one */
	int64_t lists_received_us; /* time when valid run lists were last received */
	int64_t order_answer_us;   /* mean time until a start is answered, EWMA */
	bool hold_failed;	   /* the hold that ended last has brought no valid lists */
	uint32_t long_polls;	   /* number of long polls in progress */
	bool immediate_poll_active;
	bool immediate_poll_requested;
	bool reconnect_requested;	 /* close all connections before the next poll */
	uint32_t failed_immediate_polls; /* number of consecutive failures */
	int64_t last_timeout_us; /* time of the last timeout of a start or hold that had been sent;
				    0 if none */
	int64_t ignored_logged_us; /* when an ignored message was last logged; 0 if never */
	uint32_t ignored_unlogged; /* messages ignored since then */
	bool logged_quarantined;   /* whether the last logged state is quarantined */
	bool agent_shutting_down;  /* the agent accepts no more starts */
};

/* Listens for heartbeats and sends the first hold. Fails with the errors of http_server_listen. */
enum status backend_start(struct backend *backend, struct error *err);

/* Sends an immediate poll if one is requested and none is in progress. Call once per iteration of
 * the event loop. */
void backend_send_requested_poll(struct backend *backend);

/* Returns whether starts are accepted. */
bool backend_ready(const struct backend *backend);

/* Returns the number of runs without an owner that may still exist. Until the run lists of the
 * current incarnation are known, the count includes one more, for runs that may be unknown. */
uint32_t backend_count_ownerless_runs(const struct backend *backend);

/* Closes all connections to the server, which may have stopped answering. */
void backend_close_connections(struct backend *backend);

#endif
