/* The entry's shared state. The dispatcher thread is its only writer; controllers read and write
 * it. */
#ifndef GG_ENTRY_BOARD_H
#define GG_ENTRY_BOARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu.h>

#include "burn.h"
#include "channel.h"
#include "claims.h"
#include "config.h"
#include "daemon_settings.h"
#include "entry_jobs.h"
#include "entry_metrics.h"
#include "entry_request.h"
#include "ident.h"
#include "link.h"
#include "logclient.h"
#include "mailbox.h"
#include "scheduler.h"
#include "session.h"
#include "timer.h"

/* An agent incarnation. */
struct agent {
	struct board *board;
	struct handle self;
	struct handle server; /* in the scheduler */
	struct ident incarnation;
	uint64_t epoch;
	struct channel_route route;
	struct link link;
	char *id;
	char *zone;
	char *host;
	json_t *labels;
	char **label_strings; /* "key=value", NULL-terminated */
	uint32_t slots;
	uint32_t connections;
	bool open;
	bool quarantined;
	bool connected;	  /* heard from within channel.heartbeat_limit_ms on this epoch */
	bool reconciling; /* starts wait for the answer to Reconcile */
	bool lost;	  /* silent for channel.agent_lost_ms; only the link's counters are kept */
	int64_t reconcile_sent_us;
	int64_t last_received_us;
	int64_t last_sent_us;
	uint64_t config_version;
	uint64_t last_sent_demand;
	uint32_t refusal_streak; /* refusals in a row by the backend server */
	struct handle pause_timer;
	bool paused;		   /* no starts until pause_timer, after refusals */
	GPtrArray *pending_starts; /* Gg__Start of this loop iteration */
};

/* Another entry, and this entry's connection to it. */
struct peer {
	char *address;
	struct channel channel;
	uint64_t epoch;
	bool incarnation_known; /* its incarnation is known */
	bool connected;
	struct ident incarnation;
	char *zone;
	int64_t last_received_us; /* or when this connection was begun */
	int64_t last_contact_us;  /* last heard from on any connection, or when it was added */
	int64_t last_sent_us;
};

/* A connection that another entry made to this one. */
struct inbound_channel {
	struct ident incarnation;
	struct channel_route route;
	uint64_t epoch;
	int64_t last_received_us;
	int64_t last_sent_us;
};

/* What HTTP threads read without the dispatcher, under RCU. */
struct public_state {
	struct rcu_head rcu;
	bool ready;
	GBytes *config_body; /* answer to GET /v1/config */
};

struct board {
	const struct daemon_settings *settings;
	struct ident incarnation;
	struct mailbox mailbox;
	void *zmq;
	struct channel router;
	struct timer_service timers;
	int64_t now_us;
	int64_t latest_wake_us; /* end of the last sleep, at the latest */
	int64_t started_us;
	int64_t last_agent_joined_us; /* when the newest agent came */
	bool shutdown_finished;	      /* the shutdown is finished; requests are refused */
	bool exit_requested;	      /* the thread ends */

	struct sched *sched;
	struct session_store *sessions;
	GHashTable *session_renewals; /* old serial to fresh token */
	struct job_store jobs;

	struct table agents;
	GHashTable *agents_by_incarnation;
	GPtrArray *agents_with_starts; /* agents with starts in this loop iteration */
	GPtrArray *peers;
	GHashTable *inbound_channels; /* by incarnation */
	GHashTable *ended_entries;    /* incarnations of entries that ended */
	int64_t last_entry_ended_us;  /* when the last one was found to have ended, or 0 */
	bool entries_changed;	      /* agents must be told */

	GHashTable *forwards;	  /* by number, forwarded requests without a reply */
	GHashTable *key_queries;  /* submissions whose key the other entries are asked for */
	GHashTable *peer_queries; /* by number, without a reply */
	uint64_t last_forward_number;
	GThreadPool *forward_parsers; /* of forwarded requests */

	struct log_client *log;
	bool log_available;
	uint64_t last_append_number;

	struct config_replica *config;
	char *config_text;	    /* document in force, as JSON */
	GHashTable *config_patches; /* by record id */
	int64_t snapshot_time_ms;   /* of the newest snapshot, or of the first record without one */
	struct public_state *public_state;
	bool ready;

	struct claims *claims;
	GHashTable *claim_keys;	       /* by key digest */
	bool claims_synced;	       /* the stream was read to its end once */
	int64_t claims_stale_since_us; /* the stream was not read to its end since, or 0 */
	char *claims_record;	       /* record being appended */
	uint64_t claims_append_number;
	GArray *decided_claims; /* of the record being folded */

	GPtrArray *rule_string_lists; /* strings that the rules in force point to */

	struct burn *burn;
	uint64_t wasted_messages_reported;

	bool draining;
	int64_t drain_started_us;
	int64_t last_job_ended_us;
	bool shutdown_forced;
	int finished_fd; /* eventfd that tells the main thread */
};

#endif
