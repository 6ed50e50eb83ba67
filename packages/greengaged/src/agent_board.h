/* The shared state of the agent's modules. Only the dispatcher thread writes it. */
#ifndef GG_AGENT_BOARD_H
#define GG_AGENT_BOARD_H

#include <glib.h>
#include <jansson.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "caller.h"
#include "channel.h"
#include "config.h"
#include "core_defs.h"
#include "daemon_settings.h"
#include "gate.h"
#include "health.h"
#include "ident.h"
#include "mailbox.h"
#include "timer.h"

/* What the backend server announced about itself. */
struct agent_announcement {
	char id[NAME_BYTES];
	char *url;
	json_t *labels;
	uint32_t slots;
	uint32_t connections;
	uint32_t keep_alive_ms;
	uint32_t ttl_ms;
};

enum agent_server_state {
	AGENT_SERVER_NONE,    /* no announcement yet */
	AGENT_SERVER_PRESENT, /* announced and not expired */
	AGENT_SERVER_LEAVING, /* the server withdrew its announcement */
	AGENT_SERVER_EXPIRED, /* the announcement was not renewed in time */
};

struct agent_server {
	enum agent_server_state state;
	struct agent_announcement announcement;
	json_t *labels; /* announced labels, overridden by those in the settings */
	struct health health;
	struct handle expiry_timer;
	struct handle health_timer;
	uint32_t usable_slots; /* announced slots that the current configuration allows */
	/* State as last sent to the entries. */
	uint32_t reported_slots;
	bool reported_open;
	bool reported_quarantined;
};

/* An entry at one address, and the agent's connection to it. */
struct agent_peer {
	char *address;
	bool from_settings; /* the peer is never removed */
	/* For a discovered address: the incarnation that another entry reported for it. */
	struct ident advertised_incarnation;
	struct channel channel;
	void *monitor_socket; /* ZeroMQ socket that reports the end of the connection */
	uint64_t epoch;
	bool disconnected;	/* no connection; a new one is opened after reconnect_delay_us */
	bool message_received;	/* a message has arrived on the current connection */
	bool incarnation_known; /* incarnation and gate_channel are valid */
	bool discarded; /* the gate channel was closed after a long silence, or another address of
			 * the same entry is used instead */
	int64_t reconnect_delay_us;
	int64_t last_connect_us;  /* start of the current connection */
	int64_t last_received_us; /* over all connections; initially when the peer was added */
	int64_t last_sent_us;
	uint64_t hello_next_seq; /* next sequence number in the Hello of the current connection */
	struct ident incarnation;
	struct handle gate_channel; /* the incarnation's channel in the gate */
	uint64_t last_result_sent; /* result number; 0 causes all stored results to be sent again */
	uint64_t credits_to_reclaim;
	bool credits_changed;  /* the credits have changed since the last message to the entry; a
				* heartbeat is sent at once only if the entry has queued tasks */
	bool announce_credits; /* no credits of this channel were sent to the entry yet */
	bool server_changed;   /* the server's state must be sent */
	uint64_t requested_config_version; /* last one requested on this connection; 0: none */
	int64_t last_config_request_us;
};

struct agent_board {
	const struct daemon_settings *settings;
	struct ident agent_incarnation;
	void *zmq_context;
	struct timer_service timers;
	int64_t now_us;	       /* time of the last wake-up of the event loop */
	GPtrArray *peers;      /* of struct agent_peer */
	bool poll_items_stale; /* a socket was opened or closed since the poll set was built */
	uint64_t last_epoch;   /* epoch of the newest connection */
	struct gate *gate;
	struct caller *caller;
	struct mailbox results;	 /* finished tasks, from the caller's thread */
	struct mailbox commands; /* from the HTTP threads */
	struct agent_server server;
	struct config_replica *config;
	bool draining;
	int64_t drain_deadline_us;
	bool loop_finished;
	bool shutdown_forced; /* the shutdown did not wait for all tasks and results */
	atomic_bool ready;    /* a server is available; read by the HTTP threads */
};

#endif
