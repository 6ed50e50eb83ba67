/* The backend server beside an agent: its announcements, the orders sent to it, and its lists. */
#ifndef GG_AGENT_BACKEND_H
#define GG_AGENT_BACKEND_H

#include "http_client.h"
#include "http_server.h"
#include "node_settings.h"
#include "runs.h"
#include "server_api.h"

struct backend_callbacks {
	void *context;
	/* Room, readiness or what the server says of itself has changed. */
	void (*changed)(void *context);
	void (*ended)(void *context, const struct run *run, enum run_outcome outcome,
		      int64_t elapsed_us);
	void (*behind)(void *context, const struct run *run, int64_t elapsed_us);
};

struct backend {
	struct net_loop *loop;
	const struct node_settings *settings;
	struct backend_callbacks callbacks;
	struct runs runs;
	struct http_server *control;
	struct http_client *orders;
	struct http_client *lists;
	/* What the server says of itself. */
	char id[NAME_BYTES];
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	char labels[SERVER_LABELS_MAX][NAME_BYTES];
	size_t label_count;
	int64_t started_ms; /* of its current life; 0 while unknown */
	uint64_t sequence;
	int64_t heartbeat_clock_ms; /* the server's clock in its last heartbeat; 0 if not told */
	int64_t heartbeat_us;	    /* when that arrived */
	uint32_t version;	    /* rises when the above change */
	bool announced;
	bool reachable;	  /* answers calls */
	bool listed;	  /* a list of this life has been handled */
	int64_t epoch;	  /* of orders: a server ignores orders of a lower one than it has seen */
	int64_t clock_ms; /* its steady clock, when it was last told */
	int64_t clock_us; /* when that was */
	int64_t lease_ms;
	int64_t lease_sent_us;
	int64_t answered_us; /* last list */
	int64_t answer_us;   /* usual time of an answer to an order, EWMA */
	uint32_t holding;    /* calls in progress that wait for an end */
	bool looking;	     /* a call that does not wait is in progress */
	bool look_wanted;
	uint32_t failed_looks; /* in a row */
	int64_t lost_us;       /* when a call last got no answer in time */
	bool quarantined;      /* as last logged */
	bool leaving;	       /* this process shuts down and takes no starts */
};

/* Listens for announcements and begins to look at the server. Errors as net_listen. */
enum status backend_start(struct backend *backend, struct error *err);

/* Makes the calls that were asked for in a turn of the event loop. */
void backend_turn(struct backend *backend);

/* Returns whether starts are taken. */
bool backend_ready(const struct backend *backend);

/* Returns the number of runs of earlier owners that may still exist; at least 1 before the server
 * has been looked at. */
uint32_t backend_unsettled(const struct backend *backend);

/* Closes all connections to the server, which may have gone silent. */
void backend_reset(struct backend *backend);

#endif
