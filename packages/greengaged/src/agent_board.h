/* The agent's shared state. The dispatcher thread is its only writer. */
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

/* The backend server as it announced itself. */
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
	AGENT_SERVER_NONE, /* not announced yet */
	AGENT_SERVER_PRESENT,
	AGENT_SERVER_LEAVING, /* it withdrew its announcement */
	AGENT_SERVER_EXPIRED,
};

struct agent_server {
	enum agent_server_state state;
	struct agent_announcement announcement;
	json_t *labels; /* announced ones, overridden by those of the settings */
	struct health health;
	struct handle expiry;	  /* timer */
	struct handle health_due; /* timer */
	uint32_t usable;	  /* slots that the configuration leaves */
	/* As last told to the entries. */
	uint32_t sent_slots;
	bool sent_open;
	bool sent_quarantined;
};

/* A known entry and the connection to it. */
struct agent_peer {
	char *address;
	bool configured; /* from the settings, never forgotten */
	/* Of a learned address: the incarnation that another entry named for it. */
	struct ident advertised;
	struct channel channel;
	void *monitor; /* reports that the connection ended */
	uint64_t epoch;
	bool broken;	       /* the connection ended; a new one is made after the pause */
	bool heard;	       /* a message came on this epoch */
	bool known;	       /* incarnation is known */
	bool forgotten;	       /* its credits and results were dropped after a long silence */
	int64_t pause_us;      /* before the next connection */
	int64_t opened_us;     /* this epoch */
	int64_t last_heard_us; /* over all epochs */
	int64_t sent_us;
	uint64_t hello_next_seq; /* as told in this epoch's Hello */
	struct ident incarnation;
	struct handle gate;	/* channel of the incarnation */
	uint64_t result_sent;	/* highest result number sent on this epoch */
	uint64_t reclaim;	/* credits to ask back */
	bool credits_changed;	/* credits changed; told at once only to an entry with demand */
	bool announce_credits;	/* the entry knows nothing of this channel's credits yet */
	bool server_changed;	/* the server's state changed */
	uint64_t asked_version; /* of the configuration */
	int64_t asked_us;
};

struct agent_board {
	const struct daemon_settings *settings;
	struct ident incarnation;
	void *zmq;
	struct timer_service timers;
	int64_t now_us;
	GPtrArray *peers;
	bool peers_changed; /* the set of polled sockets is out of date */
	uint64_t last_epoch;
	struct gate *gate;
	struct caller *caller;
	struct mailbox results;	 /* from the caller */
	struct mailbox commands; /* from HTTP threads */
	struct agent_server server;
	struct config_replica *config;
	bool draining;
	int64_t drain_end_us;
	bool stopped;
	bool forced;
	atomic_bool ready; /* read by HTTP threads */
};

#endif
